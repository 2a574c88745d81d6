#include "libzinniastep/request/settlement.h"

#include <string>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/billing/bill_book.h"
#include "libzinniastep/cascade/cascade_planner.h"
#include "libzinniastep/claim/claim_desk.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/report/decision_log.h"
#include "libzinniastep/request/refusals.h"
#include "libzinniastep/rollout/rollouts.h"
#include "libzinniastep/routing/pool_chooser.h"
#include "libzinniastep/routing/retry_budget.h"
#include "libzinniastep/steward/credits.h"

namespace zinniastep {

namespace {

constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kServerError = 500;
constexpr std::uint16_t kUnavailable = 503;

// An engine says with these that it did not run the request. A plain service
// makes no such promise.
auto EngineDidNotRun(const Request& request, const AttemptEnded& ended)
    -> bool {
  return request.chat() != nullptr &&
         ended.outcome == AttemptOutcome::kAnswered &&
         (ended.status == kUnavailable || ended.status == kNotFound);
}

auto MillisecondsOf(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Settlement::Settlement(RequestServices services, RatingBook& ratings)
    : services_(services), ratings_(ratings) {}

auto Settlement::OnAttemptEnded(Instant now,
                                Request& request,
                                const AttemptEnded& ended,
                                Effects& effects) -> Progress {
  const Attempt attempt = *request.attempt;
  request.attempt.reset();
  const bool not_run = EngineDidNotRun(request, ended);
  ReturnCredit(now, attempt, ended, not_run, effects);
  effects.Log("attempt_ended",
              {{"request", ToString(request.id)},
               {"attempt", std::to_string(attempt.id.number)},
               {"server", attempt.credit.server.text()},
               {"outcome", std::to_string(static_cast<int>(ended.outcome))},
               {"status", std::to_string(ended.status)}});
  if (ended.outcome == AttemptOutcome::kNotSent || not_run) {
    return OnNotRun(now, request, attempt);
  }
  request.sent_once = true;
  const VersionRule* rule =
      services_.configuration.FindVersion(attempt.credit.version);
  if (rule != nullptr) {
    request.AddCost(attempt.credit.version, rule->price, ended.usage);
  } else if (const auto* call =
                 std::get_if<ServiceCall>(&request.arrival.target)) {
    const ServiceRule* service =
        services_.configuration.FindService(call->service);
    request.AddCost(ModelVersion{},
                    service == nullptr ? Price{} : service->price, ended.usage);
  }
  if (ended.outcome != AttemptOutcome::kAnswered) {
    return OnBroken(now, request, ended);
  }
  return OnAnswer(now, request, ended, effects);
}

auto Settlement::ReturnCredit(Instant now,
                              const Attempt& attempt,
                              const AttemptEnded& ended,
                              bool overloaded,
                              Effects& effects) -> void {
  CreditOutcome outcome;
  outcome.server_incarnation = ended.server_incarnation;
  outcome.first_token = ended.usage.first_token;
  switch (ended.outcome) {
    case AttemptOutcome::kNotSent:
      outcome.result = CreditResult::kNotSent;
      break;
    case AttemptOutcome::kAnswered:
      outcome.result =
          overloaded ? CreditResult::kOverloaded : CreditResult::kAnswered;
      break;
    case AttemptOutcome::kBroken:
      outcome.result = CreditResult::kBroken;
      break;
    case AttemptOutcome::kCancelled:
      outcome.result = CreditResult::kAnswered;
      outcome.first_token = Duration(0);
      break;
  }
  services_.credits.Return(now, attempt.credit, outcome, effects);
}

auto Settlement::Count(const Request& request,
                       const AttemptEnded& ended,
                       bool failed) -> void {
  const ChatCall* call = request.chat();
  if (call == nullptr) {
    return;
  }
  AnswerEvidence evidence;
  evidence.version = request.version();
  evidence.account = request.account;
  evidence.task_class = call->task_class;
  evidence.failed = failed;
  evidence.broken = ended.outcome == AttemptOutcome::kBroken;
  evidence.first_token_ms = MillisecondsOf(ended.usage.first_token);
  evidence.completion_tokens = ended.usage.completion_tokens;
  services_.rollouts.OnAnswer(evidence);
}

auto Settlement::OnNotRun(Instant now, Request& request, const Attempt& attempt)
    -> Progress {
  services_.pools.OnRefused(now, attempt.credit.domain, request.workload(),
                            Duration(0));
  if (request.caller_gone) {
    return Abandoned{};
  }
  return NeedsAttempt{};
}

auto Settlement::OnBroken(Instant now,
                          Request& request,
                          const AttemptEnded& ended) -> Progress {
  if (ended.outcome == AttemptOutcome::kBroken) {
    Count(request, ended, true);
  }
  if (request.at_most_once) {
    return Fails{RefusedBackendFailed(RunState::kUnknown)};
  }
  if (request.caller_gone) {
    return Abandoned{};
  }
  if (ended.caller_has_bytes) {
    return Fails{RefusedCut(RunState::kUnknown)};
  }
  if (now < request.deadline && services_.retries.TrySpend()) {
    return NeedsAttempt{};
  }
  return Fails{RefusedBackendFailed(RunState::kUnknown)};
}

auto Settlement::OnAnswer(Instant now,
                          Request& request,
                          const AttemptEnded& ended,
                          Effects& effects) -> Progress {
  const bool failed = ended.status >= kServerError;
  Count(request, ended, failed);
  if (failed && !request.at_most_once && !ended.caller_has_bytes &&
      !request.caller_gone && services_.retries.TrySpend()) {
    return NeedsAttempt{};
  }
  if (!failed) {
    services_.retries.OnSuccess();
  }
  if (request.chat() == nullptr || failed) {
    return Accept(now, request, ended, effects);
  }
  const AnswerVerdict verdict =
      services_.planner.EvaluateAnswer(request.plan, request.step, ended.usage);
  services_.decisions.Add(
      Decision{request.id, now, AnswerJudged{request.step, verdict}});
  return std::visit(
      Overloaded{[&](const AnswerAccepted& accepted) -> Progress {
                   request.quality = accepted.expected_quality;
                   return Accept(now, request, ended, effects);
                 },
                 [&](const AnswerEscalated& escalated) -> Progress {
                   if (ended.caller_has_bytes || now >= request.deadline) {
                     return Accept(now, request, ended, effects);
                   }
                   request.answer = ended.answer;
                   request.answered_version = request.version();
                   request.step = escalated.step;
                   request.tried.clear();
                   effects.Log("cascade_decision",
                               {{"request", ToString(request.id)},
                                {"verdict", "escalate"},
                                {"to", ToString(escalated.version)},
                                {"expected_quality",
                                 std::to_string(escalated.expected_quality)}});
                   return NeedsAttempt{};
                 }},
      verdict);
}

auto Settlement::Accept(Instant now,
                        Request& request,
                        const AttemptEnded& ended,
                        Effects& effects) -> Progress {
  request.answer = ended.answer;
  request.answered_version = request.version();
  const ChatCall* call = request.chat();
  if (call != nullptr &&
      services_.planner.ShouldRate(
          now, request.id, request.account,
          services_.rollouts.IsOnTrial(request.answered_version))) {
    ratings_.Expect(request, ended.usage.confidence);
    effects.Do(RequestRating{request.id, request.arrival.call,
                             request.answered_version, call->task_class});
  }
  return Answered{};
}

auto Settlement::RecordBill(Instant now,
                            const Request& request,
                            BillOutcome outcome,
                            Effects& effects) -> void {
  Bill bill;
  bill.request = request.id;
  bill.account = request.account;
  bill.team = request.team;
  if (const ChatCall* call = request.chat()) {
    bill.task_class = call->task_class;
  }
  bill.region = services_.self.region;
  bill.answered = request.answered_version;
  bill.outcome = outcome;
  bill.costs = request.costs;
  bill.quality = request.quality;
  bill.minute = minute_;
  services_.bills.Record(now, bill, effects);
}

auto Settlement::ReleaseClaim(Instant now,
                              Request& request,
                              const Refusal& refusal,
                              Effects& effects) -> void {
  if (!request.claimed) {
    return;
  }
  request.claimed = false;
  if (refusal.run_state == RunState::kNotRun) {
    services_.claims.GiveBack(now, request.id, effects);
  } else {
    services_.claims.MarkUnknown(now, request.id, effects);
  }
}

}  // namespace zinniastep
