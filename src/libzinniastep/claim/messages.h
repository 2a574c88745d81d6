#ifndef LIBZINNIASTEP_CLAIM_MESSAGES_H_
#define LIBZINNIASTEP_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/claim/claim_key.h"

namespace zinniastep {

// Asks a key's authority whether a request may run. May be repeated.
struct ClaimAsk {
  RequestId request;
  KeyDigest key;
  std::uint64_t body_hash = 0;
  // All zero for a key of a shard.
  HomeBinding home;
  // How long the asker still waits, in microseconds.
  std::int64_t patience = 0;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request, key, body_hash, home, patience);
  }
};

// What an authority says to a request.
enum class ClaimAnswer : std::uint8_t {
  // The request, and no other, may run.
  kGranted,
  // The key's earlier request has run; its answer is attached.
  kReplayed,
  // The key's earlier request runs now.
  kWait,
  // The key's earlier request has run; its answer is no longer kept.
  kRan,
  // Whether the key's earlier request ran is not known.
  kUnknown,
  // The key was used with another body.
  kReused,
  // The key's time is over.
  kExpired,
  // The key has not run, and may not be claimed now.
  kUnavailable,
  // The authority cannot tell what became of the key, nor claim it now.
  kUntold,
};

// An authority's answer to an ask. May come late, twice or out of order.
struct ClaimVerdict {
  RequestId request;
  KeyDigest key;
  HomeBinding home;
  ClaimAnswer answer = ClaimAnswer::kWait;
  // The request may be in the shard's ledger though it is refused: the asker
  // reports that it does not run. Nobody else can know, as another authority
  // that read the ledger may have granted it.
  bool report_wanted = false;
  // Of a replayed answer.
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request, key, home, answer, report_wanted, status, content_type,
            body);
  }
};

// What became of a request. Each is a fact that stays true.
enum class ClaimOutcome : std::uint8_t {
  // It ran and its whole answer is known.
  kRan,
  // It did not run and never will.
  kNotRun,
  // It may have run.
  kUnknown,
};

// Tells a key's authority what became of a request; repeated until taken.
struct ClaimReport {
  RequestId request;
  KeyDigest key;
  HomeBinding home;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  // Whether the answer is attached; a long one is not.
  bool has_answer = false;
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request, key, home, outcome, has_answer, status, content_type,
            body);
  }
};

// The authority has taken a report in for good.
struct ClaimReportTaken {
  RequestId request;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request);
  }
};

// The messages of this aggregate between hosts.
using ClaimMessage = std::variant<std::monostate,
                                  ClaimAsk,
                                  ClaimVerdict,
                                  ClaimReport,
                                  ClaimReportTaken>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_MESSAGES_H_
