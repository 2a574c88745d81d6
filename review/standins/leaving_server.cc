// A server says in its answers that it leaves while the machine is cut off
// from the store.
#include <algorithm>
#include <mutex>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

using nlohmann::json;

constexpr std::int64_t kCutMs = 5500;
constexpr std::int64_t kLingerMs = 1500;
constexpr std::int64_t kCallEveryMs = 60;
constexpr std::int64_t kMarginMs = 100;
constexpr int kWorkMs = 150;

auto Configuration() -> json {
  return {{"Version", 10},
          {"Routes",
           json::array({Route("/book/", "coop-desk", "non_idempotent", 1)})},
          {"Services", json::array({{{"Name", "coop-desk"},
                                     {"HealthPath", "/health"},
                                     {"MaxConns", 110}}})}};
}

class Callers {
 public:
  Callers(Deployment& deployment, Record& record)
      : deployment_(deployment), record_(record), pacer_([this] { Run(); }) {}

  auto Stop() -> std::vector<Outcome> {
    stopping_ = true;
    pacer_.join();
    for (std::thread& thread : calls_) {
      thread.join();
    }
    return outcomes_;
  }
  // When a client first had an answer that says that the server leaves.
  [[nodiscard]] auto told_ms() const -> std::int64_t { return told_ms_; }

 private:
  auto Run() -> void {
    while (!stopping_) {
      const std::int64_t next = NowMs() + kCallEveryMs;
      calls_.emplace_back([this] { CallOnce(); });
      SleepUntilMs(next);
    }
  }
  auto CallOnce() -> void {
    ClientCall call;
    call.path = "/book/coop";
    call.attempt = deployment_.NextAttempt();
    call.body = "{}";
    const Outcome outcome = Call(deployment_.gateway(0).plan(), call);
    const bool leaving = outcome.answer.Header("Server-Leaving") == "1";
    record_.Note("request " + call.attempt + " sent at " +
                 std::to_string(outcome.sent_ms) +
                 " ms: " + std::to_string(outcome.status) +
                 (leaving ? " with Server-Leaving" : ""));
    const std::lock_guard lock(mutex_);
    if (leaving && told_ms_ == 0) {
      told_ms_ = NowMs();
    }
    outcomes_.push_back(outcome);
  }

  Deployment& deployment_;
  Record& record_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::int64_t> told_ms_ = 0;
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::thread> calls_;
  std::thread pacer_;
};

auto Run(const Arguments& arguments) -> int {
  Record record(arguments.record_file);
  const Bounds bounds;
  Deployment deployment(arguments, record, 1);
  Store& store = deployment.store();
  Server& leaving = deployment.AddServer("desk-1", "coop-desk", kWorkMs);
  Server& staying = deployment.AddServer("desk-2", "coop-desk", kWorkMs);
  store.Put("config", "main", Configuration());
  if (!deployment.Start()) {
    record.Result("the gateway did not become ready");
    return 2;
  }
  SleepMs(bounds.contact_ms);
  Callers callers(deployment, record);
  SleepMs(1000);
  if (arguments.trouble) {
    store.SetMode(0, StoreMode::kCut);
  }
  const std::int64_t cut_at = NowMs();
  SleepMs(200);
  leaving.BeginLeaving();
  store.Put("servers", "desk-1", leaving.Entry("draining"));
  SleepMs(bounds.drain_ms + kLingerMs);
  leaving.Exit();
  store.Remove("servers", "desk-1");
  SleepUntilMs(cut_at + kCutMs);
  if (arguments.trouble) {
    store.SetMode(0, StoreMode::kUp);
  }
  SleepMs(2000);
  const auto outcomes = callers.Stop();

  if (callers.told_ms() == 0 || staying.arrivals().empty()) {
    record.Result("no answer said that the server leaves");
    return 2;
  }
  const std::int64_t due = callers.told_ms() + bounds.drain_ms + kMarginMs;
  const auto arrivals = leaving.arrivals();
  int late = 0;
  int late_lost = 0;
  for (const Outcome& outcome : outcomes) {
    const bool arrived = std::ranges::find(arrivals, outcome.attempt,
                                           &Arrival::attempt) != arrivals.end();
    if (outcome.sent_ms > due && arrived) {
      ++late;
      late_lost += outcome.status != 200;
    }
  }
  record.Result("the machine passed on an answer with Server-Leaving at " +
                std::to_string(callers.told_ms()) + " ms");
  record.Result("sent later than DrainMs after that, and reached the server: " +
                std::to_string(late) + ", of which " +
                std::to_string(late_lost) +
                " began to run and got no answer of the server");
  record.Result(late > 0 ? "DRAIN is broken" : "DRAIN held");
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  return review::Run(review::ReadArguments(argc, argv));
}
