#include "zinniastep-standin/backend_server.h"

#include <algorithm>
#include <utility>

#include "zinniastep-standin/answer_text.h"

namespace zinniastep::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kAttempts = "/attempts/";
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint32_t kMostTokens = 100'000;
constexpr std::size_t kMostUnanswered = 10'000;

// Text of all messages of a chat request.
auto Prompt(const json& body) -> std::string {
  std::string prompt;
  for (const json& message : body.value("messages", json::array())) {
    prompt += message.is_object() ? Member<std::string>(message, "content", "")
                                  : std::string();
    prompt += "\n";
  }
  return prompt;
}

auto ServerSentEvent(const json& event) -> std::string {
  return "data: " + event.dump() + "\n\n";
}

auto Chunk(const json& choices) -> json {
  return {{"object", "chat.completion.chunk"}, {"choices", choices}};
}

}  // namespace

BackendServer::BackendServer(ServerSettings settings,
                             std::uint64_t seed,
                             const Quality& quality,
                             EventLoop& loop,
                             Account& account)
    : settings_(std::move(settings)),
      quality_(quality),
      loop_(loop),
      account_(account),
      random_(seed),
      versions_(settings_.versions.begin(), settings_.versions.end()) {
  account_.servers[settings_.name].cold_limit = settings_.cold_limit;
  incarnation_ = random_.Next() >> 1U;
  Sample();
}

auto BackendServer::Handle(const Request& request) -> void {
  if (request.path == "/load") {
    if (down_ || load_silent_) {
      SendError(*request.writer, 503, "down");
      return;
    }
    SendJson(*request.writer, 200, published_);
    NoteReport();
    return;
  }
  if (silent_) {
    if (unanswered_.size() < kMostUnanswered) {
      unanswered_.push_back(request);
    }
    return;
  }
  if (down_ || restarting_) {
    ++account_.servers[settings_.name].refusals;
    SendError(*request.writer, 503, "overloaded");
    return;
  }
  if (request.method == "DELETE" && request.path.starts_with(kAttempts)) {
    Cancel(request.path.substr(kAttempts.size()));
    SendJson(*request.writer, 200, json::object());
  } else if (request.path == "/orders" && settings_.service.empty()) {
    TakeOrder(request);
  } else {
    Work(request);
  }
}

auto BackendServer::SetFault(const json& fault) -> void {
  down_ = fault.value("down", down_);
  silent_ = fault.value("silent", silent_);
  load_silent_ = fault.value("load_silent", load_silent_);
  slow_factor_ = fault.value("slow_factor", slow_factor_);
  error_share_ = fault.value("error_share", error_share_);
  cut_share_ = fault.value("cut_share", cut_share_);
  lose_share_ = fault.value("lose_share", lose_share_);
  crash_on_ = fault.value("crash_on", crash_on_);
  if (!silent_) {
    for (const Request& request : std::exchange(unanswered_, {})) {
      request.writer->Abort();
    }
  }
  if (fault.value("cold", false)) {
    TurnCold();
  }
  if (fault.value("restart", false)) {
    Restart();
  }
}

auto BackendServer::Work(const Request& request) -> void {
  if (settings_.service.empty() && !versions_.contains(request.version)) {
    SendError(*request.writer, 404, "version_not_loaded");
    return;
  }
  if (running_.size() < settings_.batch) {
    Begin(request);
    return;
  }
  if (queue_.size() >= settings_.queue) {
    ++account_.servers[settings_.name].refusals;
    SendError(*request.writer, 503, "overloaded");
    return;
  }
  queue_.push_back(request);
  request.writer->SetGoneCallback([this, attempt = request.attempt] {
    loop_.Post([this, attempt] { Cancel(attempt); });
  });
}

auto BackendServer::Begin(const Request& request) -> void {
  if (!NoteStart()) {
    Restart();
    SendError(*request.writer, 503, "overloaded");
    return;
  }
  const json body = ParseObject(request.body);
  Running running;
  running.request = request;
  running.version = request.version;
  const bool chat = settings_.service.empty();
  const std::string prompt = chat ? Prompt(body) : request.body;
  running.digest = ShortDigest(prompt);
  running.attempt_digest = ShortDigest(request.attempt);
  running.stream = chat && Member(body, "stream", false);
  running.crashes =
      !crash_on_.empty() && prompt.find(crash_on_) != std::string::npos;
  if (chat) {
    const auto& version = quality_.Find(request.version).settings;
    running.tokens = std::clamp(
        Member(body, "max_tokens", version.answer_tokens), 1U, kMostTokens);
  }
  if (random_.Unit() < cut_share_) {
    running.cut_before = std::max(1U, running.tokens / 2);
  }
  running.run = account_.runs.size();
  account_.runs.push_back({.server = settings_.name,
                           .service = settings_.service,
                           .attempt = request.attempt,
                           .request_id = request.request_id,
                           .account = request.account,
                           .key = request.key,
                           .session = request.session,
                           .version = request.version,
                           .digest = running.digest,
                           .started_unix_ms = UnixMilliseconds(),
                           .prompt_tokens = static_cast<std::uint32_t>(
                               chat ? prompt.size() / kBytesPerToken + 1 : 0)});
  account_.digests[request.request_id + " " + request.version] = running.digest;
  const std::uint64_t id = ++last_id_;
  request.writer->SetGoneCallback(
      [this, id] { loop_.Post([this, id] { End(id, "cancelled"); }); });
  const Duration cost = Cost(running);
  running_.emplace(id, std::move(running));
  loop_.After(cost, [this, id] { Step(id); });
}

// Time to the first token, or of a whole call to a plain service.
auto BackendServer::Cost(const Running& running) const -> Duration {
  if (!settings_.service.empty()) {
    return Slowed(settings_.work_us);
  }
  const auto& version = quality_.Find(running.version).settings;
  const std::uint64_t prompt = account_.runs[running.run].prompt_tokens;
  return Slowed(version.first_token_us + prompt * version.prompt_token_us);
}

// Counts one more at work; false when the server falls over from it.
auto BackendServer::NoteStart() -> bool {
  ServerAccount& account = account_.servers[settings_.name];
  const std::uint64_t count = running_.size() + 1;
  ++account.starts;
  account.most_running = std::max(account.most_running, count);
  if (warm_) {
    return true;
  }
  account.most_running_cold = std::max(account.most_running_cold, count);
  if (count <= settings_.cold_limit) {
    return true;
  }
  const bool announced = EventLoop::Clock::now() >= cold_known_at_;
  ++(announced ? account.over_cold_limit : account.over_cold_limit_unannounced);
  return false;
}

auto BackendServer::Step(std::uint64_t id) -> void {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  if (running.crashes) {
    Restart();
    return;
  }
  const auto& version = quality_.Find(running.version);
  if (running.next == 0 &&
      random_.Unit() < std::max(error_share_, version.error_share)) {
    SendError(*running.request.writer, 500, "failed");
    End(id, "failed");
    return;
  }
  if (running.cut_before != 0 && running.next >= running.cut_before) {
    running.request.writer->Abort();
    End(id, "lost");
    return;
  }
  if (running.next == running.tokens) {
    const bool lose = random_.Unit() < lose_share_;
    if (lose) {
      running.request.writer->Abort();
    } else if (settings_.service.empty()) {
      FinishChat(running);
    } else {
      FinishService(running);
    }
    End(id, lose ? "lost" : "answered");
    return;
  }
  const std::string token = TokenText(running.digest, running.attempt_digest,
                                      running.next, running.tokens);
  if (running.stream && running.next == 0) {
    running.request.writer->Begin(200, Headers("text/event-stream"));
  }
  ++running.next;
  ++account_.runs[running.run].completion_tokens;
  if (running.stream) {
    running.request.writer->Write(ServerSentEvent(
        Chunk(json::array({{{"index", 0}, {"delta", {{"content", token}}}}}))));
  } else {
    running.text += token;
  }
  loop_.After(running.next == running.tokens
                  ? Duration(0)
                  : Slowed(version.settings.token_us),
              [this, id] { Step(id); });
}

auto BackendServer::FinishChat(Running& running) -> void {
  StreamWriter& writer = *running.request.writer;
  if (running.stream) {
    json last = Chunk(json::array({{{"index", 0},
                                    {"delta", json::object()},
                                    {"finish_reason", "stop"}}}));
    last["usage"] = Usage(running);
    writer.Write(ServerSentEvent(last) + "data: [DONE]\n\n");
    writer.End();
    return;
  }
  const json body = {
      {"object", "chat.completion"},
      {"model", running.version},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", running.text}}},
         {"finish_reason", "stop"}}}},
      {"usage", Usage(running)}};
  writer.Send(200, Headers("application/json"), body.dump());
}

auto BackendServer::FinishService(Running& running) -> void {
  const json body = {{"service", settings_.service},
                     {"server", settings_.name},
                     {"attempt", running.request.attempt},
                     {"digest", running.digest}};
  running.request.writer->Send(200, Headers("application/json"), body.dump());
}

auto BackendServer::End(std::uint64_t id, const std::string& outcome) -> void {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  account_.runs[found->second.run].outcome = outcome;
  running_.erase(found);
  if (outcome == "answered" && !warm_ &&
      ++answers_since_cold_ >= settings_.warm_after) {
    warm_ = true;
  }
  while (!queue_.empty() && running_.size() < settings_.batch) {
    const Request next = std::move(queue_.front());
    queue_.pop_front();
    if (next.writer->alive()) {
      Begin(next);
    }
  }
}

auto BackendServer::Cancel(const std::string& attempt) -> void {
  std::erase_if(queue_, [&](const Request& request) {
    return request.attempt == attempt;
  });
  const auto found = std::ranges::find_if(running_, [&](const auto& entry) {
    return entry.second.request.attempt == attempt;
  });
  if (found != running_.end()) {
    found->second.request.writer->Abort();
    End(found->first, "cancelled");
  }
}

auto BackendServer::TakeOrder(const Request& request) -> void {
  const json body = ParseObject(request.body);
  const Order order{.server = settings_.name,
                    .action = Member<std::string>(body, "action", ""),
                    .version = Member<std::string>(body, "model", "") + "@" +
                               Member<std::string>(body, "version", ""),
                    .fence = Member<std::uint64_t>(body, "fence", 0)};
  account_.orders.push_back(order);
  if (settings_.checks_fencing && order.fence < highest_fence_) {
    SendError(*request.writer, 409, "old_fence");
    return;
  }
  highest_fence_ = std::max(highest_fence_, order.fence);
  loop_.After(std::chrono::milliseconds(settings_.order_ms),
              [this, request, order, number = account_.orders.size() - 1] {
                if (order.action == "load") {
                  versions_.insert(order.version);
                } else {
                  versions_.erase(order.version);
                }
                account_.orders[number].done = true;
                SendJson(*request.writer, 200, json::object());
              });
}

auto BackendServer::Restart() -> void {
  ++account_.servers[settings_.name].restarts;
  for (auto& [id, running] : std::exchange(running_, {})) {
    account_.runs[running.run].outcome = "lost";
    running.request.writer->Abort();
  }
  for (const Request& request : std::exchange(queue_, {})) {
    SendError(*request.writer, 503, "overloaded");
  }
  incarnation_ = random_.Next() >> 1U;
  TurnCold();
  restarting_ = true;
  loop_.After(std::chrono::milliseconds(settings_.restart_ms),
              [this] { restarting_ = false; });
}

// The first report of a cold server that is read announces that it is cold.
auto BackendServer::NoteReport() -> void {
  const bool shows_cold = !published_.value("warm", false) &&
                          published_["incarnation"] == incarnation_;
  if (shows_cold && cold_known_at_ == EventLoop::Clock::time_point::max()) {
    cold_known_at_ = EventLoop::Clock::now() +
                     std::chrono::milliseconds(settings_.cold_notice_ms);
  }
}

auto BackendServer::TurnCold() -> void {
  cold_known_at_ = EventLoop::Clock::time_point::max();
  warm_ = false;
  answers_since_cold_ = 0;
}

auto BackendServer::Sample() -> void {
  published_ = std::exchange(sample_, {{"incarnation", incarnation_},
                                       {"warm", warm_},
                                       {"running", running_.size()},
                                       {"queued", queue_.size()},
                                       {"versions", versions_},
                                       {"cached_prefixes", json::array()}});
  if (published_.is_null()) {
    published_ = sample_;
  }
  loop_.After(std::chrono::milliseconds(settings_.load_lag_ms),
              [this] { Sample(); });
}

auto BackendServer::Usage(const Running& running) const -> json {
  const Run& run = account_.runs[running.run];
  return {{"prompt_tokens", run.prompt_tokens},
          {"completion_tokens", run.completion_tokens},
          {"total_tokens", run.prompt_tokens + run.completion_tokens},
          {"confidence", quality_.Confidence(running.version, running.digest)}};
}

auto BackendServer::Headers(const std::string& type) const
    -> std::vector<HttpHeader> {
  return {{"Content-Type", type},
          {"X-Server-Incarnation", std::to_string(incarnation_)}};
}

auto BackendServer::Slowed(std::uint64_t microseconds) const -> Duration {
  const double factor = slow_factor_ * (warm_ ? 1.0 : settings_.cold_factor);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(microseconds) * factor));
}

}  // namespace zinniastep::standin
