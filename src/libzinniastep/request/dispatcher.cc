#include "libzinniastep/request/dispatcher.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/billing/bill_book.h"
#include "libzinniastep/claim/claim_desk.h"
#include "libzinniastep/report/decision_log.h"
#include "libzinniastep/request/refusals.h"
#include "libzinniastep/routing/admission.h"
#include "libzinniastep/routing/pool_chooser.h"
#include "libzinniastep/routing/retry_budget.h"
#include "libzinniastep/steward/credits.h"

namespace zinniastep {

namespace {

// Pause before pools that refused are asked again.
constexpr Duration kPauseAfterAllRefused = std::chrono::milliseconds(50);
// Longest time that one pool's steward may keep a request waiting.
constexpr Duration kLongestCreditWait = std::chrono::seconds(5);

auto Milliseconds(Duration duration) -> std::string {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

Dispatcher::Dispatcher(RequestServices services, const Intake& intake)
    : services_(services), intake_(intake) {}

auto Dispatcher::Dispatch(Instant now, Request& request, Effects& effects)
    -> Progress {
  if (now >= request.deadline) {
    return Fails{RefusedDeadline(request.sent_once ? RunState::kUnknown
                                                   : RunState::kNotRun)};
  }
  if (auto refusal = Replan(request, effects); refusal.has_value()) {
    return Fails{std::move(*refusal)};
  }
  PoolQuery query;
  query.workload = request.workload();
  query.priority = request.arrival.priority;
  query.tried = request.tried;
  if (const ChatCall* call = request.chat()) {
    query.prompt_tokens = call->prompt_tokens;
  }
  const auto choice =
      services_.pools.Choose(now, query, services_.credits.pools());
  if (!choice.has_value()) {
    request.tried.clear();
    return Wait(now, request, kPauseAfterAllRefused);
  }
  services_.decisions.Add(
      Decision{request.id, now, PoolChosen{request.version(), *choice}});
  CreditAsk ask;
  ask.request = request.id;
  ask.domain = choice->domain;
  ask.acceptable = {request.workload()};
  if (const ChatCall* call = request.chat()) {
    ask.prefix_hash = call->prefix_hash;
  }
  ask.priority = request.arrival.priority;
  ask.account = request.account;
  ask.share = request.share;
  ask.deadline = std::min<Duration>(request.deadline - now, kLongestCreditWait);
  ask.attempt_timeout = request.deadline - now;
  request.tried.push_back(choice->domain);
  request.phase = RequestPhase::kAskingCredit;
  services_.pools.OnCreditRequested(now, choice->domain, request.workload());
  services_.credits.Ask(now, ask, effects);
  return GoesOn{};
}

auto Dispatcher::Replan(Request& request, Effects& effects)
    -> std::optional<Refusal> {
  if (intake_.MayRun(request.account, request.workload())) {
    return std::nullopt;
  }
  if (request.chat() == nullptr) {
    return RefusedNotAllowed();
  }
  const ModelVersion before = request.version();
  auto refusal = intake_.Plan(request);
  effects.Log("version_replaced", {{"request", ToString(request.id)},
                                   {"from", ToString(before)},
                                   {"to", ToString(request.version())},
                                   {"reason", "withdrawn_or_not_allowed"}});
  if (refusal.has_value() && request.sent_once) {
    refusal->run_state = RunState::kUnknown;
  }
  return refusal;
}

auto Dispatcher::Wait(Instant now, Request& request, Duration pause)
    -> Progress {
  request.phase = RequestPhase::kWaiting;
  request.ask_again = std::min(now + pause, request.deadline);
  return GoesOn{};
}

auto Dispatcher::OnCredit(Instant now,
                          Request& request,
                          const CreditDecided& decided,
                          Effects& effects) -> Progress {
  return std::visit(
      Overloaded{[&](const CreditGranted& granted) {
                   return OnGranted(now, request, granted.credit, effects);
                 },
                 [&](const CreditRefused& refused) -> Progress {
                   if (!request.tried.empty()) {
                     services_.pools.OnRefused(now, request.tried.back(),
                                               request.workload(),
                                               refused.retry_after);
                   }
                   return NeedsAttempt{};
                 }},
      decided.verdict);
}

auto Dispatcher::OnGranted(Instant now,
                           Request& request,
                           const Credit& credit,
                           Effects& effects) -> Progress {
  if (request.caller_gone || !IsUsable(now, request, credit)) {
    services_.credits.Return(now, credit, CreditOutcome{}, effects);
    return request.caller_gone ? Progress(Abandoned{})
                               : Progress(NeedsAttempt{});
  }
  services_.pools.OnGranted(credit.domain, request.workload());
  Start(now, request, credit, effects);
  return GoesOn{};
}

auto Dispatcher::IsUsable(Instant now,
                          const Request& request,
                          const Credit& credit) const -> bool {
  const bool in_time = now < credit.use_before && now < request.deadline;
  const bool may_run = intake_.MayRun(request.account, request.workload());
  const bool same_version = credit.version == request.version();
  const BackendServerRule* server =
      services_.configuration.FindServer(credit.domain, credit.server);
  const bool leaving = server != nullptr && server->leaving;
  return in_time && may_run && same_version && !leaving &&
         services_.configuration.IsIn(credit.domain);
}

auto Dispatcher::Start(Instant now,
                       Request& request,
                       const Credit& credit,
                       Effects& effects) -> void {
  ++request.attempts;
  request.attempt =
      Attempt{AttemptId{request.id, request.attempts}, credit, true};
  request.phase = RequestPhase::kRunning;
  StartAttempt start;
  start.attempt = request.attempt->id;
  start.call = request.arrival.call;
  start.server = credit.server;
  start.address = credit.address;
  start.version = credit.version;
  start.priority = request.arrival.priority;
  start.delivery = request.plan.delivery;
  start.send_within = credit.use_before - now;
  start.timeout = request.deadline - now;
  start.at_most_once =
      request.at_most_once || !request.arrival.idempotency_key.empty();
  start.account = request.account;
  start.idempotency_key = request.arrival.idempotency_key;
  start.session = request.arrival.session;
  if (request.chat() != nullptr) {
    SessionPins pins = request.pins;
    pins.Pin(credit.version);
    start.session_token = services_.sessions.Sign(pins);
  }
  LogRoute(request, credit, effects);
  effects.Do(std::move(start));
}

auto Dispatcher::LogRoute(const Request& request,
                          const Credit& credit,
                          Effects& effects) -> void {
  effects.Log(
      "routing_decision",
      {{"request", ToString(request.id)},
       {"account", request.account.text()},
       {"workload", ToString(request.workload())},
       {"domain", credit.domain.text()},
       {"server", credit.server.text()},
       {"steward", credit.steward.text()},
       {"attempt", std::to_string(request.attempts)},
       {"step", std::to_string(request.step)},
       {"use_within_ms", Milliseconds(request.deadline - request.arrived)},
       {"reason", request.plan.reason}});
}

}  // namespace zinniastep
