#ifndef TESTS_SUPPORT_NODE_FLEET_H_
#define TESTS_SUPPORT_NODE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/node/node.h"
#include "tests/support/fake_backend.h"
#include "tests/support/fake_store.h"
#include "tests/support/virtual_time.h"

namespace zinniastep::testing {

// The steps on the way of requests and of the system's own work at which a
// fault can strike.
enum class Step : std::uint8_t {
  kCallArrived,
  kClaimMessage,
  kClaimWrite,
  kCreditMessage,
  kAttemptStarted,
  kAttemptReached,
  kAttemptEnded,
  kBillMessage,
  kBillWrite,
  kCallCompleted,
  kCallRefused,
  kConfigurationMessage,
  kAssignmentWrite,
  kMembershipMessage,
  kEvidenceMessage,
  kLoadPolled,
  kOrderSent,
  kShutdownBegun,
  kShutdownComplete,
  kCount,
};

// Adds the version m@v2 and the roll-out by which it takes over from m@v1.
auto EnterVersion(Document& document) -> void;

// The end of one try of a caller, as the caller sees it.
struct TryEnd {
  std::optional<SharedAnswer> answer;
  std::optional<Refusal> refusal;
  RequestId request;
  Instant at;
};

// One call that a caller made at one host.
struct Try {
  std::uint32_t host = 0;
  Incarnation incarnation = 0;
  CallArrived arrival;
  Instant at;
  std::vector<TryEnd> ends;
};

// Whole nodes in virtual time with fakes at their interfaces: an object API,
// backend servers, a network, callers. What the fakes saw is the account that
// the nodes' word is held against.
class NodeFleet {
 public:
  // Runs at each step, with the host at which it happens.
  using StepHook = std::function<void(Step, std::uint32_t host)>;

  NodeFleet(std::uint64_t seed, std::uint32_t hosts);

  auto RunFor(Duration duration) -> void { time_.RunFor(duration); }
  auto After(Duration delay, VirtualTime::Work work) -> void {
    time_.After(delay, std::move(work));
  }
  [[nodiscard]] auto now() const -> Instant { return time_.now(); }
  auto SetStepHook(StepHook hook) -> void { hook_ = std::move(hook); }

  // Makes a call and returns its number among the tries.
  auto Call(std::uint32_t host, CallArrived arrival) -> std::size_t;
  auto HangUp(std::size_t attempt) -> void;

  auto Kill(std::uint32_t host) -> void;
  auto Start(std::uint32_t host) -> void;
  auto Pause(std::uint32_t host) -> void;
  auto Wake(std::uint32_t host) -> void;
  auto ShutDown(std::uint32_t host) -> void;
  auto TurnCold() -> void;
  // Makes backend servers bear less than their roster says.
  auto LowerColdLimits() -> void;

  // Network and object API faults; they last until set back.
  bool lose_messages = false;
  bool double_messages = false;
  bool delay_messages = false;
  bool store_down = false;
  bool lose_store_answers = false;
  // Backend servers run later attempts for this much longer.
  Duration extra_run_time{0};

  // Breaks a rule on purpose: attempts reach the backend server twice, answers
  // go to the next caller, bills are lost in the object API, no host passes
  // configuration on.
  bool run_twice = false;
  bool cross_answers = false;
  bool drop_bills = false;
  bool freeze_configuration = false;

  // Changes the configuration as an operator does, with the next generation.
  auto Change(const std::function<void(Document&)>& change) -> void;
  auto Change(const std::function<void(FailureDomainMap&)>& change) -> void;
  auto Change(std::size_t domain,
              const std::function<void(ServerRoster&)>& change) -> void;

  [[nodiscard]] auto hosts() const -> std::uint32_t {
    return static_cast<std::uint32_t>(hosts_.size());
  }
  [[nodiscard]] auto is_alive(std::uint32_t host) const -> bool {
    return hosts_[host].node != nullptr;
  }
  [[nodiscard]] auto is_paused(std::uint32_t host) const -> bool {
    return hosts_[host].paused;
  }
  [[nodiscard]] auto node(std::uint32_t host) const -> const Node& {
    return *hosts_[host].node;
  }
  [[nodiscard]] auto runs() const -> const std::vector<Run>& { return runs_; }
  [[nodiscard]] auto tries() const -> const std::vector<Try>& { return tries_; }
  [[nodiscard]] auto store() const -> const FakeStore& { return store_; }
  [[nodiscard]] auto document() const -> const Document& { return document_; }
  // Hosts on which a configuration object was seen to go back.
  [[nodiscard]] auto regressions() const -> std::uint64_t {
    return regressions_;
  }

 private:
  struct Host {
    HostIdentity identity;
    std::unique_ptr<Node> node;
    bool paused = false;
    std::vector<Event> waiting;
    std::map<CallId, std::size_t> calls;
    std::map<std::string, std::uint64_t> generations;
  };

  auto Tick(std::uint32_t host, Incarnation incarnation) -> void;
  auto Deliver(std::uint32_t host, Incarnation incarnation, Event event)
      -> void;
  auto Handle(std::uint32_t host, const Event& event) -> void;
  auto CheckGenerations(Host& host) -> void;
  auto Reach(Step step, std::uint32_t host) -> void;

  auto Execute(std::uint32_t host, const SendToPeer& action) -> void;
  auto Execute(std::uint32_t host, const StartAttempt& action) -> void;
  auto Execute(std::uint32_t host, const CancelAttempt& action) -> void;
  auto Execute(std::uint32_t host, const CompleteCall& action) -> void;
  auto Execute(std::uint32_t host, const RefuseCall& action) -> void;
  auto Execute(std::uint32_t host, const PollLoad& action) -> void;
  auto Execute(std::uint32_t host, const SendOrder& action) -> void;
  auto Execute(std::uint32_t host, const ReadHostList& action) -> void;
  auto Execute(std::uint32_t host, const ShutdownComplete& action) -> void;
  auto Execute(std::uint32_t /*host*/, const LogEvent& /*action*/) -> void {}
  auto Execute(std::uint32_t /*host*/, const RequestRating& /*action*/)
      -> void {}
  // All others are requests to the object API.
  template <class Operation>
  auto Execute(std::uint32_t host, const Operation& operation) -> void;
  template <class Operation>
  auto AnswerFromStore(std::uint32_t host,
                       Incarnation incarnation,
                       const Operation& operation,
                       Instant give_up) -> void;
  auto BeginAttempt(std::uint32_t host,
                    Incarnation incarnation,
                    const StartAttempt& start,
                    Instant send_by) -> void;
  auto EndTry(std::uint32_t host, CallId call, TryEnd end) -> void;
  auto WriteAll() -> void;

  Random random_;
  VirtualTime time_;
  FakeStore store_;
  StepHook hook_;
  Document document_;
  FailureDomainMap domains_;
  std::vector<ServerRoster> rosters_;
  std::vector<Host> hosts_;
  std::map<BackendServerId, FakeBackend> backends_;
  std::set<AttemptId> cancelled_;
  std::vector<Run> runs_;
  std::vector<Try> tries_;
  std::optional<SharedAnswer> last_answer_;
  std::uint64_t incarnations_ = 0;
  CallId calls_ = 0;
  std::uint64_t regressions_ = 0;
};

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_NODE_FLEET_H_
