#ifndef LIBZINNIASTEP_GATEWAY_SERVICE_ADMISSION_H_
#define LIBZINNIASTEP_GATEWAY_SERVICE_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/account_usage.h"
#include "libzinniastep/routing/admission.h"

namespace zinniastep {

// Bounds of the queue of one service at one host.
struct ServiceAdmissionOptions {
  std::size_t most_queued = 256;
  std::size_t most_queued_bytes = std::size_t{16} << 20U;
};

// A request before its first send.
struct AdmissionCandidate {
  RequestId request;
  // Empty for callers without an account.
  ClientAccountId account;
  // Zero is the most urgent.
  std::uint32_t priority = 0;
  // Memory that the request holds.
  std::size_t bytes = 0;
  Instant began;
  // The answer should begin within this time from `began`; zero if there is no
  // target.
  Duration target{0};
  Instant deadline;
  // Time until the answer of an unloaded server begins.
  Duration expected_delay{0};
};

// The figures that a decision was made with, for the log.
struct AdmissionInputs {
  double limit = 0.0;
  std::size_t running = 0;
  std::size_t queued = 0;
  // Requests that are expected to be sent before this one.
  double ahead = 0.0;
  // Estimated wait; nullopt while too few requests have ended.
  std::optional<Duration> expected_wait;
  // Longest wait that the request's target allows.
  Duration longest_wait{0};
  bool is_beyond_usual = false;
};

enum class AdmissionRefusal : std::uint8_t {
  // There will be no capacity within the time that the target allows.
  kNoCapacityInTime,
  // The queue is full.
  kQueueFull,
  // The request waited as long as its target allows.
  kWaitedTooLong,
};

[[nodiscard]] auto ToString(AdmissionRefusal reason) -> std::string_view;

// The request may be sent.
struct AdmissionGranted {
  RequestId request;
  Duration waited{0};
};
// The request waits; a later verdict grants or refuses it.
struct AdmissionWaits {
  RequestId request;
  // Time of the verdict at the latest.
  Instant until;
  AdmissionInputs inputs;
};
// The request has not been sent and will not be. Its caller may return after
// `return_least` and a random part of `return_spread`.
struct AdmissionRefused {
  RequestId request;
  AdmissionRefusal reason = AdmissionRefusal::kNoCapacityInTime;
  Duration waited{0};
  Duration return_least{0};
  Duration return_spread{0};
  AdmissionInputs inputs;
};
using AdmissionVerdict =
    std::variant<AdmissionGranted, AdmissionWaits, AdmissionRefused>;
using AdmissionVerdicts = std::vector<AdmissionVerdict>;

// Returns the request that a verdict is about.
[[nodiscard]] auto RequestOf(const AdmissionVerdict& verdict) -> RequestId;

// Decides when this host sends requests to one service. While servers that
// state their pace decline requests for being full, it limits the open requests
// of this host: the limit falls with declines, rises with answers, and lapses
// some seconds after the last decline (docs/design/admission.md).
class ServiceAdmission {
 public:
  explicit ServiceAdmission(ServiceAdmissionOptions options = {});

  // Takes the verdict on a new request, along with those on requests that
  // waited.
  [[nodiscard]] auto Offer(Instant now, const AdmissionCandidate& candidate)
      -> AdmissionVerdicts;

  // Grants a request without regard to the limit.
  auto Start(Instant now, const RequestId& request) -> void;

  // Notes that the request is over, whether it was granted or waited.
  [[nodiscard]] auto Finish(Instant now,
                            const RequestId& request,
                            bool was_answered) -> AdmissionVerdicts;

  // Decides about requests that have waited as long as they may, and ends a
  // limit that has lapsed.
  [[nodiscard]] auto OnTime(Instant now) -> AdmissionVerdicts;

  // Notes the pace of work at a server of the service, as a percentage of the
  // usual time. Figures outside 10 to 1000 are ignored.
  auto OnPace(Instant now, std::uint32_t percent) -> void;

  // Notes that a server declined a granted request for being full.
  auto OnDeclined(Instant now,
                  const RequestId& request,
                  const BackendServerId& server) -> void;

  // Notes the servers that may be used and their slots. The limit changes in
  // proportion to the slots.
  [[nodiscard]] auto OnServers(Instant now, std::size_t servers, double slots)
      -> AdmissionVerdicts;

  // Latest time of the next call of OnTime() while requests wait.
  [[nodiscard]] auto NextTime() const -> Instant;

  // Nothing if every request is sent at once.
  [[nodiscard]] auto limit() const -> std::optional<double>;
  [[nodiscard]] auto running() const -> std::size_t {
    return admission_.running();
  }
  [[nodiscard]] auto queued() const -> std::size_t {
    return admission_.queued();
  }

 private:
  struct Waiting {
    Instant since;
    std::uint32_t priority = 0;
    AdmissionInputs inputs;
  };

  [[nodiscard]] auto ExpectedWait(double ahead) const
      -> std::optional<Duration>;
  // Whether servers declined a large part of the requests lately.
  [[nodiscard]] auto IsFull(Instant now) const -> bool;
  // Brings the counts of granted and declined requests up to date.
  auto DecayCounts(Instant now) -> void;
  // Part of the recent requests that were declined.
  [[nodiscard]] auto DeclinedShare() const -> double;
  [[nodiscard]] auto IsPaced(Instant now) const -> bool;
  [[nodiscard]] auto Refusal(Instant now,
                             const RequestId& request,
                             AdmissionRefusal reason,
                             const Waiting& waiting) const -> AdmissionRefused;
  // Brings the peak of the open requests up to date.
  auto UpdatePeak(Instant now) -> void;
  // Requests that may be open at once.
  [[nodiscard]] auto Places() const -> std::size_t;
  auto ApplyLimit() -> void;
  auto Raise(Instant now) -> void;
  // Ends the limit if it has lapsed.
  auto LapseLimit(Instant now, AdmissionVerdicts& verdicts) -> void;
  auto EndLimit(Instant now, AdmissionVerdicts& verdicts) -> void;
  // Notes that the request is granted.
  auto OnGranted(Instant now, const RequestId& request) -> void;
  auto Translate(Instant now,
                 const std::vector<AdmissionDecision>& decisions,
                 AdmissionVerdicts& verdicts) -> void;

  ServiceAdmissionOptions options_;
  Admission admission_;
  AccountUsage usage_;
  std::map<RequestId, Waiting> waiting_;
  // When the open requests were granted.
  std::map<RequestId, Instant> granted_;
  // Open requests that were declined.
  std::set<RequestId> declined_;

  // The limit is `reference_` less what the declines of each server took off.
  bool is_limited_ = false;
  double reference_ = 0.0;
  std::map<BackendServerId, double> lowered_;
  double lowered_total_ = 0.0;
  Instant last_decline_;

  // Recent requests that were granted and that were declined, decayed.
  double recent_granted_ = 0.0;
  double recent_declined_ = 0.0;
  Instant counted_at_;
  // Decayed maximum of the open requests.
  double peak_ = 0.0;
  Instant peak_at_;
  // Moving average of the time from the grant to the end, and the answers in
  // it.
  double mean_open_seconds_ = 0.0;
  std::uint64_t ended_ = 0;

  double pace_ = 1.0;
  std::optional<Instant> paced_at_;
  std::size_t servers_ = 1;
  double slots_ = 0.0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVICE_ADMISSION_H_
