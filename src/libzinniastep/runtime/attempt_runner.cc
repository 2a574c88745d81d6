#include "libzinniastep/runtime/attempt_runner.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libzinniastep/runtime/attempt_sink.h"
#include "libzinniastep/runtime/refusal_body.h"
#include "libzinniastep/runtime/stream_writer.h"

namespace zinniastep {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";

auto PriorityName(Priority priority) -> std::string_view {
  switch (priority) {
    case Priority::kLow:
      return "low";
    case Priority::kNormal:
      return "normal";
    case Priority::kHigh:
      return "high";
  }
  return "normal";
}

auto Header(std::string_view name, std::string_view value) -> std::string {
  return std::string(name) + ": " + std::string(value);
}

}  // namespace

AttemptRunner::AttemptRunner(CallTable& calls,
                             HttpLoop& loop,
                             Metrics& metrics,
                             EventSink events)
    : calls_(calls),
      loop_(loop),
      metrics_(metrics),
      events_(std::move(events)) {}

auto AttemptRunner::RequestFor(const StartAttempt& action,
                               const OpenCall& call) const -> HttpRequest {
  const bool is_engine = !action.version.model.empty();
  HttpRequest request;
  request.method = is_engine ? "POST" : call.method;
  request.url = "http://" + action.address +
                (is_engine ? std::string(kChatPath) : call.path);
  request.body = call.body;
  request.timeout = action.timeout;
  request.send_within = action.send_within;
  request.at_most_once = action.at_most_once;
  request.headers = {Header("Content-Type", call.content_type),
                     Header("X-Attempt-Id", ToString(action.attempt)),
                     Header("X-Request-Id", ToString(action.attempt.request)),
                     Header("X-Priority", PriorityName(action.priority)),
                     Header("X-Client-Account", action.account.text()),
                     Header("X-Idempotency-Key", action.idempotency_key.text()),
                     Header("X-Session", action.session.text())};
  if (is_engine) {
    request.headers.push_back(
        Header("X-Model-Version", ToString(action.version)));
  }
  return request;
}

auto AttemptRunner::Start(const StartAttempt& action) -> void {
  const auto call = calls_.Find(action.call);
  if (call == nullptr) {
    AttemptEnded ended;
    ended.attempt = action.attempt;
    events_(std::move(ended));
    return;
  }
  metrics_.Count("attempts_started");
  const AttemptId attempt = action.attempt;
  auto forget_and_report = [this, attempt](Event event) {
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const std::lock_guard lock(mutex_);
      exchanges_.erase(attempt);
      metrics_.Observe("attempt_first_byte", ended->usage.first_token);
    }
    events_(std::move(event));
  };
  auto sink =
      std::make_shared<AttemptSink>(action, call, std::move(forget_and_report));
  const std::lock_guard lock(mutex_);
  exchanges_[attempt] =
      loop_.Submit(RequestFor(action, *call), std::move(sink));
}

auto AttemptRunner::Cancel(const CancelAttempt& action) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = exchanges_.find(action.attempt);
  if (found != exchanges_.end()) {
    loop_.Cancel(found->second);
  }
}

auto AttemptRunner::Complete(const CompleteCall& action) -> void {
  const auto call = calls_.Find(action.call);
  if (call == nullptr) {
    return;
  }
  calls_.Remove(action.call);
  StreamWriter& writer = *call->writer;
  if (writer.begun()) {
    writer.Write(EventStream::kEndMarker);
    writer.End();
    return;
  }
  if (action.answer == nullptr) {
    writer.Abort();
    return;
  }
  std::vector<HttpHeader> headers = {
      {"Content-Type", action.answer->content_type},
      {"X-Request-Id", ToString(action.request)}};
  if (!action.version.model.empty()) {
    headers.push_back({"X-Model-Version", ToString(action.version)});
  }
  if (!action.session_token.empty()) {
    headers.push_back({"X-Session-Token", action.session_token});
  }
  writer.Send(action.answer->status, headers, action.answer->body);
}

auto AttemptRunner::Refuse(const RefuseCall& action) -> void {
  const auto call = calls_.Find(action.call);
  if (call == nullptr) {
    return;
  }
  calls_.Remove(action.call);
  metrics_.Count("refused_" + action.refusal.code);
  StreamWriter& writer = *call->writer;
  const std::string body = RefusalBody(action.refusal);
  const std::vector<HttpHeader> headers = {
      {"Content-Type", "application/json"},
      {"X-Request-Id", ToString(action.request)}};
  // An attempt that is still being cancelled may begin the stream meanwhile.
  if (!writer.Send(action.refusal.status, headers, body)) {
    writer.Write("data: " + body + "\n\n");
    writer.End();
  }
}

}  // namespace zinniastep
