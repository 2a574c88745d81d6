#ifndef LIBZINNIASTEP_GATEWAY_REQUEST_DURATIONS_H_
#define LIBZINNIASTEP_GATEWAY_REQUEST_DURATIONS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// How long requests of a route take from their arrival to their answer's end.
struct RequestDuration {
  // Moving average.
  Duration mean{0};
  // Longest of the recent requests; it decays by a thirty-second with each
  // shorter one.
  Duration longest{0};
};

// Keeps the durations of answered requests by route name.
class RequestDurations {
 public:
  auto Record(std::string_view route, Duration duration) -> void;

  // Returns nullopt until a request of the route was answered.
  [[nodiscard]] auto Find(std::string_view route) const
      -> std::optional<RequestDuration>;

  // Drops the routes for which the predicate is false.
  auto KeepIf(const std::function<bool(const std::string&)>& keep) -> void;

 private:
  std::map<std::string, RequestDuration, std::less<>> by_route_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_REQUEST_DURATIONS_H_
