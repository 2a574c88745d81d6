// How a forwarder takes a backend server's answer.

#include <algorithm>
#include <utility>

#include "libzinniastep/traffic/forwarder.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/server_answer_head.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

// Bytes of an answer that wait for a slow caller before the server is paused.
constexpr std::size_t kMostUnsent = 65536;
// Plain answers up to this size are kept whole until complete, so that a
// broken one can be asked for again.
constexpr std::size_t kMostHeldBody = std::size_t{1} << 20U;
// Longest plain answer that is passed on, in bytes: sixteen times the longest
// body that callers may send by default. A server that goes on is broken.
constexpr std::size_t kLongestAnswer = std::size_t{64} << 20U;

}  // namespace

auto Forwarder::OnHead(const AnswerHead& head) -> void {
  const Instant now = engine_.Now();
  head_at_ = now;
  last_bytes_ = now;
  head_ = head;
  engine_.chooser().OnProgress(now, server_->id);
  const ServerAnswerHead answer = ReadServerAnswerHead(head, engine_.headers());
  if (answer.load.has_value()) {
    if (!engine_.chooser().OnLoad(now, server_->id, *answer.load)) {
      engine_.metrics().Count("server_paces_out_of_bounds");
    }
    if (answer.load->pace_percent.has_value() && !answer.is_misdirected) {
      engine_.AdmissionOf(service_).OnPace(now, *answer.load->pace_percent);
    }
  }
  if (answer.has_odd_load) {
    engine_.metrics().Count("server_loads_unreadable");
  }
  misdirected_ = answer.is_misdirected;
  not_run_ = answer.is_not_run;
  server_failed_ = answer.is_failure;
  if (!not_run_ && !server_failed_) {
    clocks_.OnHead(now);
  }
  answer_bytes_ = 0;
  is_stream_ = route_->streaming && answer.is_stream;
  if (!not_run_) {
    progress_.may_have_run = true;
  }
  if (answer_begun_ && !is_stream_ && !not_run_) {
    // Nothing but events can go on where the caller's stream stopped.
    server_failed_ = true;
  }
  if (is_stream_) {
    // Long streams end much later than a roll-out's judge wants to know.
    CountEvidence(false);
  }
  if (is_stream_ && names_model_ && !answer_begun_) {
    Escalate(answer.confidence);
  }
}

auto Forwarder::OnBody(std::string_view bytes) -> void {
  if (over_ || server_ == std::nullopt) {
    return;
  }
  last_bytes_ = engine_.Now();
  engine_.chooser().OnProgress(last_bytes_, server_->id);
  if (is_stream_) {
    TakeEvents(bytes);
  } else {
    TakeBody(bytes);
  }
  if (!over_) {
    UpdateHeld();
  }
}

auto Forwarder::UpdateHeld() -> void {
  // A connection has a copy of the request's body while it sends it.
  // An answer grows by doubling, so that its memory may be twice its size.
  caller_->SetRequestBytes(2 * request_.body().size() + body_.capacity() +
                           events_.size());
}

auto Forwarder::MostKept() const -> std::size_t {
  return engine_.held()->is_scarce() ? kMostUnsent : kMostHeldBody;
}

auto Forwarder::TakeBody(std::string_view bytes) -> void {
  answer_bytes_ += bytes.size();
  if (answer_bytes_ > kLongestAnswer ||
      (answer_bytes_ > MostKept() && (not_run_ || server_failed_))) {
    EndOverlongAnswer();
    return;
  }
  if (not_run_ || server_failed_ || !answer_begun_) {
    body_.append(bytes);
  } else {
    caller_->Write(bytes);
  }
  if (!not_run_ && !server_failed_ && !answer_begun_ &&
      body_.size() > MostKept()) {
    answer_begun_ = true;
    progress_.caller_has_bytes = true;
    // Nothing can be joined to it.
    progress_.resumable = false;
    caller_->BeginAnswer(CallerHead());
    caller_->Write(std::exchange(body_, {}));
  }
  if (connection_ != nullptr && caller_->unsent() > kMostUnsent) {
    connection_->Pause();
  }
}

auto Forwarder::EndOverlongAnswer() -> void {
  engine_.Log({"answer_overlong",
               {{"request", request_id_},
                {"server", server_->id.text()},
                {"status", std::to_string(head_.result_int())}}});
  engine_.metrics().Count("answers_overlong");
  connection_->Cancel();
  // What the head said of a request that was not run holds without its body.
  OnAttemptOver(misdirected_ ? SendOutcome::kMisdirected
                : not_run_   ? SendOutcome::kDeclined
                             : SendOutcome::kBroken);
}

auto Forwarder::EndUnnumberedStream() -> void {
  engine_.Log({"stream_unnumbered",
               {{"request", request_id_}, {"server", server_->id.text()}}});
  connection_->Cancel();
  OnAttemptOver(SendOutcome::kBroken);
}

auto Forwarder::TakeEvents(std::string_view bytes) -> void {
  events_.Add(bytes);
  while (auto event = events_.Next()) {
    if (event->id.has_value() && last_event_.has_value() &&
        *event->id <= *last_event_) {
      continue;
    }
    if (event->has_data && !event->id.has_value()) {
      // Another server could not tell where to go on.
      if (clocks_.events() < events_passed_) {
        EndUnnumberedStream();
        return;
      }
      progress_.resumable = false;
    }
    if (!answer_begun_) {
      answer_begun_ = true;
      progress_.caller_has_bytes = true;
      AnswerHead head = CallerHead();
      head.erase(http::field::content_length);
      caller_->BeginAnswer(std::move(head));
      engine_.metrics().Observe("first_event", engine_.Now() - began_);
    }
    caller_->Write(event->text);
    ++events_passed_;
    clocks_.OnEvent(last_bytes_);
    if (clocks_.events() == 1) {
      engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
    }
    if (event->id.has_value()) {
      last_event_ = event->id;
    }
    last_event_at_ = last_bytes_;
  }
  TakeEventTimes(false);
  if (events_.is_overlong()) {
    EndOverlongAnswer();
    return;
  }
  if (connection_ != nullptr && caller_->unsent() > kMostUnsent) {
    connection_->Pause();
  }
}

auto Forwarder::TakeEventTimes(bool is_over) -> void {
  auto times = clocks_.TakeTimes(is_over);
  if (!times.has_value()) {
    return;
  }
  times->model = names_model_ ? std::string_view(route_->models[model_])
                              : Header(engine_.headers().model);
  engine_.chooser().OnEventTimes(engine_.Now(), server_->id, *times);
}

auto Forwarder::OnEnd(ExchangeEnd end) -> void {
  if (over_ || !server_.has_value()) {
    return;
  }
  switch (end) {
    case ExchangeEnd::kNotSent:
      OnAttemptOver(SendOutcome::kNotSent);
      return;
    case ExchangeEnd::kBroken:
      OnAttemptOver(SendOutcome::kBroken);
      return;
    case ExchangeEnd::kWhole:
      break;
  }
  if (misdirected_) {
    OnAttemptOver(SendOutcome::kMisdirected);
  } else if (not_run_) {
    OnAttemptOver(SendOutcome::kDeclined);
  } else if (server_failed_) {
    OnAttemptOver(SendOutcome::kServerFailure);
  } else if (is_stream_) {
    OnStreamEnd();
  } else {
    AnswerWhole();
  }
}

auto Forwarder::OnStreamEnd() -> void {
  if (events_.has_part()) {
    OnAttemptOver(SendOutcome::kBroken);
    return;
  }
  FinishAttempt(SendOutcome::kAnswered);
  if (!answer_begun_) {
    AnswerHead head = CallerHead();
    head.erase(http::field::content_length);
    caller_->BeginAnswer(std::move(head));
  }
  caller_->Finish();
  Over("answered", head_.result_int());
}

auto Forwarder::AnswerWhole() -> void {
  CountEvidence(false);
  engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
  FinishAttempt(SendOutcome::kAnswered);
  if (answer_begun_) {
    caller_->Finish();
  } else {
    AnswerHead head = CallerHead();
    head.erase(http::field::content_length);
    WholeAnswer answer(std::move(head));
    answer.body() = std::move(body_);
    caller_->Answer(std::move(answer));
  }
  Over("answered", head_.result_int());
}

}  // namespace zinniastep
