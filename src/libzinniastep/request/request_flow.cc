#include "libzinniastep/request/request_flow.h"

#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/billing/bill_book.h"
#include "libzinniastep/claim/claim_desk.h"
#include "libzinniastep/report/decision_log.h"
#include "libzinniastep/request/refusals.h"
#include "libzinniastep/steward/credits.h"

namespace zinniastep {

namespace {

constexpr std::uint16_t kServerError = 500;
constexpr std::uint16_t kClientClosed = 499;

auto CallerLeft() -> Refusal {
  return {kClientClosed, "caller_gone", "the caller closed its connection",
          RunState::kUnknown, Duration(0)};
}

}  // namespace

RequestFlow::RequestFlow(RequestServices services, Incarnation incarnation)
    : services_(services),
      book_(incarnation),
      intake_(services.configuration,
              services.accounts,
              services.sessions,
              services.rollouts,
              services.planner),
      ratings_(services.planner, services.rollouts),
      dispatcher_(services, intake_),
      settlement_(services, ratings_) {}

auto RequestFlow::OnCall(Instant now,
                         const CallArrived& arrival,
                         const std::optional<Refusal>& refusal,
                         Effects& effects) -> void {
  const RequestId id = book_.NextId();
  if (refusal.has_value()) {
    effects.Do(RefuseCall{arrival.call, *refusal, id});
    return;
  }
  auto accepted = intake_.Accept(now, arrival, id);
  if (const auto* refused = std::get_if<Refusal>(&accepted)) {
    effects.Log("request_refused",
                {{"request", ToString(id)}, {"code", refused->code}});
    effects.Do(RefuseCall{arrival.call, *refused, id});
    return;
  }
  Request& request = book_.Add(std::get<Request>(std::move(accepted)));
  if (request.chat() != nullptr) {
    services_.decisions.Add(Decision{id, now, VersionChosen{request.plan}});
  }
  AdmissionRequest offer;
  offer.request = id;
  offer.account = request.account;
  offer.share = request.share;
  offer.priority = arrival.priority;
  offer.deadline = request.deadline;
  Apply(now, services_.admission.Offer(now, offer), effects);
}

auto RequestFlow::Apply(Instant now,
                        const std::vector<AdmissionDecision>& decisions,
                        Effects& effects) -> void {
  for (const AdmissionDecision& decision : decisions) {
    std::visit(
        Overloaded{[&](const RequestAdmitted& admitted) {
                     if (Request* request = book_.Find(admitted.request)) {
                       Begin(now, *request, effects);
                     }
                   },
                   [](const RequestQueued&) {},
                   [&](const RequestShed& shed) {
                     if (Request* request = book_.Find(shed.request)) {
                       Carry(now, *request, Fails{shed.refusal}, effects);
                     }
                   }},
        decision);
  }
}

auto RequestFlow::Begin(Instant now, Request& request, Effects& effects)
    -> void {
  if (request.arrival.idempotency_key.empty()) {
    Carry(now, request, NeedsAttempt{}, effects);
    return;
  }
  request.phase = RequestPhase::kClaiming;
  services_.claims.Begin(
      now, request.id, request.account, request.arrival.idempotency_key,
      request.arrival.body_hash, request.deadline - now, effects);
}

auto RequestFlow::OnClaimDecided(Instant now,
                                 const ClaimDecided& decided,
                                 Effects& effects) -> void {
  Request* request = book_.Find(decided.request);
  if (request == nullptr || request->phase != RequestPhase::kClaiming) {
    return;
  }
  std::visit(Overloaded{[&](const ClaimGranted&) {
                          request->claimed = true;
                          Carry(now, *request, NeedsAttempt{}, effects);
                        },
                        [&](const ClaimReplayed& replayed) {
                          effects.Log("answer_replayed",
                                      {{"request", ToString(request->id)}});
                          effects.Do(CompleteCall{
                              request->arrival.call, replayed.answer,
                              ModelVersion{}, std::string(), request->id});
                          Forget(now, request->id, effects);
                        },
                        [&](const ClaimRefused& refused) {
                          Carry(now, *request, Fails{refused.refusal}, effects);
                        }},
             decided.verdict);
}

auto RequestFlow::OnCreditDecided(Instant now,
                                  const CreditDecided& decided,
                                  Effects& effects) -> void {
  Request* request = book_.Find(decided.request);
  const bool waits =
      request != nullptr && request->phase == RequestPhase::kAskingCredit;
  if (waits) {
    Carry(now, *request, dispatcher_.OnCredit(now, *request, decided, effects),
          effects);
    return;
  }
  if (const auto* granted = std::get_if<CreditGranted>(&decided.verdict)) {
    services_.credits.Return(now, granted->credit, CreditOutcome{}, effects);
  }
}

auto RequestFlow::OnAttemptEnded(Instant now,
                                 const AttemptEnded& ended,
                                 Effects& effects) -> void {
  Request* request = book_.Find(ended.attempt.request);
  const bool current = request != nullptr && request->attempt.has_value() &&
                       request->attempt->id == ended.attempt;
  if (!current) {
    return;
  }
  Carry(now, *request,
        settlement_.OnAttemptEnded(now, *request, ended, effects), effects);
}

auto RequestFlow::OnBillSecured(Instant now,
                                const BillSecured& secured,
                                Effects& effects) -> void {
  const Request* request = book_.Find(secured.request);
  if (request == nullptr || request->phase != RequestPhase::kSecuringBill) {
    return;
  }
  CompleteCall complete;
  complete.call = request->arrival.call;
  complete.answer = request->answer;
  complete.version = request->answered_version;
  complete.request = request->id;
  if (request->chat() != nullptr) {
    SessionPins pins = request->pins;
    pins.Pin(request->answered_version);
    complete.session_token = services_.sessions.Sign(pins);
  }
  effects.Do(std::move(complete));
  Forget(now, secured.request, effects);
}

auto RequestFlow::OnCallerGone(Instant now, CallId call, Effects& effects)
    -> void {
  Request* request = book_.FindCall(call);
  if (request == nullptr) {
    return;
  }
  request->caller_gone = true;
  switch (request->phase) {
    case RequestPhase::kClaiming:
      services_.claims.GiveBack(now, request->id, effects);
      Carry(now, *request, Abandoned{}, effects);
      return;
    case RequestPhase::kAskingCredit:
      services_.credits.Cancel(now, request->id, effects);
      Carry(now, *request, Abandoned{}, effects);
      return;
    case RequestPhase::kQueued:
    case RequestPhase::kWaiting:
      Carry(now, *request, Abandoned{}, effects);
      return;
    case RequestPhase::kRunning:
      if (!request->at_most_once && !request->claimed) {
        effects.Do(CancelAttempt{request->attempt->id});
      }
      return;
    case RequestPhase::kSecuringBill:
      return;
  }
}

auto RequestFlow::OnTime(Instant now, Effects& effects) -> void {
  for (const RequestId& id : book_.DueToAsk(now)) {
    if (Request* request = book_.Find(id)) {
      Carry(now, *request, NeedsAttempt{}, effects);
    }
  }
  Apply(now, services_.admission.OnTime(now), effects);
}

auto RequestFlow::EndAll(Instant now, Effects& effects) -> void {
  for (const RequestId& id : book_.All()) {
    if (Request* request = book_.Find(id)) {
      End(now, *request, effects);
    }
  }
}

auto RequestFlow::End(Instant now, Request& request, Effects& effects) -> void {
  switch (request.phase) {
    case RequestPhase::kClaiming:
      services_.claims.GiveBack(now, request.id, effects);
      break;
    case RequestPhase::kAskingCredit:
      services_.credits.Cancel(now, request.id, effects);
      break;
    case RequestPhase::kQueued:
    case RequestPhase::kWaiting:
      break;
    case RequestPhase::kRunning: {
      AttemptEnded ended;
      ended.attempt = request.attempt->id;
      ended.outcome = AttemptOutcome::kCancelled;
      effects.Do(CancelAttempt{ended.attempt});
      settlement_.OnAttemptEnded(now, request, ended, effects);
      break;
    }
    case RequestPhase::kSecuringBill:
      // Its bill is recorded; an answer must not go out before that is safe.
      effects.Do(
          RefuseCall{request.arrival.call, RefusedCutByShutdown(), request.id});
      Forget(now, request.id, effects);
      return;
  }
  Fail(now, request,
       request.sent_once ? RefusedCutByShutdown() : RefusedDraining(), effects);
}

auto RequestFlow::Carry(Instant now,
                        Request& request,
                        Progress progress,
                        Effects& effects) -> void {
  if (std::holds_alternative<NeedsAttempt>(progress)) {
    progress = dispatcher_.Dispatch(now, request, effects);
  }
  // A weaker answer of an earlier step is better than none.
  if (std::holds_alternative<Fails>(progress) && request.answer != nullptr) {
    progress = Answered{};
  }
  std::visit(Overloaded{[](const GoesOn&) {}, [](const NeedsAttempt&) {},
                        [&](const Fails& fails) {
                          Fail(now, request, fails.refusal, effects);
                        },
                        [&](const Answered&) { Answer(now, request, effects); },
                        [&](const Abandoned&) {
                          Refusal refusal = CallerLeft();
                          if (!request.sent_once) {
                            refusal.run_state = RunState::kNotRun;
                          }
                          Fail(now, request, refusal, effects);
                        }},
             progress);
}

auto RequestFlow::Answer(Instant now, Request& request, Effects& effects)
    -> void {
  const bool failed =
      request.answer != nullptr && request.answer->status >= kServerError;
  if (request.claimed) {
    services_.claims.Finish(now, request.id, request.answer, effects);
    request.claimed = false;
  }
  request.phase = RequestPhase::kSecuringBill;
  settlement_.RecordBill(now, request,
                         failed ? BillOutcome::kFailed : BillOutcome::kAnswered,
                         effects);
}

auto RequestFlow::Fail(Instant now,
                       Request& request,
                       const Refusal& refusal,
                       Effects& effects) -> void {
  settlement_.ReleaseClaim(now, request, refusal, effects);
  if (request.sent_once) {
    const bool unknown = refusal.run_state == RunState::kUnknown;
    settlement_.RecordBill(
        now, request, unknown ? BillOutcome::kUnknown : BillOutcome::kFailed,
        effects);
  }
  services_.decisions.Add(Decision{request.id, now, RequestRefused{refusal}});
  effects.Log("request_refused",
              {{"request", ToString(request.id)}, {"code", refusal.code}});
  effects.Do(RefuseCall{request.arrival.call, refusal, request.id});
  Forget(now, request.id, effects);
}

auto RequestFlow::Forget(Instant now, const RequestId& id, Effects& effects)
    -> void {
  book_.Remove(id);
  Apply(now, services_.admission.Finish(now, id), effects);
}

}  // namespace zinniastep
