#ifndef LIBZINNIASTEP_GATEWAY_RECORD_EXCHANGE_H_
#define LIBZINNIASTEP_GATEWAY_RECORD_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/kept_records.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/peer_fetch_scheduler.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/record_packer.h"

namespace zinniastep {

// What a peer's records did to this host's state of a kind.
struct ExchangeResult {
  // The state changed, so that what is derived from it has to be updated.
  bool changed = false;
  // The state is as new as the peer's, so that others can be told of it.
  bool complete = false;
};

// Exchanges the store's records with peers: asks for newer states, answers
// peers that ask, and takes their answers into the mirror. The mirror, the kept
// records and the outbox must outlive it.
class RecordExchange {
 public:
  RecordExchange(RecordMirror& mirror,
                 KeptRecords& kept,
                 GatewayOutbox& outbox);

  // A peer holds a newer state of the kind than this host.
  auto OnNewerState(Instant now,
                    RecordKind kind,
                    const PeerRef& peer,
                    bool is_near) -> void;

  // The store sent a newer state of the kind.
  auto OnRead(RecordKind kind) -> void;

  // Sends the requests that are due. `reads_store` is whether this host's own
  // watch probably brings the change without a request.
  auto SendRequests(Instant now, bool reads_store) -> void;

  // Requests the kinds of which this host has no records yet.
  auto RequestMissingKinds(Instant now) -> void;

  // Answers a peer's request.
  auto OnRequest(const PeerRef& from, const RecordsRequest& request) -> void;
  auto OnRequest(const PeerRef& from, const PackedRecordsRequest& request)
      -> void;

  // Returns a peer's compressed answer, or nullopt if it cannot be read; the
  // full state is requested then.
  [[nodiscard]] auto Unpack(Instant now,
                            const PeerRef& from,
                            const PackedRecords& packed)
      -> std::optional<RecordAnswer>;

  // Takes a peer's full state, or its changes.
  auto OnSnapshot(const PeerRef& from, const RecordSnapshot& snapshot)
      -> ExchangeResult;
  auto OnDelta(Instant now, const PeerRef& from, const RecordDelta& delta)
      -> ExchangeResult;

 private:
  // Returns whether this host has a newer state than the one that a request
  // names.
  [[nodiscard]] auto HasNewer(RecordKind kind, StorePosition as_of) const
      -> bool;
  // Returns what leads a host from a state to this host's.
  [[nodiscard]] auto AnswerSince(RecordKind kind, StorePosition as_of) const
      -> RecordAnswer;
  auto SendRequest(const PeerFetchScheduler::Fetch& fetch) -> void;
  auto LogSent(const PeerRef& to,
               RecordKind kind,
               StorePosition since,
               std::size_t bytes) -> void;

  RecordMirror& mirror_;
  KeptRecords& kept_;
  GatewayOutbox& outbox_;
  PeerFetchScheduler fetches_;
  RecordPacker packer_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_EXCHANGE_H_
