#ifndef LIBZINNIASTEP_BASE_IDS_H_
#define LIBZINNIASTEP_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "libzinniastep/base/named_id.h"

namespace zinniastep {

// A machine that runs one entry process.
using HostId = NamedId<struct HostTag>;
// A group of machines that fail, or are taken out, together.
using FailureDomainId = NamedId<struct FailureDomainTag>;
// A group of failure domains that are near each other.
using RegionId = NamedId<struct RegionTag>;
// One customer of a service team.
using ClientAccountId = NamedId<struct ClientAccountTag>;
// A model engine or a plain service that runs requests.
using BackendServerId = NamedId<struct BackendServerTag>;
// A plain service that stands beside the model engines.
using ServiceId = NamedId<struct ServiceTag>;
// A conversation as its caller names it.
using SessionId = NamedId<struct SessionTag>;
// A key under which a caller may repeat a request without running it again.
using IdempotencyKey = NamedId<struct IdempotencyKeyTag>;
// A kind of work with a quality of its own, as "care-plan" or "question".
using TaskClassId = NamedId<struct TaskClassTag>;
// A team's cascade of versions.
using CascadeId = NamedId<struct CascadeTag>;
// A roll-out rule of a team's document.
using RolloutId = NamedId<struct RolloutTag>;
// The team that owns one configuration document.
using TeamId = NamedId<struct TeamTag>;
// A path in the object API.
using ObjectPath = NamedId<struct ObjectPathTag>;

// Tells two runs of a process under the same address apart; drawn at random at
// the start of a process. Zero means "none".
using Incarnation = std::uint64_t;

// Version of an object in the object API: the API's revision at its last
// change. Zero means that the object does not exist.
using ObjectVersion = std::uint64_t;

// One version of one model, the unit that is priced, rolled out and withdrawn.
struct ModelVersion {
  std::string model;
  std::string version;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ModelVersion&) const = default;

  // Reads or writes the pair with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(model, version);
  }
};

// Returns "model@version", as callers and logs write it.
[[nodiscard]] auto ToString(const ModelVersion& version) -> std::string;

// One caller's request as the entry host that took it numbers it.
struct RequestId {
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestId&) const = default;

  // Reads or writes the pair with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(incarnation, sequence);
  }
};

// Returns the request's number as "incarnation-sequence" in hexadecimal.
[[nodiscard]] auto ToString(const RequestId& request) -> std::string;

// One try of a request at one backend server.
struct AttemptId {
  RequestId request;
  std::uint32_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AttemptId&) const = default;

  // Reads or writes the attempt's number with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request, number);
  }
};

// Returns the attempt's number as "request.number".
[[nodiscard]] auto ToString(const AttemptId& attempt) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_IDS_H_
