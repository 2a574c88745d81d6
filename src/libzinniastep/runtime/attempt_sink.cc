#include "libzinniastep/runtime/attempt_sink.h"

#include <charconv>
#include <utility>
#include <vector>

#include "libzinniastep/runtime/stream_writer.h"

namespace zinniastep {

namespace {

// Bytes that may wait for a slow caller before the backend server is paused.
constexpr std::size_t kMostOutstanding = 256U << 10U;
// Longest answer that is kept whole.
constexpr std::size_t kLongestKept = 4U << 20U;
constexpr std::uint16_t kOk = 200;

auto ParseIncarnation(const HttpResult& result) -> Incarnation {
  const auto found = result.headers.find("x-server-incarnation");
  Incarnation incarnation = 0;
  if (found != result.headers.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), incarnation);
  }
  return incarnation;
}

}  // namespace

AttemptSink::AttemptSink(StartAttempt action,
                         std::shared_ptr<const OpenCall> call,
                         EventSink events)
    : action_(std::move(action)),
      call_(std::move(call)),
      events_(std::move(events)) {}

auto AttemptSink::PassesOn(std::uint16_t status) const -> bool {
  return call_->stream && action_.delivery == Delivery::kStream &&
         status == kOk;
}

auto AttemptSink::OnData(std::uint16_t status, std::string_view data) -> Flow {
  if (!has_data_) {
    has_data_ = true;
    events_(AttemptFirstByte{action_.attempt});
  }
  if (PassesOn(status)) {
    return PassOn(data);
  }
  if (kept_.size() + data.size() > kLongestKept) {
    return Flow::kStop;
  }
  kept_.append(data);
  return Flow::kContinue;
}

auto AttemptSink::PassOn(std::string_view data) -> Flow {
  StreamWriter& writer = *call_->writer;
  if (!writer.alive()) {
    return Flow::kStop;
  }
  if (writer.outstanding_bytes() > kMostOutstanding) {
    return Flow::kPause;
  }
  const std::string ready = stream_.Feed(data);
  if (stream_.overflowed()) {
    return Flow::kStop;
  }
  const bool replayable = !action_.idempotency_key.empty();
  if (replayable && kept_.size() + ready.size() <= kLongestKept) {
    kept_.append(ready);
  } else {
    kept_all_ = kept_all_ && !replayable;
  }
  if (!ready.empty()) {
    BeginAnswer();
    caller_has_bytes_ = true;
    writer.Write(ready);
  }
  return Flow::kContinue;
}

auto AttemptSink::BeginAnswer() -> void {
  if (call_->writer->begun()) {
    return;
  }
  const std::vector<HttpHeader> headers = {
      {"Content-Type", "text/event-stream"},
      {"Cache-Control", "no-cache"},
      {"X-Request-Id", ToString(action_.attempt.request)},
      {"X-Model-Version", ToString(action_.version)},
      {"X-Session-Token", action_.session_token}};
  call_->writer->Begin(kOk, headers);
}

auto AttemptSink::Outcome(const HttpResult& result) const -> AttemptOutcome {
  if (!result.sent) {
    return AttemptOutcome::kNotSent;
  }
  if (result.cancelled) {
    return AttemptOutcome::kCancelled;
  }
  const bool whole =
      result.complete && (!PassesOn(result.status) || stream_.ended());
  return whole ? AttemptOutcome::kAnswered : AttemptOutcome::kBroken;
}

auto AttemptSink::KeptAnswer(const HttpResult& result) -> SharedAnswer {
  const bool passed_on = PassesOn(result.status);
  if (passed_on && (action_.idempotency_key.empty() || !kept_all_)) {
    return nullptr;
  }
  auto answer = std::make_shared<Answer>();
  answer->status = result.status;
  const auto type = result.headers.find("content-type");
  answer->content_type =
      type == result.headers.end() ? "application/json" : type->second;
  answer->body = std::move(kept_);
  if (passed_on) {
    answer->body.append(EventStream::kEndMarker);
  }
  return answer;
}

auto AttemptSink::OnDone(HttpResult result) -> void {
  AttemptEnded ended;
  ended.attempt = action_.attempt;
  ended.outcome = Outcome(result);
  ended.status = result.status;
  ended.usage = stream_.usage();
  ended.caller_has_bytes = caller_has_bytes_;
  ended.server_incarnation = ParseIncarnation(result);
  if (!PassesOn(result.status)) {
    if (kept_.starts_with("data: ")) {
      EventStream whole;
      [[maybe_unused]] const std::string ready = whole.Feed(kept_);
      ended.usage = whole.usage();
      if (!whole.ended() && ended.outcome == AttemptOutcome::kAnswered) {
        ended.outcome = AttemptOutcome::kBroken;
      }
    } else {
      ReadUsage(kept_, ended.usage);
    }
  }
  ended.usage.first_token = result.first_byte;
  ended.usage.total = result.total;
  if (ended.outcome == AttemptOutcome::kAnswered) {
    ended.answer = KeptAnswer(result);
  }
  events_(std::move(ended));
}

}  // namespace zinniastep
