#ifndef LIBZINNIASTEP_CONFIGURATION_DOCUMENT_H_
#define LIBZINNIASTEP_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// Money in millionths of the deployment's currency.
using MicroMoney = std::int64_t;

// What running a version costs.
struct Price {
  MicroMoney per_request = 0;
  MicroMoney per_thousand_prompt_tokens = 0;
  MicroMoney per_thousand_completion_tokens = 0;

  auto operator==(const Price&) const -> bool = default;
};

// Whether a version may receive work.
enum class VersionState : std::uint8_t { kActive, kWithdrawn };

// One version of a model as the team's document describes it.
struct VersionRule {
  ModelVersion id;
  Price price;
  VersionState state = VersionState::kActive;
  // Why the version was withdrawn; it counts as bad when `bad` is set.
  std::string reason;
  bool bad = false;
  // Expected quality in [0, 1] before any rating has arrived.
  double prior_quality = 0.5;
  // Memory that a backend server needs to load the version, in megabytes.
  std::uint32_t memory_megabytes = 0;

  auto operator==(const VersionRule&) const -> bool = default;
};

// An ordered list of versions, cheapest first, that callers name as one model.
struct CascadeRule {
  CascadeId id;
  std::vector<std::string> models;

  auto operator==(const CascadeRule&) const -> bool = default;
};

// How a new version of a model takes over from an old one.
struct RolloutRule {
  enum class State : std::uint8_t { kRunning, kHeld, kFinished };

  RolloutId id;
  std::string model;
  std::string from_version;
  std::string to_version;
  // Shares of traffic in [0, 1] in ascending order; the first is the start.
  std::vector<double> steps;
  // The step that operators or the evidence have reached.
  std::uint32_t step = 0;
  State state = State::kRunning;
  // Share of sessions known by name only that begin on the new version. It is
  // constant for the life of the roll-out, so that no session ever moves.
  double session_share = 0.0;
  // Answers on the new version that a step needs at the least.
  std::uint32_t least_answers_per_step = 50;
  // Loss of quality, in [0, 1], that the roll-out must not exceed.
  double tolerated_quality_loss = 0.02;
  std::string reason;

  auto operator==(const RolloutRule&) const -> bool = default;
};

// What one client account may use and must be given.
struct AccountRule {
  ClientAccountId id;
  // SHA-256 digests of the account's bearer keys, in hexadecimal.
  std::vector<std::string> key_digests;
  // Allowed entries: a model, "model@version", a cascade or a service.
  std::vector<std::string> allowed;
  // Quality in [0, 1] that the account's answers must reach on average.
  double quality_target = 0.0;
  // Weight in sharing capacity when demand exceeds it.
  double share = 1.0;
  // Whether a streaming caller accepts to wait for a judgement of the answer.
  bool buffer_streams = false;

  auto operator==(const AccountRule&) const -> bool = default;
};

// A plain service beside the model engines.
struct ServiceRule {
  ServiceId id;
  // Whether a call may be repeated without harm.
  bool idempotent = false;
  Price price;

  auto operator==(const ServiceRule&) const -> bool = default;
};

// One team's document: who may use which versions at what quality, and how
// versions enter and leave.
struct Document {
  TeamId team;
  // Counts accepted changes. A higher generation replaces a lower one, never
  // the other way round, whatever the object API says.
  std::uint64_t generation = 0;
  std::vector<AccountRule> accounts;
  std::vector<VersionRule> versions;
  std::vector<CascadeRule> cascades;
  std::vector<RolloutRule> rollouts;
  std::vector<ServiceRule> services;

  auto operator==(const Document&) const -> bool = default;
};

// Whether a failure domain receives work.
enum class FailureDomainState : std::uint8_t { kIn, kOut };

// One failure domain of the deployment.
struct FailureDomainRule {
  FailureDomainId id;
  RegionId region;
  FailureDomainState state = FailureDomainState::kIn;

  auto operator==(const FailureDomainRule&) const -> bool = default;
};

// A backend server as operators introduce it to the system.
struct BackendServerRule {
  enum class Kind : std::uint8_t { kEngine, kService };

  BackendServerId id;
  Kind kind = Kind::kEngine;
  // Numeric "address:port" of the server's HTTP interface.
  std::string address;
  FailureDomainId domain;
  // The plain service that it runs, for servers of that kind.
  ServiceId service;
  // Versions that the server holds from the start, for engines.
  std::vector<ModelVersion> versions;
  // Requests at once that the server bears in cold start and when warm.
  std::uint32_t cold_limit = 1;
  std::uint32_t warm_limit = 8;
  std::uint32_t memory_megabytes = 0;
  // Whether the server refuses orders that carry an old fencing number.
  bool checks_fencing = false;
  // Set by operators: the server is leaving and receives no new work.
  bool leaving = false;

  auto operator==(const BackendServerRule&) const -> bool = default;
};

// All failure domains of the deployment; one object.
struct FailureDomainMap {
  // Counts accepted changes, as in Document.
  std::uint64_t generation = 0;
  std::vector<FailureDomainRule> domains;

  auto operator==(const FailureDomainMap&) const -> bool = default;
};

// The backend servers of one failure domain; one object a domain. It is spread
// only within the domain's region.
struct ServerRoster {
  // Counts accepted changes, as in Document.
  std::uint64_t generation = 0;
  FailureDomainId domain;
  std::vector<BackendServerRule> servers;

  auto operator==(const ServerRoster&) const -> bool = default;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_DOCUMENT_H_
