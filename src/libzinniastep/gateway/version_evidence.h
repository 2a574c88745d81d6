#ifndef LIBZINNIASTEP_GATEWAY_VERSION_EVIDENCE_H_
#define LIBZINNIASTEP_GATEWAY_VERSION_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Counts of the answers of one version on one route.
struct VersionCounts {
  std::uint64_t answers = 0;
  // Answers in which the server reported a failure of its own.
  std::uint64_t failures = 0;
  // Answers whose time was measured, and the sum of the logarithms of the ratio
  // of each measured time to the expected time of such a request.
  std::uint64_t timed = 0;
  double log_slowness = 0.0;

  auto operator==(const VersionCounts&) const -> bool = default;

  auto Add(const VersionCounts& other) -> void {
    answers += other.answers;
    failures += other.failures;
    timed += other.timed;
    log_slowness += other.log_slowness;
  }

  // Subtracts counts that were added before.
  auto Subtract(const VersionCounts& other) -> void {
    answers -= other.answers;
    failures -= other.failures;
    timed -= other.timed;
    log_slowness -= other.log_slowness;
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(answers, failures, timed, log_slowness);
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
