#ifndef LIBZINNIASTEP_GATEWAY_SERVER_PERFORMANCE_H_
#define LIBZINNIASTEP_GATEWAY_SERVER_PERFORMANCE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/response_times.h"
#include "libzinniastep/gateway/service_performance.h"

namespace zinniastep {

// Requests at a backend server, as far as this host knows.
struct ServerQueue {
  // Open requests of this host.
  double own = 0.0;
  // Requests of other hosts and those of all hosts that waited for a slot, as
  // the server stated last.
  double others = 0.0;
  double waiting = 0.0;
  std::uint32_t slots = 0;
  // How much the statement still tells: 1 if it is new, 0 if it is old.
  double freshness = 0.0;
};

// What one incarnation of a backend server achieves at this moment and in the
// long term, and the tokens that this host's open requests hold there.
class ServerPerformance {
 public:
  ServerPerformance() = default;
  explicit ServerPerformance(std::shared_ptr<ServicePerformance> service);

  // Takes a pace that the server stated, in percent of the usual time. Returns
  // false and changes nothing if it is out of bounds.
  auto OnPace(Instant now, std::uint32_t percent) -> bool;

  // Takes the number of running and waiting requests that the server stated.
  auto OnLoad(double requests, std::uint32_t slots) -> void;

  // Takes the times of a response that the server began.
  auto OnTimes(Instant now, const ResponseTimes& times) -> void;

  // Counts the tokens of a request as held from OnBegin() to OnEnd().
  auto OnBegin(double tokens) -> void;
  auto OnEnd(double tokens) -> void;

  // Takes over the tokens of this host's requests to the incarnation before,
  // which still end one by one.
  auto KeepTokens(const ServerPerformance& before) -> void;

  // Returns the time that work takes now relative to the usual time; 1 without
  // recent statements.
  [[nodiscard]] auto Pace(Instant now) const -> double;

  // Returns the long-term speed relative to the service's servers; 1 with
  // little or old evidence.
  [[nodiscard]] auto Speed(Instant now) const -> double;

  // Returns the running and waiting requests at the server. As the statement
  // gets old, the service's average use of slots takes its place: a server of
  // which nothing is known is not taken for an empty one.
  [[nodiscard]] auto Load(const ServerQueue& queue) const -> double;

  // Returns the tokens that the open requests of this host and so many requests
  // of other hosts hold. The latter count as this host's average.
  [[nodiscard]] auto HeldTokens(double others) const -> double;

  // Returns the milliseconds until the first event of a request that has
  // `work_ms` of work until then on an idle server of usual pace and speed.
  [[nodiscard]] auto FirstEventMs(Instant now,
                                  const ServerQueue& queue,
                                  double work_ms) const -> double;

 private:
  std::shared_ptr<ServicePerformance> service_;
  // Smoothed pace as of `pace_at_`.
  double pace_ = 1.0;
  std::optional<Instant> pace_at_;
  // Sum of the logarithms of the speed in single responses and their weight,
  // both as of `times_at_`, and the responses since there was no evidence.
  double log_speeds_ = 0.0;
  double weight_ = 0.0;
  std::uint32_t responses_ = 0;
  Instant times_at_;
  double held_tokens_ = 0.0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVER_PERFORMANCE_H_
