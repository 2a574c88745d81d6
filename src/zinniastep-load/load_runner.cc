#include "zinniastep-load/load_runner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "libzinniastep/base/bounded_json.h"
#include "zinniastep-load/answer_reader.h"
#include "zinniastep-standin/answer_text.h"

namespace zinniastep::load {
namespace {

constexpr std::size_t kMostTries = 4;
constexpr std::size_t kLongestBody = std::size_t{4} << 20U;
constexpr Duration kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kConnectWithin = std::chrono::seconds(2);
// How much longer than its deadline a caller waits for an answer.
constexpr Duration kDeadlineSlack = std::chrono::seconds(5);
constexpr Duration kLearnEvery = std::chrono::seconds(2);
constexpr Duration kPollStatesEvery = std::chrono::milliseconds(500);

auto Milliseconds(Duration duration) -> double {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

auto FromMilliseconds(double milliseconds) -> Duration {
  return Duration(static_cast<Duration::rep>(milliseconds * 1000.0));
}

auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto Digest(const PlannedCall& call) -> std::string {
  return call.kind->service.empty() ? standin::ShortDigest(call.prompt + "\n")
                                    : standin::ShortDigest(call.prompt);
}

auto RecordOf(const PlannedCall& plan) -> CallRecord {
  CallRecord record;
  record.number = plan.number;
  record.kind = plan.kind->name;
  record.service = plan.kind->service;
  record.account = plan.account;
  record.session = plan.session;
  record.idempotent = plan.kind->idempotent;
  record.digest = Digest(plan);
  record.at_ms = Milliseconds(plan.at);
  return record;
}

}  // namespace

// Takes the answer of one try.
class LoadRunner::Answer : public HttpSink {
 public:
  Answer(LoadRunner& runner, std::shared_ptr<OpenCall> call)
      : runner_(runner), call_(std::move(call)) {}

  auto OnData(std::uint16_t /*status*/, std::string_view data)
      -> Flow override {
    const std::uint32_t tokens = CountTokens(data);
    if (tokens > 0) {
      last_token_at_ = runner_.Now();
      first_token_at_ = tokens_ == 0 ? last_token_at_ : first_token_at_;
      tokens_ += tokens;
    }
    if (body_.size() + data.size() > kLongestBody) {
      return Flow::kStop;
    }
    body_.append(data);
    return Flow::kContinue;
  }

  auto OnDone(HttpResult result) -> void override {
    runner_.OnAnswer(call_, *this, result);
  }

  auto body() const -> const std::string& { return body_; }
  auto tokens() const -> std::uint32_t { return tokens_; }
  auto first_token_at() const -> Duration { return first_token_at_; }
  auto token_time() const -> Duration {
    return tokens_ > 1 ? (last_token_at_ - first_token_at_) / (tokens_ - 1)
                       : Duration(0);
  }

 private:
  LoadRunner& runner_;
  const std::shared_ptr<OpenCall> call_;
  std::string body_;
  std::uint32_t tokens_ = 0;
  Duration first_token_at_{0};
  Duration last_token_at_{0};
};

LoadRunner::LoadRunner(LoadOptions options)
    : options_(std::move(options)),
      workload_(options_.profile, options_.calls_per_second, options_.seed),
      addresses_(options_.entries, options_.seed),
      start_(std::chrono::steady_clock::now()) {}

auto LoadRunner::Run() -> LoadResult {
  result_.profile = options_.profile.name;
  result_.seed = options_.seed;
  result_.calls_per_second = options_.calls_per_second;
  result_.seconds = options_.seconds;
  result_.started_unix_ms = UnixMilliseconds();
  start_ = std::chrono::steady_clock::now();
  PlanFaults();
  PlanNextCall();
  if (options_.direct_version.empty()) {
    LearnAddresses();
  }
  if (!options_.operator_key.empty()) {
    PollStates();
  }
  std::unique_lock lock(mutex_);
  while (!all_planned_ || open_calls_ > 0) {
    if (timers_.empty()) {
      changed_.wait(lock);
      continue;
    }
    if (const Duration at = timers_.top().at; at > Now()) {
      changed_.wait_until(lock, start_ + at);
      continue;
    }
    const auto task = timers_.top().task;
    timers_.pop();
    lock.unlock();
    task();
    lock.lock();
  }
  return std::move(result_);
}

auto LoadRunner::Now() const -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              start_);
}

auto LoadRunner::At(Duration at, std::function<void()> task) -> void {
  {
    const std::lock_guard lock(mutex_);
    timers_.push({at, ++last_order_, std::move(task)});
  }
  changed_.notify_one();
}

auto LoadRunner::PlanNextCall() -> void {
  auto call = std::make_shared<OpenCall>();
  call->plan = workload_.Next();
  call->record = RecordOf(call->plan);
  if (Milliseconds(call->plan.at) > options_.seconds * 1000.0) {
    const std::lock_guard lock(mutex_);
    all_planned_ = true;
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++open_calls_;
  }
  At(call->plan.at, [this, call] {
    PlanNextCall();
    Try(call);
  });
}

auto LoadRunner::PlanFaults() -> void {
  for (const PlannedFault& fault : options_.faults) {
    At(FromMilliseconds(fault.at_ms), [this, fault] {
      HttpRequest request;
      request.method = fault.method;
      request.url = fault.url;
      request.headers = fault.headers;
      request.body = std::make_shared<const std::string>(fault.body.dump());
      const FaultRecord record{.at_ms = fault.at_ms,
                               .unix_ms = UnixMilliseconds(),
                               .method = fault.method,
                               .url = fault.url};
      http_.Submit(std::move(request), [this, record](const HttpResult& done) {
        const std::lock_guard lock(mutex_);
        result_.faults.push_back(record);
        result_.faults.back().status = done.status;
      });
    });
  }
}

auto LoadRunner::Try(const std::shared_ptr<OpenCall>& call) -> void {
  auto& tries = call->record.tries;
  const std::string last = tries.empty() ? "" : tries.back().entry;
  TryRecord record;
  record.entry = addresses_.Choose(Now(), last);
  record.started_unix_ms = UnixMilliseconds();
  if (!call->plan.kind->idempotent && call->record.key.empty()) {
    call->record.key = call->plan.idempotency_key;
    if (call->plan.prefixed_key) {
      call->record.key = addresses_.KeyPrefix(record.entry) + call->record.key;
    }
  }
  const std::string entry = record.entry;
  tries.push_back(std::move(record));
  http_.Submit(MakeRequest(*call, entry),
               std::make_shared<Answer>(*this, call));
}

auto LoadRunner::MakeRequest(const OpenCall& call, const std::string& entry)
    -> HttpRequest {
  const PlannedCall& plan = call.plan;
  const CallKind& kind = *plan.kind;
  HttpRequest request;
  request.method = kind.method;
  request.url = "http://" + entry +
                (kind.service.empty()
                     ? std::string("/v1/chat/completions")
                     : absl::StrCat("/services/", kind.service, "/calls"));
  request.body = std::make_shared<const std::string>(plan.body);
  request.timeout =
      std::chrono::milliseconds(kind.deadline_ms) + kDeadlineSlack;
  request.send_within = kConnectWithin;
  request.at_most_once = !kind.idempotent;
  request.headers = {"Content-Type: application/json",
                     "Authorization: Bearer key-" + plan.account,
                     "X-Priority: " + kind.priority,
                     absl::StrCat("X-Deadline-Ms: ", kind.deadline_ms)};
  if (!kind.task_class.empty()) {
    request.headers.push_back("X-Task-Class: " + kind.task_class);
  }
  if (!call.record.key.empty()) {
    request.headers.push_back("Idempotency-Key: " + call.record.key);
  }
  if (!plan.session.empty()) {
    request.headers.push_back("X-Session: " + plan.session);
    const std::lock_guard lock(mutex_);
    const auto token = session_tokens_.find(plan.session);
    if (plan.keeps_session_token && token != session_tokens_.end()) {
      request.headers.push_back("X-Session-Token: " + token->second);
    }
  }
  if (!options_.direct_version.empty()) {
    request.headers.push_back(absl::StrCat("X-Attempt-Id: ", plan.number));
    request.headers.push_back("X-Model-Version: " + options_.direct_version);
  }
  return request;
}

auto LoadRunner::OnAnswer(const std::shared_ptr<OpenCall>& call,
                          const Answer& answer,
                          const HttpResult& result) -> void {
  TryRecord& record = call->record.tries.back();
  TryRecord judged = JudgeTry(call->plan, result, answer.body());
  judged.entry = record.entry;
  judged.started_unix_ms = record.started_unix_ms;
  record = std::move(judged);
  if (record.outcome == outcome::kUnreachable ||
      record.outcome == outcome::kNoAnswer) {
    addresses_.NoteFailure(Now(), record.entry);
  }
  if (record.outcome == outcome::kAnswered) {
    const auto token = result.headers.find("x-session-token");
    if (!call->plan.session.empty() && token != result.headers.end()) {
      const std::lock_guard lock(mutex_);
      session_tokens_[call->plan.session] = token->second;
    }
    call->record.tokens = answer.tokens();
    call->record.token_ms = Milliseconds(answer.token_time());
    call->record.first_token_ms =
        Milliseconds(answer.first_token_at() - call->plan.at);
  }
  if (ShouldTryAgain(*call)) {
    At(Now() + kRetryPause, [this, call] { Try(call); });
    return;
  }
  Finish(*call);
}

// A caller tries again what did not run, what got no answer, and once what is
// unknown: under the same key when a repetition would do harm.
auto LoadRunner::ShouldTryAgain(const OpenCall& call) const -> bool {
  const auto& tries = call.record.tries;
  const std::string& last = tries.back().outcome;
  if (tries.size() >= kMostTries || !options_.direct_version.empty()) {
    return false;
  }
  if (last == outcome::kUnknown) {
    return tries.size() < 2;
  }
  return last == outcome::kNotRun || last == outcome::kNoAnswer ||
         last == outcome::kUnreachable;
}

auto LoadRunner::Finish(OpenCall& call) -> void {
  CallRecord& record = call.record;
  record.outcome = record.tries.back().outcome;
  record.version = record.tries.back().version;
  record.total_ms = Milliseconds(Now() - call.plan.at);
  {
    const std::lock_guard lock(mutex_);
    result_.calls.push_back(std::move(record));
    --open_calls_;
  }
  changed_.notify_one();
}

auto LoadRunner::LearnAddresses() -> void {
  for (const std::string& address : addresses_.all()) {
    HttpRequest request;
    request.url = "http://" + address + "/addresses";
    request.send_within = kConnectWithin;
    http_.Submit(std::move(request), [this, address](const HttpResult& done) {
      if (done.complete) {
        addresses_.Learn(address, done.body);
      }
    });
  }
  At(Now() + kLearnEvery, [this] { LearnAddresses(); });
}

auto LoadRunner::PollStates() -> void {
  for (const std::string& address : addresses_.all()) {
    HttpRequest request;
    request.url = "http://" + address + "/state";
    request.headers = {"Authorization: Bearer " + options_.operator_key};
    request.send_within = kConnectWithin;
    http_.Submit(std::move(request), [this, address](const HttpResult& done) {
      auto state = JsonOrDiscarded(done.body);
      if (done.complete && state.is_object()) {
        const std::lock_guard lock(mutex_);
        result_.states.push_back(
            {address, UnixMilliseconds(), std::move(state)});
      }
    });
  }
  At(Now() + kPollStatesEvery, [this] { PollStates(); });
}

}  // namespace zinniastep::load
