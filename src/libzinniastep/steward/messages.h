#ifndef LIBZINNIASTEP_STEWARD_MESSAGES_H_
#define LIBZINNIASTEP_STEWARD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/routing/pool_summary.h"
#include "libzinniastep/steward/credit_ask.h"

namespace zinniastep {

// Numbers the asks of one process.
struct AskId {
  Incarnation incarnation = 0;
  std::uint64_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AskId&) const = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(incarnation, number);
  }
};

// Asks a steward for a credit. It is sent again until it is answered; the
// latest `attempt` received is the one that the reply names.
struct CreditRequest {
  AskId ask;
  HostId asker;
  std::uint32_t attempt = 0;
  FailureDomainId domain;
  std::uint32_t cell = 0;
  // Whether another steward has passed the request on already.
  bool forwarded = false;
  std::vector<Workload> acceptable;
  std::uint64_t prefix_hash = 0;
  Priority priority = Priority::kNormal;
  ClientAccountId account;
  double share = 1.0;
  std::int64_t wait_microseconds = 0;
  std::int64_t attempt_microseconds = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ask, asker, attempt, domain, cell, forwarded, acceptable,
            prefix_hash, priority, account, share, wait_microseconds,
            attempt_microseconds);
  }
};

// A credit as it travels; its latest use is for the asker to work out.
struct GrantedCredit {
  std::uint64_t id = 0;
  BackendServerId server;
  std::string address;
  Incarnation server_incarnation = 0;
  ModelVersion version;
  FailureDomainId domain;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, server, address, server_incarnation, version, domain);
  }
};

// Why a steward grants nothing.
enum class RefusalCause : std::uint8_t {
  kNotSteward,
  kNotServed,
  kQueueFull,
  kTooLate,
};

struct RefusedCredit {
  RefusalCause cause = RefusalCause::kNotSteward;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(cause);
  }
};

// Answers a CreditRequest.
struct CreditReply {
  AskId ask;
  std::uint32_t attempt = 0;
  std::variant<GrantedCredit, RefusedCredit> verdict;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ask, attempt, verdict);
  }
};

// Tells a steward that an ask is not wanted any more.
struct CreditCancel {
  AskId ask;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ask);
  }
};

// Gives a credit back. It is sent again until it is acknowledged.
struct CreditReturn {
  std::uint64_t credit = 0;
  CreditResult result = CreditResult::kNotSent;
  std::int64_t first_token_microseconds = 0;
  Incarnation server_incarnation = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(credit, result, first_token_microseconds, server_incarnation);
  }
};

// Acknowledges a CreditReturn.
struct CreditReturned {
  std::uint64_t credit = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(credit);
  }
};

// How many credits for a backend server have not come back.
struct OutstandingCredits {
  BackendServerId server;
  std::uint32_t count = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, count);
  }
};

// Tells a cell's new steward that the sender, an earlier one, has stopped.
struct HandOver {
  FailureDomainId domain;
  std::uint32_t cell = 0;
  // Number of cells when the sender held this one.
  std::uint32_t cells = 0;
  // The sender's epoch in the table's list of earlier holders.
  std::uint64_t epoch = 0;
  std::vector<OutstandingCredits> outstanding;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, cell, cells, epoch, outstanding);
  }
};

// One pool's sums as they travel: the workload by its hash.
struct PoolEntry {
  std::uint64_t workload = 0;
  std::uint16_t limit = 0;
  std::uint16_t running = 0;
  std::uint16_t queued = 0;
  std::uint16_t warm_servers = 0;
  std::uint16_t cold_servers = 0;
  std::uint16_t first_token_milliseconds = 0;

  auto operator==(const PoolEntry&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(workload, limit, running, queued, warm_servers, cold_servers,
            first_token_milliseconds);
  }
};

// A steward's sums for one of its cells, sent to stewards of the same failure
// domain.
struct CellReport {
  FailureDomainId domain;
  std::uint32_t cell = 0;
  std::uint64_t epoch = 0;
  std::vector<PoolEntry> entries;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, cell, epoch, entries);
  }
};

// The sums of one failure domain, passed on from host to host.
struct DomainReport {
  FailureDomainId domain;
  // Orders the reports of a domain: the table's generation, then a count.
  std::uint64_t term = 0;
  std::uint64_t count = 0;
  std::uint32_t age_milliseconds = 0;
  std::vector<PoolEntry> entries;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, term, count, age_milliseconds, entries);
  }
};

// Which report of a failure domain the sender has; the domain by its hash.
struct ReportNumber {
  std::uint32_t domain = 0;
  std::uint64_t term = 0;
  std::uint64_t count = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, term, count);
  }
};

// Asks for reports that are newer than the sender's.
struct PoolDigest {
  std::vector<ReportNumber> reports;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(reports);
  }
};

// Answers a PoolDigest.
struct PoolUpdate {
  std::vector<DomainReport> reports;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(reports);
  }
};

// The messages of this aggregate between hosts.
using StewardMessage = std::variant<std::monostate,
                                    CreditRequest,
                                    CreditReply,
                                    CreditCancel,
                                    CreditReturn,
                                    CreditReturned,
                                    HandOver,
                                    CellReport,
                                    PoolDigest,
                                    PoolUpdate>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_MESSAGES_H_
