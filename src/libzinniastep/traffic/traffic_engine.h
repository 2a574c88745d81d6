#ifndef LIBZINNIASTEP_TRAFFIC_TRAFFIC_ENGINE_H_
#define LIBZINNIASTEP_TRAFFIC_TRAFFIC_ENGINE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/gateway/answer_clock.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/ending_watch.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/model_choice.h"
#include "libzinniastep/gateway/model_ladder.h"
#include "libzinniastep/gateway/part_quarantine.h"
#include "libzinniastep/gateway/repeat_budget.h"
#include "libzinniastep/gateway/request_durations.h"
#include "libzinniastep/gateway/server_chooser.h"
#include "libzinniastep/gateway/service_admission.h"
#include "libzinniastep/gateway/shutdown_decision.h"
#include "libzinniastep/runtime/metrics.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/forwarding_headers.h"
#include "libzinniastep/traffic/held_bytes.h"
#include "libzinniastep/traffic/server_pool.h"

namespace zinniastep {

class Forwarder;

// What the requests under way on a host share: the current view, the choice of
// servers, connections to them, budgets and counts. Used on the traffic thread
// only.
class TrafficEngine {
 public:
  using LogSink = std::function<void(const LogEvent&)>;

  TrafficEngine(boost::asio::io_context& io,
                const GatewaySettings& settings,
                ForwardingHeaders headers,
                Metrics& metrics,
                LogSink log,
                std::uint64_t seed);
  TrafficEngine(const TrafficEngine&) = delete;
  auto operator=(const TrafficEngine&) -> TrafficEngine& = delete;
  ~TrafficEngine();

  // Takes a newer view.
  auto SetView(std::shared_ptr<const TrafficView> view) -> void;

  // Takes a caller's request.
  auto OnRequest(std::shared_ptr<CallerConnection> caller,
                 CallerRequest request) -> void;

  // From now on new requests are taken only if their answers can be expected by
  // `end`; others are refused as not run, for another host to take.
  auto BeginShutdown(Instant end) -> void { shutdown_end_ = end; }

  // From now on new requests are refused as not run.
  auto RefuseNew() -> void { refusing_ = true; }

  // Ends all requests under way, each with what is known of it.
  auto EndRequests() -> void;

  // Closes idle connections that are past their time, and brings the metrics of
  // what is held up to date.
  auto Sweep() -> void;

  // Returns and forgets what answers have shown since the last call.
  [[nodiscard]] auto TakeEvidence() -> std::vector<VersionRow>;

  // Updates which prompt parts are held, and returns what peers should know.
  [[nodiscard]] auto TakeCrashNews() -> std::optional<CrashReport>;
  // Returns a summary for peers that lost news.
  [[nodiscard]] auto CrashSummary() const -> std::optional<CrashReport>;
  // Takes what a peer knows of prompt parts that crash servers, for the next
  // TakeCrashNews().
  auto OnCrashReport(const CrashReport& report) -> void;
  // Releases the prompt parts that are held with this one, on behalf of an
  // operator. Returns whether any were.
  auto ReleasePart(PromptPartId part) -> bool;

  // Returns the limits of callers in force.
  [[nodiscard]] auto Limits() const -> CallerLimits;

  // The requests under way.
  [[nodiscard]] auto active() const -> std::size_t { return active_.size(); }
  [[nodiscard]] auto view() const -> const TrafficView& { return *view_; }
  // Whether a configuration is in force, so that requests can be served.
  [[nodiscard]] auto is_ready() const -> bool {
    return view_->policy != nullptr && !refusing_;
  }
  [[nodiscard]] auto is_refusing() const -> bool { return refusing_; }

  // For the requests under way.
  [[nodiscard]] auto Now() const -> Instant;
  auto Draw() -> double { return random_.Unit(); }
  auto BudgetFor(const ServiceId& service) -> RepeatBudget&;
  // Returns whether a request may arrive at one more server of the service.
  [[nodiscard]] auto MayRepeat(const ServiceId& service) -> bool;
  auto DelayOf(const ServiceId& service) -> AnswerDelay& {
    return delays_[service];
  }
  [[nodiscard]] auto model_ladder() -> ModelLadder& { return model_ladder_; }
  [[nodiscard]] auto answer_clock() -> AnswerClock& { return answer_clock_; }
  // The admission control of a service.
  auto AdmissionOf(const ServiceId& service) -> ServiceAdmission&;
  // Returns a number that tells a request apart for admission control.
  [[nodiscard]] auto DrawAdmissionId() -> RequestId {
    return {1, ++admission_ids_};
  }
  // Notes that the request waits, or no longer waits, for a verdict.
  auto OnAdmissionWait(const RequestId& request,
                       std::weak_ptr<Forwarder> forwarder) -> void;
  auto OnAdmissionWaitOver(const RequestId& request) -> void;
  // Tells requests that wait their verdicts, after the current handler.
  auto Deliver(const AdmissionVerdicts& verdicts) -> void;
  auto AddEvidence(const VersionKey& key, const VersionCounts& counts) -> void;
  // Whether a new request of the route can be expected to be answered before
  // this host ends.
  [[nodiscard]] auto CanFinish(const std::string& route,
                               const ForwardProgress& progress) const -> bool;
  auto RecordDuration(const std::string& route, Duration duration) -> void {
    durations_.Record(route, duration);
  }
  // Notes that a send to the server broke, and finds out whether the server has
  // ended. `unanswered` is empty if a part of the answer had come.
  auto OnSendBroken(const BackendEntry& server,
                    std::optional<UnansweredSend> unanswered) -> void;
  // Notes that a server answered a request with the signature and the prompt
  // parts.
  auto OnPromptAnswered(PromptPartId signature,
                        std::span<const PromptPartId> parts) -> void;
  [[nodiscard]] auto quarantine() -> PartQuarantine& { return quarantine_; }
  // Returns an id for a request whose caller sent none: 16 hexadecimal digits.
  [[nodiscard]] auto DrawRequestId() -> std::string;
  auto Log(const LogEvent& event) -> void { log_(event); }
  auto OnRequestBegun(std::shared_ptr<Forwarder> forwarder) -> void;
  auto OnRequestOver(const std::shared_ptr<Forwarder>& forwarder) -> void;
  [[nodiscard]] auto io() -> boost::asio::io_context& { return io_; }
  [[nodiscard]] auto chooser() -> ServerChooser& { return chooser_; }
  [[nodiscard]] auto pool() -> ServerPool& { return pool_; }
  // What all callers' connections count their bytes in.
  [[nodiscard]] auto held() const -> const std::shared_ptr<HeldBytes>& {
    return held_bytes_;
  }
  [[nodiscard]] auto headers() const -> const ForwardingHeaders& {
    return headers_;
  }
  [[nodiscard]] auto metrics() -> Metrics& { return metrics_; }

 private:
  // Takes note of what the head of any answer says of its server.
  auto OnServerHead(const BackendEntry& server, const AnswerHead& head) -> void;
  // Sends the server no new work, and tells the requests under way.
  auto OnServerLeaves(const BackendEntry& server, const AnswerHead& head)
      -> void;
  auto OnServerEnded(const BackendEntry& server, const BrokenSends& broken)
      -> void;
  // Tells the admission control of a service which servers it has.
  auto UpdateServers(const ServiceId& service, ServiceAdmission& admission)
      -> void;
  // Acts on a change of which prompt parts are held.
  auto OnHeldParts() -> void;

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  ForwardingHeaders headers_;
  Metrics& metrics_;
  LogSink log_;
  Random random_;
  std::shared_ptr<const TrafficView> view_;
  ServerChooser chooser_;
  ServerPool pool_;
  std::shared_ptr<HeldBytes> held_bytes_;
  std::map<ServiceId, RepeatBudget> budgets_;
  std::map<ServiceId, AnswerDelay> delays_;
  ModelLadder model_ladder_;
  std::map<ServiceId, ServiceAdmission> admissions_;
  std::map<RequestId, std::weak_ptr<Forwarder>> awaiting_admission_;
  std::uint64_t admission_ids_ = 0;
  VersionEvidence evidence_;
  AnswerClock answer_clock_{evidence_};
  std::set<std::shared_ptr<Forwarder>> active_;
  RequestDurations durations_;
  EndingWatch endings_;
  PartQuarantine quarantine_;
  // As of the last call of OnHeldParts().
  std::uint64_t held_revision_ = 0;
  std::vector<HeldParts> held_;
  std::optional<Instant> shutdown_end_;
  bool refusing_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_TRAFFIC_ENGINE_H_
