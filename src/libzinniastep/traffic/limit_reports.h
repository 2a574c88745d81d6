#ifndef LIBZINNIASTEP_TRAFFIC_LIMIT_REPORTS_H_
#define LIBZINNIASTEP_TRAFFIC_LIMIT_REPORTS_H_

#include <cstdint>
#include <map>
#include <string_view>

namespace zinniastep {

// Names of the limits on callers' connections, as in metrics.
inline constexpr std::string_view kEndedForMemory = "callers_ended_for_memory";
inline constexpr std::string_view kRequestTooSlow = "requests_too_slow";
inline constexpr std::string_view kAnswerNotTaken = "answers_not_taken";
inline constexpr std::string_view kNoRoomForConnection =
    "connections_closed_for_room";

// Counts how often limits on callers' connections took effect, until the counts
// are taken. Used on the traffic thread only.
class LimitReports {
 public:
  using Counts = std::map<std::string_view, std::uint64_t>;

  // Counts one effect of a limit; the name must outlive this object.
  auto Add(std::string_view limit) -> void { ++counts_[limit]; }

  // Returns and forgets the counts.
  [[nodiscard]] auto Take() -> Counts;

 private:
  Counts counts_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_LIMIT_REPORTS_H_
