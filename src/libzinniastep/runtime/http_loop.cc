#include "libzinniastep/runtime/http_loop.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

#include "libzinniastep/runtime/head_reader.h"
#include "libzinniastep/runtime/socket_options.h"

namespace zinniastep {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Longest wait for sockets, so that paused answers are offered again.
constexpr int kPollMilliseconds = 1000;
constexpr int kPausedPollMilliseconds = 2;
constexpr long kConnectionsKept = 256;
// A connection that lost its way is found much sooner than a long wait on it
// ends: by probes, and by bytes that stay unacknowledged this long, in
// milliseconds.
constexpr int kProbes = 2;
constexpr int kUnacknowledgedMs = 2500;

auto OnSocket(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
    -> int {
  ProbeSilentPeer(socket, kProbes);
  LimitUnacknowledged(socket, kUnacknowledgedMs);
  return CURL_SOCKOPT_OK;
}

auto Since(SteadyClock::time_point start) -> Duration {
  return std::chrono::duration_cast<Duration>(SteadyClock::now() - start);
}

auto Milliseconds(Duration duration) -> long {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Collects an answer whole and hands it to a function.
class WholeAnswer : public HttpSink {
 public:
  WholeAnswer(std::size_t longest, std::function<void(HttpResult)> done)
      : longest_(longest), done_(std::move(done)) {}

  auto OnData(std::uint16_t /*status*/, std::string_view data)
      -> Flow override {
    if (body_.size() + data.size() > longest_) {
      return Flow::kStop;
    }
    body_.append(data);
    return Flow::kContinue;
  }

  auto OnDone(HttpResult result) -> void override {
    result.body = std::move(body_);
    done_(std::move(result));
  }

 private:
  std::size_t longest_;
  std::function<void(HttpResult)> done_;
  std::string body_;
};

}  // namespace

struct HttpLoop::Exchange {
  ExchangeId id = 0;
  HttpRequest request;
  std::shared_ptr<HttpSink> sink;
  SteadyClock::time_point submitted;
  HttpResult result;
  HeadReader head;
  bool has_data = false;
  bool paused = false;
  CURL* easy = nullptr;
  curl_slist* header_lines = nullptr;

  Exchange() = default;
  Exchange(const Exchange&) = delete;
  auto operator=(const Exchange&) -> Exchange& = delete;
  ~Exchange() {
    curl_easy_cleanup(easy);
    curl_slist_free_all(header_lines);
  }

  auto StatusNow() const -> std::uint16_t {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<std::uint16_t>(status);
  }

  static auto OnBody(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* self) -> std::size_t {
    auto* exchange = static_cast<Exchange*>(self);
    const std::size_t length = size * count;
    if (!exchange->head.has_http_status()) {
      return 0;
    }
    if (!exchange->has_data) {
      exchange->has_data = true;
      exchange->result.first_byte = Since(exchange->submitted);
    }
    switch (exchange->sink->OnData(exchange->StatusNow(), {data, length})) {
      case Flow::kContinue:
        return length;
      case Flow::kPause:
        exchange->paused = true;
        return CURL_WRITEFUNC_PAUSE;
      case Flow::kStop:
        return 0;
    }
    return 0;
  }

  static auto OnHeader(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* self) -> std::size_t {
    auto* exchange = static_cast<Exchange*>(self);
    const std::size_t length = size * count;
    return exchange->head.TakeLine({data, length}) ? length : 0;
  }

  // Runs on an open connection right before the request's first byte.
  static auto BeforeSend(void* self,
                         char* /*remote*/,
                         char* /*local*/,
                         int /*remote_port*/,
                         int /*local_port*/) -> int {
    auto* exchange = static_cast<Exchange*>(self);
    if (Since(exchange->submitted) > exchange->request.send_within) {
      return CURL_PREREQFUNC_ABORT;
    }
    exchange->result.sent = true;
    return CURL_PREREQFUNC_OK;
  }
};

struct HttpLoop::Multi {
  CURLM* handle = curl_multi_init();

  Multi() { curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, kConnectionsKept); }
  Multi(const Multi&) = delete;
  auto operator=(const Multi&) -> Multi& = delete;
  ~Multi() { curl_multi_cleanup(handle); }
};

HttpLoop::HttpLoop() {
  static std::once_flag initialised;
  std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_ALL); });
  multi_ = std::make_unique<Multi>();
  thread_ = std::thread([this] { Run(); });
}

HttpLoop::~HttpLoop() {
  stopping_ = true;
  curl_multi_wakeup(multi_->handle);
  thread_.join();
}

auto HttpLoop::Submit(HttpRequest request, std::shared_ptr<HttpSink> sink)
    -> ExchangeId {
  auto exchange = std::make_shared<Exchange>();
  exchange->id = ++last_id_;
  exchange->request = std::move(request);
  exchange->sink = std::move(sink);
  exchange->submitted = SteadyClock::now();
  const ExchangeId id = exchange->id;
  {
    const std::lock_guard lock(mutex_);
    submitted_.push_back(std::move(exchange));
  }
  curl_multi_wakeup(multi_->handle);
  return id;
}

auto HttpLoop::Submit(HttpRequest request, std::function<void(HttpResult)> done)
    -> ExchangeId {
  auto sink =
      std::make_shared<WholeAnswer>(request.longest_body, std::move(done));
  return Submit(std::move(request), std::move(sink));
}

auto HttpLoop::Cancel(ExchangeId id) -> void {
  {
    const std::lock_guard lock(mutex_);
    cancelled_.push_back(id);
  }
  curl_multi_wakeup(multi_->handle);
}

auto HttpLoop::Run() -> void {
  while (!stopping_) {
    TakeCommands();
    int running = 0;
    curl_multi_perform(multi_->handle, &running);
    Reap();
    Resume();
    const bool any_paused = std::ranges::any_of(
        open_, [](const auto& entry) { return entry.second->paused; });
    curl_multi_poll(multi_->handle, nullptr, 0,
                    any_paused ? kPausedPollMilliseconds : kPollMilliseconds,
                    nullptr);
  }
  TakeCommands();
  while (!open_.empty()) {
    const auto exchange = open_.begin()->second;
    exchange->result.cancelled = true;
    Finish(exchange, CURLE_ABORTED_BY_CALLBACK);
  }
}

auto HttpLoop::TakeCommands() -> void {
  std::vector<std::shared_ptr<Exchange>> submitted;
  std::vector<ExchangeId> cancelled;
  {
    const std::lock_guard lock(mutex_);
    submitted.swap(submitted_);
    cancelled.swap(cancelled_);
  }
  for (const auto& exchange : submitted) {
    Start(exchange);
  }
  for (const ExchangeId id : cancelled) {
    const auto found = open_.find(id);
    if (found != open_.end()) {
      const auto exchange = found->second;
      exchange->result.cancelled = true;
      Finish(exchange, CURLE_ABORTED_BY_CALLBACK);
    }
  }
}

auto HttpLoop::Start(const std::shared_ptr<Exchange>& exchange) -> void {
  const HttpRequest& request = exchange->request;
  CURL* easy = curl_easy_init();
  exchange->easy = easy;
  for (const std::string& line : request.headers) {
    exchange->header_lines =
        curl_slist_append(exchange->header_lines, line.c_str());
  }
  exchange->header_lines = curl_slist_append(exchange->header_lines, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.body != nullptr) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body->size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body->data());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, exchange->header_lines);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, Milliseconds(request.timeout));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   std::max(1L, Milliseconds(request.send_within)));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.at_most_once ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.at_most_once ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Exchange::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Exchange::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Exchange::BeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, exchange.get());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, exchange.get());
  open_[exchange->id] = exchange;
  curl_multi_add_handle(multi_->handle, easy);
}

auto HttpLoop::Reap() -> void {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_->handle, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Exchange* exchange = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
    const auto found = open_.find(exchange->id);
    if (found != open_.end()) {
      const auto kept = found->second;
      Finish(kept, message->data.result);
    }
  }
}

auto HttpLoop::Resume() -> void {
  for (const auto& [id, exchange] : open_) {
    if (exchange->paused) {
      exchange->paused = false;
      curl_easy_pause(exchange->easy, CURLPAUSE_CONT);
    }
  }
}

auto HttpLoop::Finish(const std::shared_ptr<Exchange>& exchange, int code)
    -> void {
  curl_multi_remove_handle(multi_->handle, exchange->easy);
  open_.erase(exchange->id);
  HttpResult& result = exchange->result;
  result.headers = exchange->head.headers();
  result.status = exchange->head.is_whole() ? exchange->StatusNow() : 0;
  result.complete = code == CURLE_OK && exchange->head.is_whole();
  if (code != CURLE_OK) {
    result.error = curl_easy_strerror(static_cast<CURLcode>(code));
  } else if (!result.complete) {
    result.error = kBrokenHead;
  }
  result.total = Since(exchange->submitted);
  exchange->sink->OnDone(std::move(result));
}

}  // namespace zinniastep
