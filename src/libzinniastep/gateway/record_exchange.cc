#include "libzinniastep/gateway/record_exchange.h"

#include <span>
#include <string>
#include <utility>

namespace zinniastep {

namespace {

auto ToText(RecordKind kind) -> std::string {
  return std::to_string(static_cast<int>(kind));
}

// Returns the bytes that the records' contents take together.
auto ContentBytes(std::span<const StoredRecord> records) -> std::size_t {
  std::size_t bytes = 0;
  for (const StoredRecord& record : records) {
    bytes += record.content.size();
  }
  return bytes;
}

}  // namespace

RecordExchange::RecordExchange(RecordMirror& mirror,
                               KeptRecords& kept,
                               GatewayOutbox& outbox)
    : mirror_(mirror), kept_(kept), outbox_(outbox) {}

auto RecordExchange::OnNewerState(Instant now,
                                  RecordKind kind,
                                  const PeerRef& peer,
                                  bool is_near) -> void {
  fetches_.OnNewerState(now, kind, peer, is_near);
}

auto RecordExchange::OnReceived(RecordKind kind) -> void {
  fetches_.OnReceived(kind);
}

auto RecordExchange::SendRequests(Instant now, bool reads_store) -> void {
  for (const PeerFetchScheduler::Fetch& fetch :
       fetches_.TakeDue(now, reads_store)) {
    const StorePosition as_of =
        fetch.full_state ? StorePosition() : mirror_.Digest(fetch.kind).as_of;
    const RecordsRequest request{fetch.kind, as_of};
    outbox_.Log("records_requested",
                {{"peer", fetch.peer.host.text()},
                 {"kind", ToText(fetch.kind)},
                 {"as_of", as_of.text()},
                 {"retry", fetch.is_retry ? "yes" : "no"}});
    outbox_.Send(fetch.peer, request);
    if (fetch.is_retry) {
      // The peer may be gone, and no peer reports again a state that all have.
      outbox_.SendToRandomPeers(1, request);
    }
  }
}

// All starting hosts join through the same few peers, and any other peer has
// the records as well, so the request goes to a random one.
auto RecordExchange::RequestMissingKinds() -> void {
  for (const RecordKind kind : kAllRecordKinds) {
    if (!mirror_.IsKnown(kind)) {
      outbox_.SendToRandomPeers(1, RecordsRequest{kind, 0});
    }
  }
}

auto RecordExchange::OnRequest(const PeerRef& from,
                               const RecordsRequest& request) -> void {
  if (static_cast<std::size_t>(request.kind) >= kRecordKinds ||
      !mirror_.IsKnown(request.kind) ||
      mirror_.Digest(request.kind).as_of <= request.as_of) {
    return;
  }
  auto delta = mirror_.ChangesSince(request.kind, request.as_of);
  const bool is_full = !delta.has_value();
  RecordSnapshot snapshot;
  if (is_full) {
    snapshot = mirror_.Snapshot(request.kind);
    snapshot.kept = kept_.kept(request.kind);
  }
  outbox_.Log("records_sent",
              {{"peer", from.host.text()},
               {"kind", ToText(request.kind)},
               {"from", request.as_of.text()},
               {"as_of", mirror_.Digest(request.kind).as_of.text()},
               {"full", is_full ? "yes" : "no"},
               {"bytes", std::to_string(ContentBytes(
                             is_full ? snapshot.records : delta->records))}});
  if (is_full) {
    outbox_.Send(from, std::move(snapshot));
  } else {
    outbox_.Send(from, *std::move(delta));
  }
}

auto RecordExchange::OnSnapshot(const PeerRef& from,
                                const RecordSnapshot& snapshot)
    -> ExchangeResult {
  if (static_cast<std::size_t>(snapshot.kind) >= kRecordKinds) {
    return {};
  }
  if (mirror_.IsKnown(snapshot.kind) &&
      snapshot.as_of < mirror_.Digest(snapshot.kind).as_of) {
    // The peer is behind; a newer state is still to come.
    return {};
  }
  const bool is_replaced = mirror_.Replace(snapshot);
  const bool changed = kept_.Offer(snapshot.kind, snapshot.kept) || is_replaced;
  fetches_.OnReceived(snapshot.kind);
  if (changed) {
    outbox_.Log("records_from_peer", {{"peer", from.host.text()},
                                      {"kind", ToText(snapshot.kind)},
                                      {"as_of", snapshot.as_of.text()}});
  }
  return {.changed = changed, .complete = true};
}

auto RecordExchange::OnDelta(Instant now,
                             const PeerRef& from,
                             const RecordDelta& delta) -> ExchangeResult {
  if (static_cast<std::size_t>(delta.kind) >= kRecordKinds) {
    return {};
  }
  const DeltaOutcome outcome = mirror_.Apply(delta);
  if (outcome != DeltaOutcome::kUnchanged) {
    for (const std::string& name : delta.removed) {
      kept_.OnRemoved(delta.kind, name);
    }
  }
  fetches_.OnReceived(delta.kind);
  if (outcome == DeltaOutcome::kUnchanged) {
    return {};
  }
  outbox_.Log("changes_from_peer",
              {{"peer", from.host.text()},
               {"kind", ToText(delta.kind)},
               {"from", delta.from.text()},
               {"as_of", delta.as_of.text()},
               {"records", std::to_string(delta.records.size())},
               {"removed", std::to_string(delta.removed.size())},
               {"fits", outcome == DeltaOutcome::kChanged ? "yes" : "no"}});
  if (outcome == DeltaOutcome::kMismatch) {
    fetches_.OnDeltaMismatch(now, delta.kind, from);
  }
  return {.changed = mirror_.IsKnown(delta.kind),
          .complete = outcome == DeltaOutcome::kChanged};
}

}  // namespace zinniastep
