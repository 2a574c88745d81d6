// How a forwarder waits for capacity before its first send.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/traffic/forwarder.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

// Part of the longest time until a refused caller returns that is not random,
// if its time is short.
constexpr int kLeastReturnPart = 4;

auto ToText(const std::optional<Duration>& duration) -> std::string {
  return duration.has_value() ? std::to_string(Milliseconds(*duration))
                              : std::string();
}

// Appends the figures that decided to the fields of a log line.
auto AddInputs(const AdmissionInputs& inputs, LogEvent& event) -> void {
  event.fields.insert(
      event.fields.end(),
      {{"limit", std::to_string(inputs.limit)},
       {"running", std::to_string(inputs.running)},
       {"queued", std::to_string(inputs.queued)},
       {"ahead", std::to_string(inputs.ahead)},
       {"expected_ms", ToText(inputs.expected_wait)},
       {"longest_ms", std::to_string(Milliseconds(inputs.longest_wait))},
       {"beyond_usual", inputs.is_beyond_usual ? "yes" : "no"}});
}

}  // namespace

auto Forwarder::Candidate() const -> AdmissionCandidate {
  AdmissionCandidate candidate;
  candidate.request = admission_id_;
  candidate.priority = route_->priority;
  if (account_ != nullptr) {
    candidate.account = account_->id;
    candidate.priority = account_->priority.value_or(route_->priority);
  }
  candidate.bytes = request_.body().size();
  candidate.began = began_;
  candidate.target = route_->target_latency;
  candidate.deadline = progress_.deadline;
  candidate.expected_delay = ExpectedDelay();
  return candidate;
}

auto Forwarder::MaySend() -> bool {
  if (admittance_ != Admittance::kNotAsked) {
    return admittance_ == Admittance::kGranted;
  }
  admission_id_ = engine_.DrawAdmissionId();
  const Instant now = engine_.Now();
  ServiceAdmission& admission = engine_.AdmissionOf(service_);
  if (progress_.is_trial) {
    // Requests with the same prompt parts are refused until it ends.
    admission.Start(now, admission_id_);
    admittance_ = Admittance::kGranted;
    return true;
  }
  AdmissionVerdicts verdicts = admission.Offer(now, Candidate());
  const auto own = std::ranges::find(verdicts, admission_id_, RequestOf);
  const AdmissionVerdict verdict = *own;
  verdicts.erase(own);
  engine_.Deliver(verdicts);
  return std::visit(Overloaded{[this](const AdmissionGranted&) {
                                 admittance_ = Admittance::kGranted;
                                 return true;
                               },
                               [this](const AdmissionWaits& waits) {
                                 OnAdmissionWaits(waits);
                                 return false;
                               },
                               [this](const AdmissionRefused& refused) {
                                 OnAdmissionRefused(refused);
                                 return false;
                               }},
                    verdict);
}

auto Forwarder::OnAdmissionWaits(const AdmissionWaits& waits) -> void {
  admittance_ = Admittance::kWaiting;
  admission_until_ = waits.until;
  engine_.OnAdmissionWait(admission_id_, weak_from_this());
  engine_.metrics().Count("admission_waits");
  LogEvent event{"admission_wait",
                 {{"request", request_id_}, {"service", service_.text()}}};
  AddInputs(waits.inputs, event);
  engine_.Log(event);
  ArmTimer();
}

auto Forwarder::OnAdmissionRefused(const AdmissionRefused& refused) -> void {
  const std::string reason(ToString(refused.reason));
  engine_.metrics().Count("admission_refused_" + reason);
  LogEvent event{"admission_refused",
                 {{"request", request_id_},
                  {"service", service_.text()},
                  {"reason", reason},
                  {"waited_ms", std::to_string(Milliseconds(refused.waited))}}};
  AddInputs(refused.inputs, event);
  engine_.Log(event);
  ReturnTime time{refused.return_least, refused.return_spread};
  const Duration most = TimeLeft() / 3;
  if (time.least + time.spread > most) {
    time.least = std::min<Duration>(time.least, most / kLeastReturnPart);
    time.spread = most - time.least;
  }
  Refuse("service_full", time);
}

auto Forwarder::OnVerdict(const AdmissionVerdict& verdict) -> void {
  if (over_ || admittance_ != Admittance::kWaiting) {
    return;
  }
  std::visit(Overloaded{[this](const AdmissionGranted& granted) {
                          engine_.OnAdmissionWaitOver(admission_id_);
                          engine_.metrics().Observe("admission_wait",
                                                    granted.waited);
                          admittance_ = Admittance::kGranted;
                          Dispatch();
                        },
                        [](const AdmissionWaits&) {},
                        [this](const AdmissionRefused& refused) {
                          OnAdmissionRefused(refused);
                        }},
             verdict);
}

auto Forwarder::OnSendDeclined(Instant now) -> void {
  // A server that leaves declines whatever its load.
  if (admittance_ == Admittance::kGranted &&
      engine_.chooser().IsUsable(server_->id)) {
    engine_.AdmissionOf(service_).OnDeclined(now, admission_id_, server_->id);
  }
}

auto Forwarder::EndAdmission(bool was_answered) -> void {
  if (std::exchange(admittance_, Admittance::kNotAsked) ==
      Admittance::kNotAsked) {
    return;
  }
  engine_.OnAdmissionWaitOver(admission_id_);
  engine_.Deliver(engine_.AdmissionOf(service_).Finish(
      engine_.Now(), admission_id_, was_answered));
}

}  // namespace zinniastep
