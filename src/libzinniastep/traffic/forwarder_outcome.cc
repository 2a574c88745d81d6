// How a forwarder goes on after a send, and how it ends a request.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/traffic/forwarder.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/server_answer_head.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

constexpr Duration kSilencePoll = std::chrono::milliseconds(250);
// An idempotent request is sent elsewhere when its answer has not begun after
// this part of the target.
constexpr double kSecondSendPart = 0.75;
constexpr double kFirstEventMs = 40.0;

}  // namespace

auto Forwarder::FinishAttempt(SendOutcome outcome) -> void {
  const Instant now = engine_.Now();
  TakeEventTimes(true);
  EndClocks(now, outcome == SendOutcome::kSilent);
  engine_.chooser().OnEnd(now, server_->id, Tokens());
  engine_.chooser().OnOutcome(now, server_->id, outcome);
  if (outcome == SendOutcome::kDeclined) {
    OnSendDeclined(now);
  }
  if (connection_ != nullptr) {
    if (engine_.chooser().IsUsable(server_->id)) {
      engine_.pool().Return(*server_, std::move(connection_));
    } else {
      connection_->Cancel();
    }
    connection_ = nullptr;
  }
  server_.reset();
}

auto Forwarder::OnAttemptOver(SendOutcome outcome) -> void {
  if (outcome == SendOutcome::kServerFailure) {
    server_failed_before_ = true;
    CountEvidence(true);
    engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
  }
  const bool reached =
      outcome != SendOutcome::kNotSent && outcome != SendOutcome::kMisdirected;
  if (reached) {
    progress_.servers_used += 1;
  } else {
    progress_.undelivered_sends += 1;
    unreached_.push_back(server_->id);
  }
  last_outcome_ = outcome;
  if (reached && outcome != SendOutcome::kDeclined) {
    progress_.may_have_run = true;
  }
  const Instant now = engine_.Now();
  arrived_ = arrived_ || outcome != SendOutcome::kNotSent;
  const bool may_repeat =
      progress_.servers_used == 0 || engine_.MayRepeat(service_);
  const auto obstacle = RetryObstacle(now, progress_, may_repeat);
  const NextStep step = DecideNext(now, progress_, outcome, may_repeat);
  const bool tries_another = std::holds_alternative<TryAnother>(step);
  // A repeat that reached no server was counted, and is still to come.
  if (tries_another && arrived_ && outcome != SendOutcome::kNotSent) {
    engine_.BudgetFor(service_).OnRepeat(now);
  }
  engine_.Log(
      {"send_failed",
       {{"request", request_id_},
        {"server", server_->id.text()},
        {"outcome", std::string(ToString(outcome))},
        {"status", std::to_string(head_at_ ? head_.result_int() : 0)},
        {"after_ms", std::to_string(Milliseconds(now - sent_at_))},
        {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
        {"left_ms", std::to_string(Milliseconds(progress_.deadline - now))},
        {"events", std::to_string(events_passed_)},
        {"parts", outcome == SendOutcome::kBroken ? ToText(crash_parts_)
                                                  : std::string()},
        {"next", std::string(ToString(step))},
        {"reason", std::string(obstacle.has_value() ? ToString(*obstacle)
                                                    : std::string_view())}}});
  if (outcome == SendOutcome::kBroken) {
    engine_.OnSendBroken(*server_, Unanswered(now));
  }
  FinishAttempt(outcome);
  TakeStep(step);
}

auto Forwarder::Unanswered(Instant now) const -> std::optional<UnansweredSend> {
  if (clocks_.events() > 0 || !body_.empty()) {
    return std::nullopt;
  }
  // Callers may use an id again.
  const auto began =
      static_cast<std::uint64_t>(began_.time_since_epoch().count());
  return UnansweredSend{StableHash(request_id_, began), prompt_.shared_parts,
                        sent_at_, now, signature_};
}

auto Forwarder::OnSendLeft(Instant now) -> void {
  if (const auto unanswered = Unanswered(now)) {
    engine_.quarantine().OnLeft(server_->id, *unanswered);
  }
}

auto Forwarder::PauseSending() -> void {
  const Duration pause = PauseBeforeRetry(pauses_);
  pauses_ += 1;
  const Instant now = engine_.Now();
  retry_at_ = now + std::chrono::duration_cast<Duration>(
                        pause * (1.0 - engine_.Draw() / 2.0));
  std::erase_if(tried_, [this](const BackendServerId& server) {
    return std::ranges::find(unreached_, server) != unreached_.end();
  });
  unreached_.clear();
  engine_.metrics().Count("sends_paused");
  engine_.Log(
      {"sending_paused",
       {{"request", request_id_},
        {"pause_ms", std::to_string(Milliseconds(*retry_at_ - now))},
        {"left_ms", std::to_string(Milliseconds(progress_.deadline - now))},
        {"events", std::to_string(events_passed_)}}});
  ArmTimer();
}

auto Forwarder::TakeStep(const NextStep& step) -> void {
  std::visit(
      Overloaded{[this](const TryAnother&) { Dispatch(); },
                 [this](const TryLater&) { PauseSending(); },
                 [this](const PassServerFailure&) {
                   if (PromisesNotRun(head_.result_int())) {
                     // It ran, which the status would deny.
                     Fail(502, "server_failure");
                     return;
                   }
                   AnswerHead head = CallerHead();
                   head.erase(http::field::content_length);
                   WholeAnswer answer(std::move(head));
                   answer.body() = std::move(body_);
                   caller_->Answer(std::move(answer));
                   Over("server_failure", head_.result_int());
                 },
                 [this](const RefuseNotRun&) { Refuse("servers_declined"); },
                 [this](const ReportUnknown& unknown) {
                   Fail(unknown.timed_out ? 504 : 502,
                        unknown.timed_out ? "timed_out" : "outcome_unknown");
                 },
                 [this](const AbortAnswer&) {
                   caller_->BreakOff();
                   Over("broken_off", 0);
                 }},
      step);
}

auto Forwarder::CallerHead() const -> AnswerHead {
  AnswerHead head = head_;
  EraseHopByHop(head);
  Identify(head);
  return head;
}

auto Forwarder::Identify(AnswerHead& head) const -> void {
  if (attempt_id_.empty()) {
    head.set(engine_.headers().attempt_id, request_id_);
  }
}

auto Forwarder::Refuse(std::string_view reason, ReturnTime time) -> void {
  const Duration longest =
      route_ == nullptr ? time.least + time.spread : TimeLeft() / 3;
  RefuseFor(reason,
            std::min(longest, time.least + std::chrono::duration_cast<Duration>(
                                               time.spread * engine_.Draw())));
}

auto Forwarder::RefuseFor(std::string_view reason, Duration wait) -> void {
  WholeAnswer answer(http::status::service_unavailable, 11);
  Identify(answer.base());
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                std::chrono::duration<double>(wait).count());
  answer.set(http::field::retry_after, text);
  caller_->Answer(std::move(answer));
  Over(reason, 503);
}

auto Forwarder::Fail(unsigned status, std::string_view reason) -> void {
  WholeAnswer answer(static_cast<http::status>(status), 11);
  Identify(answer.base());
  caller_->Answer(std::move(answer));
  Over(reason, status);
}

auto Forwarder::EndForShutdown() -> void {
  if (over_) {
    return;
  }
  const bool is_sent = connection_ != nullptr && connection_->is_sent();
  engine_.Log({"request_cut_by_shutdown",
               {{"request", request_id_},
                {"server", server_.has_value() ? server_->id.text() : ""},
                {"sent", is_sent ? "yes" : "no"},
                {"events", std::to_string(events_passed_)},
                {"left_ms", std::to_string(Milliseconds(TimeLeft()))}}});
  if (server_.has_value()) {
    DropAttempt(false);
  }
  EndUnanswered(is_sent, "shutting_down", kReturnElsewhere, "cut_by_shutdown");
}

auto Forwarder::EndForExcess() -> void {
  if (over_) {
    return;
  }
  const bool is_sent = connection_ != nullptr && connection_->is_sent();
  engine_.metrics().Count("requests_cut_for_memory");
  engine_.Log({"request_cut_for_memory",
               {{"request", request_id_},
                {"server", server_.has_value() ? server_->id.text() : ""},
                {"sent", is_sent ? "yes" : "no"},
                {"request_bytes", std::to_string(request_.body().size())},
                {"answer_bytes", std::to_string(body_.size() + events_.size())},
                {"unsent", std::to_string(caller_->unsent())},
                {"all_bytes", std::to_string(engine_.held()->total())}}});
  if (server_.has_value()) {
    DropAttempt(false);
  }
  caller_->SetRequestBytes(0);
  EndUnanswered(is_sent, "no_memory", {}, "cut_for_memory");
}

auto Forwarder::EndUnanswered(bool is_sent,
                              std::string_view refusal,
                              ReturnTime time,
                              std::string_view cut) -> void {
  std::visit(Overloaded{[&](const RefuseNotRun&) { Refuse(refusal, time); },
                        [&](const AbortAnswer&) {
                          caller_->BreakOff();
                          Over(cut, 0);
                        },
                        [&](const auto&) { Fail(502, cut); }},
             EndUnfinished(progress_, is_sent));
}

auto Forwarder::OnServersChanged() -> void {
  if (connection_ != nullptr && !engine_.chooser().IsUsable(server_->id)) {
    connection_->LimitDelivery();
  }
}

auto Forwarder::Abandon() -> void {
  over_ = true;
  timer_.cancel();
  if (connection_ != nullptr) {
    connection_->Cancel();
    connection_ = nullptr;
  }
}

auto Forwarder::OnCallerGone() -> void {
  if (over_) {
    return;
  }
  if (server_.has_value()) {
    DropAttempt(true);
  }
  Over("caller_left", 0);
}

auto Forwarder::OnCallerDrained() -> void {
  if (connection_ == nullptr || !connection_->is_paused()) {
    return;
  }
  // Nothing was read meanwhile, whatever the server sent.
  last_bytes_ = engine_.Now();
  last_event_at_ = last_bytes_;
  engine_.chooser().OnProgress(last_bytes_, server_->id);
  connection_->Resume();
}

auto Forwarder::ArmTimer() -> void {
  const Instant now = engine_.Now();
  Instant next = progress_.deadline;
  if (retry_at_.has_value()) {
    next = std::min(next, *retry_at_);
  } else if (admittance_ == Admittance::kWaiting) {
    next = std::min(
        {next, admission_until_, engine_.AdmissionOf(service_).NextTime()});
  } else if (waiting_for_server_) {
    const bool is_new_wait =
        now - no_server_since_ < route_->target_latency / kServerWaitPart;
    next = std::min(next, now + (is_new_wait ? kServerPoll : kLongServerPoll));
  } else if (server_.has_value() && progress_.resumable) {
    next = std::min(next, now + kSilencePoll);
  } else if (server_.has_value() && !head_at_.has_value() &&
             progress_.repeat_rule == RepeatRule::kIdempotent) {
    const Instant second_send =
        sent_at_ + std::chrono::duration_cast<Duration>(route_->target_latency *
                                                        kSecondSendPart);
    next = std::min(next, std::max(second_send, now + kSilencePoll));
  }
  timer_.expires_after(std::max(next - now, Duration(1000)));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->over_) {
      self->OnTimer();
    }
  });
}

auto Forwarder::OnTimer() -> void {
  const Instant now = engine_.Now();
  if (now >= progress_.deadline) {
    if (server_.has_value()) {
      progress_.may_have_run = true;
      OnAttemptOver(SendOutcome::kSilent);
    } else {
      waiting_for_server_ = false;
      TakeStep(answer_begun_            ? NextStep(AbortAnswer{})
               : progress_.may_have_run ? NextStep(ReportUnknown{true})
                                        : NextStep(RefuseNotRun{}));
    }
    return;
  }
  if (retry_at_.has_value()) {
    if (now >= *retry_at_) {
      ResumeSending();
    } else {
      ArmTimer();
    }
    return;
  }
  if (admittance_ == Admittance::kWaiting) {
    engine_.Deliver(engine_.AdmissionOf(service_).OnTime(now));
    ArmTimer();
    return;
  }
  if (waiting_for_server_) {
    Dispatch();
    return;
  }
  const auto overdue = OverdueFor(now);
  if (overdue.has_value() && LeaveServer(now, *overdue)) {
    return;
  }
  ArmTimer();
}

auto Forwarder::OverdueFor(Instant now) const -> std::optional<Overdue> {
  if (!server_.has_value() || connection_->is_paused()) {
    return std::nullopt;
  }
  if (!progress_.resumable) {
    const bool is_late =
        !head_at_.has_value() &&
        progress_.repeat_rule == RepeatRule::kIdempotent &&
        now - sent_at_ >= std::chrono::duration_cast<Duration>(
                              route_->target_latency * kSecondSendPart);
    return is_late ? std::optional(Overdue::kAnswer) : std::nullopt;
  }
  const Duration patience =
      MaxServerSilence(*route_, head_at_.has_value(), prompt_.prompt_tokens);
  if (now - last_bytes_ >= patience &&
      engine_.chooser().IsSilent(now, server_->id, patience)) {
    return Overdue::kBytes;
  }
  if (is_stream_ && last_bytes_ > last_event_at_ &&
      now - last_event_at_ >= MaxStreamStall(*route_, prompt_.prompt_tokens)) {
    return Overdue::kEvent;
  }
  return std::nullopt;
}

auto Forwarder::LeaveServer(Instant now, Overdue overdue) -> bool {
  const ForwardProgress after = AfterLeavingServer(progress_);
  auto obstacle = RetryObstacle(now, after, engine_.MayRepeat(service_));
  if (engine_.quarantine().IsHeld(crash_parts_)) {
    obstacle = GiveUpReason::kHeldParts;
  }
  const UsableBackend* next =
      obstacle.has_value() ? nullptr : engine_.chooser().Choose(now, Need());
  if (next == nullptr) {
    if (!std::exchange(kept_overdue_, true)) {
      engine_.metrics().Count("overdue_attempts_kept");
      engine_.Log(
          {"overdue_attempt_kept",
           {{"request", request_id_},
            {"server", server_->id.text()},
            {"overdue", std::string(ToString(overdue))},
            {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
            {"reason", std::string(ToString(
                           obstacle.value_or(GiveUpReason::kNoServer)))}}});
    }
    return false;
  }
  engine_.metrics().Count("overdue_attempts_moved");
  engine_.Log({"overdue_attempt_moved",
               {{"request", request_id_},
                {"server", server_->id.text()},
                {"overdue", std::string(ToString(overdue))},
                {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
                {"after_ms", std::to_string(Milliseconds(now - sent_at_))},
                {"events", std::to_string(events_passed_)},
                {"next_server", next->entry.id.text()}}});
  left_.push_back(server_->id);
  progress_ = after;
  progress_.may_return = true;
  arrived_ = true;
  engine_.BudgetFor(service_).OnRepeat(now);
  connection_->Cancel();
  OnSendLeft(now);
  FinishAttempt(SendOutcome::kSilent);
  Send(*next);
  return true;
}

auto Forwarder::CountEvidence(bool failed) -> void {
  VersionCounts counts;
  counts.answers = 1;
  counts.failures = failed ? 1 : 0;
  if (!failed && head_at_.has_value()) {
    const double took = static_cast<double>(Milliseconds(*head_at_ - sent_at_));
    const auto expected = static_cast<double>(Milliseconds(ExpectedDelay()));
    counts.timed = 1;
    counts.log_slowness = std::log((took + 1.0) / expected);
  }
  engine_.AddEvidence({service_, server_->version, route_->name}, counts);
}

auto Forwarder::ExpectedDelay() const -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          kFirstEventMs + prompt_.prompt_tokens / kPromptTokensPerMs));
}

auto Forwarder::Tokens() const -> double {
  return prompt_.prompt_tokens + prompt_.output_tokens;
}

auto Forwarder::EndClocks(Instant now, bool was_given_up) -> void {
  // A server that was not heard of since may be cut off rather than slow.
  const bool was_slow = was_given_up && !engine_.chooser().IsSilent(
                                            now, server_->id, now - sent_at_);
  clocks_.End(now,
              was_slow ? UnansweredEnd::kTooSlow : UnansweredEnd::kNoEvidence);
}

auto Forwarder::Over(std::string_view outcome, unsigned status) -> void {
  over_ = true;
  timer_.cancel();
  EndAdmission(outcome == "answered");
  caller_->SetRequestBytes(0);
  const Duration total = engine_.Now() - began_;
  engine_.metrics().Count("requests_" + std::string(outcome));
  engine_.metrics().Observe("request", total);
  if (outcome == "answered") {
    engine_.RecordDuration(route_->name, total);
  }
  engine_.Log(
      {"request_over",
       {{"request", request_id_},
        {"route", route_ == nullptr ? "" : route_->name},
        {"account", account_ == nullptr ? "" : account_->id.text()},
        {"outcome", std::string(outcome)},
        {"status", std::to_string(status)},
        {"sends", std::to_string(asked_.size())},
        {"model", names_model_ ? route_->models[model_] : ""},
        {"confidence",
         std::string(
             HeaderValue(head_, engine_.headers().confidence).value_or(""))},
        {"events", std::to_string(events_passed_)},
        {"took_ms", std::to_string(Milliseconds(total))}}});
  engine_.OnRequestOver(shared_from_this());
}

}  // namespace zinniastep
