#ifndef LIBZINNIASTEP_GATEWAY_TRAFFIC_POLICY_H_
#define LIBZINNIASTEP_GATEWAY_TRAFFIC_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/caller_access.h"
#include "libzinniastep/gateway/service_split.h"

namespace zinniastep {

// How often the work behind a route may run for one client attempt.
enum class RepeatRule : std::uint8_t { kAtMostOnce, kIdempotent };

// One route: which requests it takes and how they are served.
struct ForwardingRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RepeatRule repeat_rule = RepeatRule::kAtMostOnce;
  // The answer is a stream of events.
  bool streaming = false;
  // A stream may be continued at another backend server after its last event.
  bool resumable = false;
  // Longest time until the final answer.
  Duration timeout{0};
  // An answer that begins later is late.
  Duration target_latency{0};
  // Longest pause between two events that is still on time.
  Duration longest_pause{0};
  // Zero is the most urgent.
  std::uint32_t priority = 0;
  // Backend servers to which one client attempt may be sent.
  std::uint32_t most_servers = 1;
  // Callers need no key.
  bool is_public = false;
  // Models that may answer, smallest first; empty if the caller chooses the
  // model.
  std::vector<std::string> models;
  // Requests are refused if no share is above zero.
  std::vector<ServiceShare> split;
  // Regions that may serve the route; empty means all.
  std::vector<RegionId> home_regions;

  auto operator==(const ForwardingRoute&) const -> bool = default;
};

// Properties that the backend servers of a service share.
struct ForwardingService {
  ServiceId id;
  std::string health_path;
  // Connections that one backend server accepts from all hosts together.
  std::uint32_t most_connections = 0;
  // Requests per second that a server in cold start can take; zero means no
  // limit.
  double cold_requests_per_second = 0.0;
  // Whether the servers are model engines, which batch and cache prompts.
  bool is_engine = false;
  // Prompt and output tokens that one engine holds in memory at once.
  double memory_tokens = 0.0;
};

// Limits on the size and timing of callers' requests.
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = std::size_t{4} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Longest time in which a caller takes no byte of an answer that waits for
  // it. A setting of the host, not of the operators' configuration.
  Duration answer_stall = std::chrono::seconds(60);
};

// The kinds of rules in a configuration.
enum class RuleKind : std::uint8_t { kRoute, kService, kAccount, kLimits };

[[nodiscard]] auto ToString(RuleKind kind) -> std::string_view;

// A rule of a configuration that could not be read.
struct UnreadableRule {
  RuleKind kind = RuleKind::kRoute;
  // Empty if the name could not be read either.
  std::string name;
  std::string reason;
};

// One accepted version of the operators' traffic configuration. Immutable after
// construction, so that threads can share it.
class TrafficPolicy {
 public:
  TrafficPolicy(std::uint64_t version,
                std::vector<ForwardingRoute> routes,
                std::vector<ForwardingService> services,
                CallerAccess access,
                CallerLimits limits,
                std::vector<UnreadableRule> unreadable = {});

  // Returns this policy with the last sound state of the rules that could not
  // be read, taken from the policy before, which may be null. A route or
  // service stays as it was, since a route that is missing answers 404, which
  // no caller tries again. An account is left out: it is unknown which of its
  // keys were withdrawn.
  [[nodiscard]] auto WithLastSound(const TrafficPolicy* before) const
      -> std::shared_ptr<const TrafficPolicy>;

  // Returns the host's route with the longest prefix of the path, or null.
  // The path is without its query.
  [[nodiscard]] auto FindRoute(std::string_view host,
                               std::string_view path) const
      -> const ForwardingRoute*;

  // Returns a service, or null.
  [[nodiscard]] auto FindService(const ServiceId& id) const
      -> const ForwardingService*;

  [[nodiscard]] auto version() const -> std::uint64_t { return version_; }
  [[nodiscard]] auto limits() const -> const CallerLimits& { return limits_; }
  // Which callers may use the routes.
  [[nodiscard]] auto access() const -> const CallerAccess& { return access_; }
  [[nodiscard]] auto unreadable() const -> const std::vector<UnreadableRule>& {
    return unreadable_;
  }
  [[nodiscard]] auto routes() const -> const std::vector<ForwardingRoute>& {
    return routes_;
  }
  [[nodiscard]] auto services() const -> const std::vector<ForwardingService>& {
    return services_;
  }

 private:
  // One prefix of a host in the index of routes.
  struct IndexedPrefix {
    // Position in routes_ of the first route with the prefix.
    std::size_t route = 0;
    // Position in the host's index of the longest other prefix that this one
    // begins with.
    std::optional<std::uint32_t> wider;
  };

  // Sorts the routes of one host by prefix and links each prefix to the wider
  // one.
  auto IndexPrefixes(std::vector<IndexedPrefix>& prefixes) const -> void;

  [[nodiscard]] auto PrefixOf(const IndexedPrefix& entry) const
      -> std::string_view {
    return routes_[entry.route].path_prefix;
  }

  std::uint64_t version_;
  std::vector<ForwardingRoute> routes_;
  std::vector<ForwardingService> services_;
  CallerAccess access_;
  CallerLimits limits_;
  std::vector<UnreadableRule> unreadable_;
  // By host, sorted by prefix, each prefix once.
  std::map<std::string, std::vector<IndexedPrefix>, std::less<>> by_host_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_TRAFFIC_POLICY_H_
