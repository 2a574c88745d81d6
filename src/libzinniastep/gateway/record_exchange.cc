#include "libzinniastep/gateway/record_exchange.h"

#include <string>
#include <utility>
#include <variant>

namespace zinniastep {

namespace {

auto ToText(RecordKind kind) -> std::string {
  return std::to_string(static_cast<int>(kind));
}

// After this many unanswered requests for compressed records the next one asks
// for plain ones: the peers may be of a release that does not compress.
constexpr std::uint32_t kPackedRetries = 3;
// Contents of up to this many bytes are sent as they are: they fit a datagram.
constexpr std::size_t kLongestPlainAnswer = 1000;

// Returns the bytes that the records' contents take together.
auto ContentBytes(const RecordAnswer& answer) -> std::size_t {
  return std::visit(
      [](const auto& specific) {
        std::size_t bytes = 0;
        for (const StoredRecord& record : specific.records) {
          bytes += record.content.size();
        }
        return bytes;
      },
      answer);
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

auto RecordExchange::OnRead(RecordKind kind) -> void {
  fetches_.OnReceived(kind);
  packer_.OnChanged(kind, mirror_.records(kind));
}

auto RecordExchange::SendRequests(Instant now, bool reads_store) -> void {
  for (const PeerFetchScheduler::Fetch& fetch :
       fetches_.TakeDue(now, reads_store)) {
    SendRequest(fetch);
  }
}

auto RecordExchange::SendRequest(const PeerFetchScheduler::Fetch& fetch)
    -> void {
  const StorePosition as_of =
      fetch.full_state ? StorePosition() : mirror_.Digest(fetch.kind).as_of;
  GatewayMessage request = PackedRecordsRequest{
      fetch.kind, as_of, packer_.Bases(mirror_.records(fetch.kind))};
  if (fetch.plain || fetch.retries >= kPackedRetries) {
    request = RecordsRequest{fetch.kind, as_of};
  }
  outbox_.Log(
      "records_requested",
      {{"peer", fetch.peer.has_value() ? fetch.peer->host.text() : "any"},
       {"kind", ToText(fetch.kind)},
       {"as_of", as_of.text()},
       {"retries", std::to_string(fetch.retries)}});
  if (fetch.peer.has_value()) {
    outbox_.Send(*fetch.peer, std::move(request));
  } else {
    outbox_.SendToRandomPeers(1, request);
  }
}

// All starting hosts join through the same few peers, and any other peer has
// the records as well, so the request goes to a random one.
auto RecordExchange::RequestMissingKinds(Instant now) -> void {
  for (const RecordKind kind : kAllRecordKinds) {
    if (!mirror_.IsKnown(kind)) {
      fetches_.OnMissing(now, kind);
    }
  }
}

auto RecordExchange::HasNewer(RecordKind kind, StorePosition as_of) const
    -> bool {
  return static_cast<std::size_t>(kind) < kRecordKinds &&
         mirror_.IsKnown(kind) && mirror_.Digest(kind).as_of > as_of;
}

auto RecordExchange::AnswerSince(RecordKind kind, StorePosition as_of) const
    -> RecordAnswer {
  if (auto delta = mirror_.ChangesSince(kind, as_of)) {
    return *std::move(delta);
  }
  RecordSnapshot snapshot = mirror_.Snapshot(kind);
  snapshot.kept = kept_.kept(kind);
  return snapshot;
}

auto RecordExchange::LogSent(const PeerRef& to,
                             RecordKind kind,
                             StorePosition since,
                             std::size_t bytes) -> void {
  outbox_.Log("records_sent", {{"peer", to.host.text()},
                               {"kind", ToText(kind)},
                               {"from", since.text()},
                               {"as_of", mirror_.Digest(kind).as_of.text()},
                               {"bytes", std::to_string(bytes)}});
}

auto RecordExchange::OnRequest(const PeerRef& from,
                               const RecordsRequest& request) -> void {
  if (!HasNewer(request.kind, request.as_of)) {
    return;
  }
  RecordAnswer answer = AnswerSince(request.kind, request.as_of);
  LogSent(from, request.kind, request.as_of, ContentBytes(answer));
  std::visit([&](auto& specific) { outbox_.Send(from, std::move(specific)); },
             answer);
}

auto RecordExchange::OnRequest(const PeerRef& from,
                               const PackedRecordsRequest& request) -> void {
  if (!HasNewer(request.kind, request.as_of)) {
    return;
  }
  if (auto packed = packer_.Find(request)) {
    LogSent(from, request.kind, request.as_of, packed->bytes.size());
    outbox_.Send(from, *std::move(packed));
    return;
  }
  RecordAnswer answer = AnswerSince(request.kind, request.as_of);
  const std::size_t bytes = ContentBytes(answer);
  if (bytes > kLongestPlainAnswer) {
    if (auto packed = packer_.Pack(request, answer); packed.ok()) {
      LogSent(from, request.kind, request.as_of, packed->bytes.size());
      outbox_.Send(from, *std::move(packed));
      return;
    }
  }
  LogSent(from, request.kind, request.as_of, bytes);
  std::visit([&](auto& specific) { outbox_.Send(from, std::move(specific)); },
             answer);
}

auto RecordExchange::Unpack(Instant now,
                            const PeerRef& from,
                            const PackedRecords& packed)
    -> std::optional<RecordAnswer> {
  auto answer = packer_.Unpack(packed);
  if (answer.ok()) {
    return *std::move(answer);
  }
  outbox_.Log("peer_records_unreadable",
              {{"peer", from.host.text()},
               {"kind", ToText(packed.kind)},
               {"reason", std::string(answer.status().message())}});
  if (static_cast<std::size_t>(packed.kind) < kRecordKinds) {
    fetches_.OnUnreadable(now, packed.kind);
  }
  return std::nullopt;
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
    packer_.OnChanged(snapshot.kind, mirror_.records(snapshot.kind));
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
  packer_.OnChanged(delta.kind, mirror_.records(delta.kind));
  if (outcome == DeltaOutcome::kMismatch) {
    fetches_.OnDeltaMismatch(now, delta.kind, from);
  }
  return {.changed = mirror_.IsKnown(delta.kind),
          .complete = outcome == DeltaOutcome::kChanged};
}

}  // namespace zinniastep
