#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libzinniastep/gateway/caller_access.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep {
namespace {

constexpr int kLookups = 20000;

// So many routes of one host name.
auto RoutesOf(std::size_t routes) -> std::vector<ForwardingRoute> {
  std::vector<ForwardingRoute> list(routes);
  for (std::size_t index = 0; index < routes; ++index) {
    list[index].host = "h";
    list[index].path_prefix = "/service/" + std::to_string(index) + "/";
  }
  return list;
}

// Prints how long a policy takes to build, without reading it, and returns it.
auto Build(std::size_t routes) -> TrafficPolicy {
  std::vector<ForwardingRoute> list = RoutesOf(routes);
  const auto begin = std::chrono::steady_clock::now();
  TrafficPolicy policy(1, std::move(list), {}, CallerAccess(OpenAccess()), {});
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - begin;
  std::printf("%zu routes: built in %.0f us\n", routes, taken.count());
  return policy;
}

// Prints how long the lookup of a path takes.
auto Measure(const TrafficPolicy& policy, std::string_view path) -> void {
  std::size_t found = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int lookup = 0; lookup < kLookups; ++lookup) {
    found += policy.FindRoute("h", path) != nullptr ? 1 : 0;
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - begin;
  std::printf("%zu routes, %s: %.3f us a lookup, %zu found\n",
              policy.routes().size(), std::string(path).c_str(),
              taken.count() / kLookups, found);
}

}  // namespace
}  // namespace zinniastep

auto main() -> int {
  for (const std::size_t routes : {100U, 1400U, 4800U}) {
    const zinniastep::TrafficPolicy policy = zinniastep::Build(routes);
    zinniastep::Measure(policy, "/service/99/a");
    zinniastep::Measure(policy, "/service/none");
  }
  return 0;
}
