#ifndef ZINNIASTEP_LOAD_LOAD_RUNNER_H_
#define ZINNIASTEP_LOAD_LOAD_RUNNER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <vector>

#include "libzinniastep/runtime/http_loop.h"
#include "zinniastep-load/entry_addresses.h"
#include "zinniastep-load/load_result.h"
#include "zinniastep-load/workload.h"

namespace zinniastep::load {

// One step of a fault time line.
struct PlannedFault {
  double at_ms = 0;
  std::string method = "POST";
  std::string url;
  std::vector<std::string> headers;
  nlohmann::json body;
};

// What a load is run with.
struct LoadOptions {
  std::vector<std::string> entries;
  Profile profile;
  double calls_per_second = 50;
  double seconds = 10;
  std::uint64_t seed = 1;
  std::vector<PlannedFault> faults;
  // Version to ask a model engine for directly, without an entry host.
  std::string direct_version;
  // Key for GET /state, which is polled when it is set.
  std::string operator_key;
};

// Sends the calls of a workload at their planned times, whatever the answers
// do, tries again at other entry hosts as a caller does, and records what each
// caller was told.
class LoadRunner {
 public:
  explicit LoadRunner(LoadOptions options);
  LoadRunner(const LoadRunner&) = delete;
  auto operator=(const LoadRunner&) -> LoadRunner& = delete;

  // Returns when every call has its final outcome.
  auto Run() -> LoadResult;

 private:
  class Answer;
  struct OpenCall {
    PlannedCall plan;
    CallRecord record;
  };
  struct Timer {
    Duration at{0};
    std::uint64_t order = 0;
    std::function<void()> task;
  };
  struct Later {
    auto operator()(const Timer& a, const Timer& b) const -> bool {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  auto Now() const -> Duration;
  auto At(Duration at, std::function<void()> task) -> void;
  auto PlanNextCall() -> void;
  auto PlanFaults() -> void;
  auto Try(const std::shared_ptr<OpenCall>& call) -> void;
  auto MakeRequest(const OpenCall& call, const std::string& entry)
      -> HttpRequest;
  auto OnAnswer(const std::shared_ptr<OpenCall>& call,
                const Answer& answer,
                const HttpResult& result) -> void;
  auto ShouldTryAgain(const OpenCall& call) const -> bool;
  auto Finish(OpenCall& call) -> void;
  auto LearnAddresses() -> void;
  auto PollStates() -> void;

  const LoadOptions options_;
  Workload workload_;
  EntryAddresses addresses_;
  std::chrono::steady_clock::time_point start_;
  LoadResult result_;
  std::map<std::string, std::string> session_tokens_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::priority_queue<Timer, std::vector<Timer>, Later> timers_;
  std::uint64_t last_order_ = 0;
  std::size_t open_calls_ = 0;
  bool all_planned_ = false;
  // Ends first, since its answers use the rest.
  HttpLoop http_;
};

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_LOAD_RUNNER_H_
