// Servers that are full turn requests away and say for how long they want
// none, while many users come at once.
#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

using nlohmann::json;

constexpr std::int64_t kUsualMs = 3000;
constexpr std::int64_t kBurstMs = 3000;
constexpr double kBurstFactor = 1.7;
constexpr double kUsualPerSecond = 80.0;
constexpr int kServers = 2;
constexpr int kWorkMs = 100;
constexpr int kWaitSeconds = 3;
constexpr std::int64_t kAllowance = 2;
constexpr std::int64_t kNoticeMs = 500;

auto Configuration() -> json {
  return {
      {"Version", 10},
      {"Routes", json::array({Route("/look/", "coop-desk", "idempotent", 2)})},
      {"Services", json::array({{{"Name", "coop-desk"},
                                 {"HealthPath", "/health"},
                                 {"MaxConns", 110}}})}};
}

auto Run(const Arguments& arguments) -> int {
  Record record(arguments.record_file);
  const Bounds bounds;
  Deployment deployment(arguments, record, 1);
  std::mutex mutex;
  std::map<std::string, std::vector<std::int64_t>> refused_at;
  std::vector<Server*> servers;
  for (int number = 1; number <= kServers; ++number) {
    Server& server = deployment.AddServer("desk-" + std::to_string(number),
                                          "coop-desk", kWorkMs);
    server.SetAdmission([&](const Message&) -> std::optional<Message> {
      if (!server.IsFull()) {
        return std::nullopt;
      }
      const std::lock_guard lock(mutex);
      refused_at[server.plan().id].push_back(NowMs());
      return Answer(503,
                    {{"Zinniastep-Not-Executed", "1"},
                     {"Retry-After", std::to_string(kWaitSeconds)}},
                    "");
    });
    servers.push_back(&server);
  }
  deployment.store().Put("config", "main", Configuration());
  if (!deployment.Start()) {
    record.Result("the gateway did not become ready");
    return 2;
  }
  SleepMs(bounds.contact_ms);
  std::atomic<int> answered = 0;
  std::vector<std::thread> calls;
  const std::int64_t begin = NowMs();
  const std::int64_t end = begin + 2 * kUsualMs + kBurstMs;
  double next = static_cast<double>(begin);
  while (NowMs() < end) {
    calls.emplace_back([&] {
      ClientCall call;
      call.path = "/look/coop";
      call.attempt = deployment.NextAttempt();
      const Outcome outcome = Call(deployment.gateway(0).plan(), call);
      answered += outcome.status == 200;
      record.Note("request " + call.attempt + " sent at " +
                  std::to_string(outcome.sent_ms) +
                  " ms: " + std::to_string(outcome.status));
    });
    const std::int64_t since = NowMs() - begin;
    const bool is_burst =
        arguments.trouble && since >= kUsualMs && since < kUsualMs + kBurstMs;
    next += 1000.0 / (kUsualPerSecond * (is_burst ? kBurstFactor : 1.0));
    SleepUntilMs(static_cast<std::int64_t>(next));
  }
  for (std::thread& call : calls) {
    call.join();
  }

  std::int64_t most = 0;
  std::size_t refusals = 0;
  std::size_t reached_in_all = 0;
  std::string where;
  for (Server* server : servers) {
    const auto arrivals = server->arrivals();
    reached_in_all += arrivals.size();
    for (const std::int64_t refused : refused_at[server->plan().id]) {
      ++refusals;
      const auto reached =
          std::ranges::count_if(arrivals, [&](const auto& one) {
            return one.at_ms > refused + kNoticeMs &&
                   one.at_ms < refused + kWaitSeconds * 1000;
          });
      if (reached > most) {
        most = reached;
        where = server->plan().id + " after its 503 at " +
                std::to_string(refused) + " ms";
      }
    }
  }
  record.Result("of " + std::to_string(reached_in_all) +
                " requests that reached servers " + std::to_string(refusals) +
                " got 503 with Retry-After " + std::to_string(kWaitSeconds));
  record.Result("most requests in the time that a server asked for: " +
                std::to_string(most) + (most > 0 ? ", at " + where : "") +
                "; allowed are " + std::to_string(kAllowance));
  if (answered == 0 || (arguments.trouble && refusals == 0)) {
    record.Result("the requests do not show what they should");
    return 2;
  }
  record.Result(most > kAllowance ? "BUDGET is broken" : "BUDGET held");
  return most > kAllowance ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  return review::Run(review::ReadArguments(argc, argv));
}
