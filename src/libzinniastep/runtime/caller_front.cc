#include "libzinniastep/runtime/caller_front.h"

#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/runtime/chat_request.h"
#include "libzinniastep/runtime/refusal_body.h"
#include "libzinniastep/runtime/stream_writer.h"

namespace zinniastep {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kExplainPrefix = "/explain/";
constexpr std::size_t kLongestName = 256;
constexpr std::size_t kLongestToken = 4096;

auto JsonHeaders() -> std::vector<HttpHeader> {
  return {{"Content-Type", "application/json"}};
}

auto SendRefusal(StreamWriter& writer, const Refusal& refusal) -> void {
  writer.Send(refusal.status, JsonHeaders(), RefusalBody(refusal));
}

auto BadRequest(std::string message) -> Refusal {
  return {400, "bad_request", std::move(message), RunState::kNotRun,
          Duration(0)};
}

auto BearerDigest(const HttpRequestView& request) -> std::string {
  const auto header = request.header("Authorization");
  if (!header.has_value() || !header->starts_with(kBearer)) {
    return {};
  }
  return Sha256Hex(std::string_view(*header).substr(kBearer.size()));
}

// Reads the headers that both kinds of requests share. Returns what is wrong.
auto ReadHeaders(const HttpRequestView& request, CallArrived& arrival)
    -> std::optional<Refusal> {
  arrival.key_digest = BearerDigest(request);
  const auto key = request.header("Idempotency-Key").value_or("");
  const auto session = request.header("X-Session").value_or("");
  arrival.session_token = request.header("X-Session-Token").value_or("");
  if (key.size() > kLongestName || session.size() > kLongestName ||
      arrival.session_token.size() > kLongestToken) {
    return BadRequest("a header is too long");
  }
  arrival.idempotency_key = IdempotencyKey(key);
  arrival.session = SessionId(session);
  const auto priority = request.header("X-Priority").value_or("normal");
  if (priority == "low") {
    arrival.priority = Priority::kLow;
  } else if (priority == "high") {
    arrival.priority = Priority::kHigh;
  } else if (priority != "normal") {
    return BadRequest("X-Priority must be low, normal or high");
  }
  if (const auto deadline = request.header("X-Deadline-Ms")) {
    std::uint32_t milliseconds = 0;
    const char* end = deadline->data() + deadline->size();
    const auto parsed = std::from_chars(deadline->data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds == 0) {
      return BadRequest("X-Deadline-Ms must be a positive number");
    }
    arrival.deadline = std::chrono::milliseconds(milliseconds);
  }
  return std::nullopt;
}

}  // namespace

CallerFront::CallerFront(CallerFrontOptions options,
                         CallerFrontHooks hooks,
                         CallTable& calls,
                         Metrics& metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      calls_(calls),
      metrics_(metrics) {}

auto CallerFront::Handle(const HttpRequestView& request,
                         const std::shared_ptr<StreamWriter>& writer) -> void {
  metrics_.Count("http_requests");
  const std::string_view path = request.path();
  if (path == "/v1/chat/completions" && request.method() == "POST") {
    HandleChat(request, writer);
  } else if (path.starts_with(kServicesPrefix)) {
    HandleService(request, writer);
  } else if (path == "/v1/models") {
    HandleModels(request, *writer);
  } else if (path == "/addresses") {
    writer->Send(kOk, JsonHeaders(), hooks_.addresses());
  } else if (path == "/health") {
    writer->Send(kOk, JsonHeaders(), R"({"health":"ok"})");
  } else if (path == "/ready") {
    const bool ready = hooks_.ready();
    writer->Send(ready ? kOk : kUnavailable, JsonHeaders(),
                 ready ? R"({"ready":true})" : R"({"ready":false})");
  } else if (path == "/metrics") {
    const std::vector<HttpHeader> headers = {
        {"Content-Type", kExpositionContentType}};
    writer->Send(kOk, headers, ExpositionText(metrics_.Snapshot()));
  } else {
    HandleOperator(request, *writer);
  }
}

auto CallerFront::HandleChat(const HttpRequestView& request,
                             const std::shared_ptr<StreamWriter>& writer)
    -> void {
  auto chat = ReadChatRequest(request.body());
  if (!chat.ok()) {
    SendRefusal(*writer,
                BadRequest(std::string(chat.status().message().data(),
                                       chat.status().message().size())));
    return;
  }
  chat->task_class = TaskClassId(request.header("X-Task-Class").value_or(""));
  if (chat->task_class.text().size() > kLongestName) {
    SendRefusal(*writer, BadRequest("X-Task-Class is too long"));
    return;
  }
  CallArrived arrival;
  OpenCall call;
  call.method = "POST";
  call.stream = chat->stream;
  arrival.target = *std::move(chat);
  Submit(request, writer, std::move(arrival), std::move(call));
}

auto CallerFront::HandleService(const HttpRequestView& request,
                                const std::shared_ptr<StreamWriter>& writer)
    -> void {
  const std::string_view rest = request.path().substr(kServicesPrefix.size());
  const auto slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  const std::string_view path =
      slash == std::string_view::npos ? "/" : rest.substr(slash);
  if (name.empty() || name.size() > kLongestName) {
    SendRefusal(*writer, BadRequest("the path must name a service"));
    return;
  }
  CallArrived arrival;
  arrival.target =
      ServiceCall{ServiceId(std::string(name)), std::string(request.method()),
                  std::string(path)};
  OpenCall call;
  call.method = std::string(request.method());
  call.path = std::string(path) + request.query_string();
  Submit(request, writer, std::move(arrival), std::move(call));
}

auto CallerFront::Submit(const HttpRequestView& request,
                         const std::shared_ptr<StreamWriter>& writer,
                         CallArrived arrival,
                         OpenCall call) -> void {
  if (const auto refusal = ReadHeaders(request, arrival)) {
    SendRefusal(*writer, *refusal);
    return;
  }
  if (calls_.size() >= options_.most_calls) {
    metrics_.Count("refused_too_many_calls");
    SendRefusal(*writer,
                {503, "too_many_calls", "this host has too many open calls",
                 RunState::kNotRun, std::chrono::milliseconds(500)});
    return;
  }
  arrival.body_hash = StableHash(
      request.body(), StableHash(call.path, StableHash(call.method)));
  call.content_type =
      request.header("Content-Type").value_or("application/json");
  call.body = std::make_shared<const std::string>(request.body());
  call.writer = writer;
  const CallId id = calls_.Add(std::move(call));
  arrival.call = id;
  hooks_.post(std::move(arrival));
  writer->SetGoneCallback([post = hooks_.post, id] { post(CallerGone{id}); });
}

auto CallerFront::HandleModels(const HttpRequestView& request,
                               StreamWriter& writer) -> void {
  const auto models = hooks_.models(BearerDigest(request));
  if (!models.has_value()) {
    SendRefusal(writer,
                {401, "unauthenticated", "no client account has this key",
                 RunState::kNotRun, Duration(0)});
    return;
  }
  writer.Send(kOk, JsonHeaders(), *models);
}

auto CallerFront::IsOperator(const HttpRequestView& request) const -> bool {
  return !options_.operator_key_digest.empty() &&
         BearerDigest(request) == options_.operator_key_digest;
}

auto CallerFront::HandleOperator(const HttpRequestView& request,
                                 StreamWriter& writer) -> void {
  const std::string_view path = request.path();
  const bool known =
      path == "/state" || path == "/drain" || path.starts_with(kExplainPrefix);
  if (!known) {
    SendRefusal(writer, {kNotFound, "unknown_path", "no such path or method",
                         RunState::kNotRun, Duration(0)});
    return;
  }
  if (!IsOperator(request)) {
    SendRefusal(writer, {401, "unauthenticated", "not an operator's key",
                         RunState::kNotRun, Duration(0)});
    return;
  }
  if (path == "/state") {
    writer.Send(kOk, JsonHeaders(), hooks_.state());
    return;
  }
  if (path == "/drain" && request.method() == "POST") {
    hooks_.post(OperatorDrain{});
    writer.Send(kOk, JsonHeaders(), R"({"draining":true})");
    return;
  }
  if (path.starts_with(kExplainPrefix)) {
    writer.Send(kOk, JsonHeaders(),
                hooks_.explain(path.substr(kExplainPrefix.size())));
    return;
  }
  SendRefusal(writer, {405, "unknown_method", "the method does not fit",
                       RunState::kNotRun, Duration(0)});
}

}  // namespace zinniastep
