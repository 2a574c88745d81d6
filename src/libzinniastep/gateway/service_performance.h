#ifndef LIBZINNIASTEP_GATEWAY_SERVICE_PERFORMANCE_H_
#define LIBZINNIASTEP_GATEWAY_SERVICE_PERFORMANCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/response_times.h"

namespace zinniastep {

// What this host saw of all backend servers of a service together. The speed of
// one server is learned relative to it.
class ServicePerformance {
 public:
  // A server of the service stated its pace.
  auto OnPace(Instant now) -> void { pace_at_ = now; }

  // Returns whether a server of the service stated its pace recently.
  [[nodiscard]] auto IsPaced(Instant now) const -> bool;

  // A server of the service stated which part of its slots is in use; above 1
  // requests wait.
  auto OnUse(double use) -> void;

  // Part of the slots of a server in use, on average.
  [[nodiscard]] auto mean_use() const -> double { return mean_use_; }

  // This host sends a request with so many prompt and output tokens.
  auto OnRequest(double tokens) -> void;

  // Prompt and output tokens of a request of this host, on average.
  [[nodiscard]] auto mean_tokens() const -> double { return mean_tokens_; }

  // Adds a response that was sent at `pace`, where 1 is usual. Returns the
  // logarithm of its server's speed relative to the earlier responses of the
  // same model, or nothing while there are too few of them.
  auto Compare(const ResponseTimes& times, double pace)
      -> std::optional<double>;

 private:
  // Moving average of a time's logarithm.
  struct Baseline {
    double mean = 0.0;
    std::uint32_t samples = 0;
  };
  struct ModelTimes {
    Baseline first;
    Baseline later;
  };

  // Models share a slot by hash, since callers may state any number of names.
  static constexpr std::size_t kModelSlots = 16;

  // Adds a time and returns by how much it exceeds the average before.
  static auto Deviation(Baseline& baseline, double log_time)
      -> std::optional<double>;

  std::array<ModelTimes, kModelSlots> models_;
  std::optional<Instant> pace_at_;
  double mean_tokens_ = 0.0;
  std::uint32_t requests_ = 0;
  double mean_use_ = 0.0;
  std::uint32_t uses_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVICE_PERFORMANCE_H_
