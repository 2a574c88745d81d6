#ifndef LIBZINNIASTEP_GATEWAY_VERSION_EVIDENCE_H_
#define LIBZINNIASTEP_GATEWAY_VERSION_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Delays are compared with 1, 2, 4, ... times the expected time of a request.
inline constexpr std::size_t kDelaySteps = 7;

// Returns the factor of a delay step.
[[nodiscard]] constexpr auto DelayFactor(std::size_t step) -> double {
  return static_cast<double>(std::uint64_t{1} << step);
}

// Ends the route in the key of counts of the pace of a route's streams, which
// have delays only: the time of the first events after the first one.
inline constexpr std::string_view kPaceSuffix = "#pace";

// Counts of the answers of one version on one route.
struct VersionCounts {
  std::uint64_t answers = 0;
  // Answers in which the server reported a failure of its own.
  std::uint64_t failures = 0;
  // Answers whose time was measured, and the sum of the logarithms of the ratio
  // of each measured time to the expected time of such a request.
  std::uint64_t timed = 0;
  double log_slowness = 0.0;
  // By delay step: sends whose answer began later than the step, or that were
  // given up by then at a server that answered others; sends that are under way
  // and have waited for longer than the step; and sends that were answered
  // sooner. Counts of sends under way fall when these end, also between two
  // reports: they are sums modulo 2^32.
  std::array<std::uint32_t, kDelaySteps> slower{};
  std::array<std::uint32_t, kDelaySteps> waiting{};
  std::array<std::uint32_t, kDelaySteps> faster{};

  auto operator==(const VersionCounts&) const -> bool = default;

  auto Add(const VersionCounts& other) -> void {
    answers += other.answers;
    failures += other.failures;
    timed += other.timed;
    log_slowness += other.log_slowness;
    for (std::size_t step = 0; step < kDelaySteps; ++step) {
      slower[step] += other.slower[step];
      waiting[step] += other.waiting[step];
      faster[step] += other.faster[step];
    }
  }

  // Subtracts counts that were added before.
  auto Subtract(const VersionCounts& other) -> void {
    answers -= other.answers;
    failures -= other.failures;
    timed -= other.timed;
    log_slowness -= other.log_slowness;
    for (std::size_t step = 0; step < kDelaySteps; ++step) {
      slower[step] -= other.slower[step];
      waiting[step] -= other.waiting[step];
      faster[step] -= other.faster[step];
    }
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(answers, failures, timed, log_slowness, slower, waiting, faster);
  }
};

// Version and route under which answers are counted together.
struct VersionKey {
  ServiceId service;
  std::string version;
  std::string route;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionKey&) const = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, version, route);
  }
};

using VersionEvidence = std::map<VersionKey, VersionCounts>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_VERSION_EVIDENCE_H_
