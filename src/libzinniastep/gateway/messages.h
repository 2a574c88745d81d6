#ifndef LIBZINNIASTEP_GATEWAY_MESSAGES_H_
#define LIBZINNIASTEP_GATEWAY_MESSAGES_H_

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/rollout_progress.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// Reports which states of the store's objects the sender holds, and its
// progress of roll-outs.
struct HostDigest {
  std::array<RecordDigest, kRecordKinds> kinds;
  std::vector<RolloutProgress> rollouts;
  // The host that got the latest store answer known to the sender, and the age
  // of that answer.
  HostId store_reader;
  std::uint64_t store_age_ms = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    for (RecordDigest& digest : kinds) {
      archive(digest);
    }
    archive(rollouts, store_reader, store_age_ms);
  }
};

// Requests the receiver's state of one kind.
struct RecordsRequest {
  RecordKind kind = RecordKind::kConfiguration;
  // The sender's own state, since which changes are requested; zero requests
  // the full state.
  StorePosition as_of;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, as_of);
  }
};

// Requests the receiver's state of one kind in compressed form.
struct PackedRecordsRequest {
  RecordKind kind = RecordKind::kConfiguration;
  // As in RecordsRequest.
  StorePosition as_of;
  // Hashes of contents that the sender holds, as prefixes of the compression.
  std::vector<std::uint64_t> bases;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, as_of, bases);
  }
};

// A RecordSnapshot or RecordDelta in compressed form.
struct PackedRecords {
  RecordKind kind = RecordKind::kConfiguration;
  // Hash of the content that was the prefix; zero if there was none.
  std::uint64_t base = 0;
  std::string bytes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, base, bytes);
  }
};

// One row of a host's evidence.
struct VersionRow {
  VersionKey key;
  VersionCounts counts;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, counts);
  }
};

// All evidence from the sender's own answers since its start; a later message
// replaces an earlier one.
struct OwnEvidence {
  std::vector<VersionRow> rows;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(rows);
  }
};

// A version showed a fault and gets no new requests under this roll-out order.
struct VersionFault {
  ServiceId service;
  std::string version;
  std::uint64_t order = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, version, order);
  }
};

// A send that was unanswered when its server ended. Ages are as of the time of
// sending, in microseconds; the masks have a bit for each part.
struct CrashRow {
  std::uint64_t id = 0;
  std::uint64_t request = 0;
  std::uint64_t server = 0;
  std::uint64_t age_us = 0;
  std::uint64_t took_us = 0;
  std::vector<std::uint64_t> parts;
  std::uint32_t known = 0;
  std::uint32_t cleared = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, request, server, age_us, took_us, parts, known, cleared);
  }
};

// How many trials of a held prompt part have begun, and the age of the last.
struct TrialRow {
  std::uint64_t part = 0;
  std::uint32_t count = 0;
  std::uint64_t age_us = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(part, count, age_us);
  }
};

// Evidence about prompt parts that crash servers. Rows are merged: a row only
// ever gains cleared parts, and a part only ever gains trials.
struct CrashReport {
  std::vector<CrashRow> rows;
  std::vector<TrialRow> trials;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(rows, trials);
  }
};

// A message of releases whose states of the store had no era. It is ignored,
// and its number is not used for another message, so that hosts of both
// releases stay members of one fleet during an update.
template <int>
struct RetiredMessage {
  template <class Archive>
  auto serialize(Archive& /*archive*/) -> void {}
};

// The gateway's messages between hosts.
using GatewayMessage = std::variant<std::monostate,
                                    RetiredMessage<1>,
                                    RetiredMessage<2>,
                                    RetiredMessage<3>,
                                    OwnEvidence,
                                    VersionFault,
                                    RetiredMessage<6>,
                                    CrashReport,
                                    HostDigest,
                                    RecordsRequest,
                                    RecordSnapshot,
                                    RecordDelta,
                                    PackedRecordsRequest,
                                    PackedRecords>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_MESSAGES_H_
