#include "libzinniastep/configuration/configuration_book.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/base/random.h"

namespace zinniastep {

namespace {

// How often the order of the hosts is worked out anew.
constexpr Duration kTreePeriod = std::chrono::milliseconds(500);

// Returns a number that differs between two sets of running processes.
auto Signature(const std::vector<HostIdentity>& hosts) -> std::uint64_t {
  std::uint64_t sum = hosts.size();
  for (const HostIdentity& host : hosts) {
    sum += Random(host.incarnation).Next();
  }
  return sum;
}

}  // namespace

ConfigurationBook::ConfigurationBook(const ClusterView& cluster,
                                     ConfigurationSettings settings,
                                     std::uint64_t seed)
    : cluster_(cluster),
      settings_(settings),
      in_force_(cluster_.self()),
      stamps_(StableHash("stamps", seed)),
      pulse_(cluster_, settings_, in_force_.table(), tree_, stamps_),
      spread_(settings_, in_force_.table(), tree_, StableHash("spread", seed)),
      watch_(settings_, tokens_),
      proposals_(in_force_.table(), tokens_),
      status_(settings_, in_force_.table(), tokens_),
      patience_(settings_.start_patience +
                Duration(StableHash("patience", seed) %
                         settings_.start_patience.count())) {}

auto ConfigurationBook::NoteTime(Instant now) -> void {
  if (!started_at_) {
    started_at_ = now;
    last_event_ = now;
    lapsed_at_ = now;
    tree_at_ = now - kTreePeriod;
    digest_at_ = now - settings_.digest_period;
  }
  const auto news_at = pulse_.news_at();
  const bool paused = now - last_event_ > settings_.pause;
  const bool cut_off =
      caught_up_ && news_at && now - *news_at > settings_.news_limit;
  if (paused || cut_off) {
    caught_up_ = false;
    lapsed_at_ = now;
  }
  last_event_ = std::max(last_event_, now);
}

auto ConfigurationBook::HasNews(Instant now) const -> bool {
  const auto news_at = pulse_.news_at();
  return caught_up_ && now - last_event_ <= settings_.pause && news_at &&
         now - *news_at <= settings_.news_limit;
}

auto ConfigurationBook::RefreshTree(Instant now) -> void {
  if (now - tree_at_ >= kTreePeriod) {
    tree_at_ = now;
    const std::uint64_t signature = Signature(cluster_.live_hosts());
    if (signature != tree_signature_) {
      tree_signature_ = signature;
      tree_ = RegionTree(cluster_);
    }
  }
}

auto ConfigurationBook::OnTime(Instant now, Effects& effects) -> void {
  NoteTime(now);
  RefreshTree(now);
  pulse_.OnTime(now, HasNews(now), effects);
  AskDigest(now, effects);
  FollowStore(now, effects);
  CatchUpAlone(now);
  proposals_.OnTime(now, effects);
  if (tree_.IsRoot() && caught_up_) {
    status_.OnTime(now, cluster_.self(), pulse_.Count(now), effects);
  }
}

auto ConfigurationBook::AskDigest(Instant now, Effects& effects) -> void {
  if (now - digest_at_ < settings_.digest_period) {
    return;
  }
  digest_at_ = now;
  const HostId peer = spread_.RandomPeer();
  if (!peer.empty()) {
    effects.Do(
        SendToPeer{peer, "",
                   ConfigurationMessage(DigestAsked{
                       stamps_.For(peer, now), RecordScope::kRegion,
                       in_force_.table().Digest(RecordScope::kRegion)})});
  }
}

auto ConfigurationBook::WatchedPrefixes() const -> std::set<std::string> {
  std::set<std::string> prefixes{std::string(kDocumentPrefix),
                                 std::string(kDomainsPath)};
  const HostIdentity& self = cluster_.self();
  prefixes.insert(RosterPath(self.domain).text());
  for (const FailureDomainRule& rule : snapshot().domains.domains) {
    if (rule.region == self.region) {
      prefixes.insert(RosterPath(rule.id).text());
    }
  }
  return prefixes;
}

auto ConfigurationBook::FollowStore(Instant now, Effects& effects) -> void {
  const bool watching = tree_.IsWatcher();
  const bool left_alone = !caught_up_ && now - lapsed_at_ >= patience_;
  if (!watching && !left_alone) {
    return;
  }
  Instant listed_since = caught_up_ ? Instant() : lapsed_at_;
  if (tree_.IsRoot()) {
    listed_since = std::max(listed_since, now - settings_.relist_period);
  }
  watch_.OnTime(now, WatchedPrefixes(), watching, listed_since, effects);
}

auto ConfigurationBook::CatchUpAlone(Instant now) -> void {
  const bool listed =
      watch_.ListedSince(lapsed_at_) && !snapshot().documents.empty();
  if (caught_up_ || !listed) {
    listed_at_.reset();
    return;
  }
  listed_at_ = listed_at_.value_or(now);
  caught_up_ = now - *listed_at_ >= settings_.peer_patience;
}

auto ConfigurationBook::OnStore(Instant now,
                                const StoreAnswered& answered,
                                Effects& effects) -> void {
  NoteTime(now);
  if (status_.OnStore(answered)) {
    return;
  }
  if (const auto objects = proposals_.OnStore(now, answered, effects)) {
    for (const StoredObject& object : *objects) {
      TakeFromStore(now, object, effects);
    }
    return;
  }
  const auto answer = watch_.OnStore(now, answered);
  if (!answer) {
    return;
  }
  for (const StoredObject& object : answer->objects) {
    TakeFromStore(now, object, effects);
  }
  for (const ObjectPath& path : answer->deleted) {
    effects.Log("configuration_deletion_ignored", {{"path", path.text()}});
  }
  if (answer->contact) {
    pulse_.OnNews(*answer->contact);
  }
}

auto ConfigurationBook::OnMessage(Instant now,
                                  const PeerRef& from,
                                  const ConfigurationMessage& message,
                                  Effects& effects) -> void {
  NoteTime(now);
  const HostId& peer = from.host;
  std::visit(Overloaded{[&](const RecordsAnnounced& announced) {
                          spread_.OnAnnounced(now, peer, announced, effects);
                        },
                        [&](const BucketsListed& listed) {
                          spread_.OnListed(now, peer, listed, effects);
                        },
                        [&](const RecordsWanted& wanted) {
                          spread_.OnWanted(peer, wanted, effects);
                        },
                        [&](const RecordsSent& sent) {
                          OnRecordsSent(now, peer, sent, effects);
                        },
                        [&](const DigestAsked& asked) {
                          OnDigestAsked(now, peer, asked, effects);
                        },
                        [&](const DigestAnswered& digest) {
                          OnDigestAnswered(peer, digest, effects);
                        },
                        [&](const SubtreeReported& report) {
                          pulse_.OnSubtree(now, peer, report);
                        },
                        [&](const BeatRelayed& beat) {
                          OnBeat(now, peer, beat, effects);
                        },
                        [&](const RegionReported& report) {
                          OnRegionReported(now, peer, report, effects);
                        }},
             message);
}

auto ConfigurationBook::OnDigestAsked(Instant now,
                                      const HostId& from,
                                      const DigestAsked& message,
                                      Effects& effects) -> void {
  stamps_.Receive(from, message.stamps);
  const auto news_at = pulse_.news_at();
  DigestAnswered answer;
  answer.stamps = stamps_.For(from, now);
  answer.news_age = HasNews(now) ? (now - *news_at).count() : -1;
  answer.scope = message.scope;
  if (in_force_.table().Digest(message.scope) != message.digest) {
    const auto buckets = in_force_.table().Buckets(message.scope);
    answer.buckets.assign(buckets.begin(), buckets.end());
  }
  effects.Do(SendToPeer{from, "", ConfigurationMessage(std::move(answer))});
}

auto ConfigurationBook::OnDigestAnswered(const HostId& from,
                                         const DigestAnswered& message,
                                         Effects& effects) -> void {
  const auto sent = stamps_.Receive(from, message.stamps);
  if (sent && message.news_age >= 0) {
    pulse_.OnNews(*sent - Duration(message.news_age));
    const bool equal =
        message.buckets.empty() && message.scope == RecordScope::kRegion;
    caught_up_ = caught_up_ || (equal && *sent >= lapsed_at_);
  }
  if (!message.buckets.empty()) {
    spread_.OnBuckets(from, message.scope, message.buckets, effects);
  }
}

auto ConfigurationBook::OnBeat(Instant now,
                               const HostId& from,
                               const BeatRelayed& beat,
                               Effects& effects) -> void {
  const auto sent = pulse_.OnBeat(now, from, beat, HasNews(now), effects);
  const bool equal =
      in_force_.table().Digest(RecordScope::kRegion) == beat.digest;
  caught_up_ = caught_up_ ||
               (equal && beat.news_age >= 0 && sent && *sent >= lapsed_at_);
}

auto ConfigurationBook::OnRegionReported(Instant now,
                                         const HostId& from,
                                         const RegionReported& message,
                                         Effects& effects) -> void {
  const auto sent = pulse_.OnRegion(now, from, message);
  if (in_force_.table().Digest(RecordScope::kEverywhere) == message.digest) {
    // A whole region that was cut off has nobody else to catch up with while
    // the object API is away.
    const bool fresh = message.news_age >= 0 && sent && *sent >= lapsed_at_;
    caught_up_ = caught_up_ || (fresh && watch_.IsFailing());
    return;
  }
  DigestAnswered answer;
  answer.stamps = stamps_.For(from, now);
  answer.scope = RecordScope::kEverywhere;
  const auto buckets = in_force_.table().Buckets(answer.scope);
  answer.buckets.assign(buckets.begin(), buckets.end());
  effects.Do(SendToPeer{from, "", ConfigurationMessage(std::move(answer))});
}

auto ConfigurationBook::OnRecordsSent(Instant now,
                                      const HostId& from,
                                      const RecordsSent& message,
                                      Effects& effects) -> void {
  for (RecordTable::Record& record : spread_.OnSent(from, message, effects)) {
    if (const auto accepted =
            in_force_.TakeFromPeer(from, std::move(record), effects)) {
      Accept(now, *accepted, RecordOrigin::kPeer, effects);
    }
  }
  if (!caught_up_) {
    digest_at_ = now - settings_.digest_period;
  }
}

auto ConfigurationBook::TakeFromStore(Instant now,
                                      const StoredObject& object,
                                      Effects& effects) -> void {
  if (const auto accepted = in_force_.TakeFromStore(object, effects)) {
    Accept(now, *accepted, RecordOrigin::kStore, effects);
  }
}

auto ConfigurationBook::Accept(Instant now,
                               const AcceptedRecord& accepted,
                               RecordOrigin origin,
                               Effects& effects) -> void {
  pulse_.OnInForce(now, accepted.id);
  spread_.Announce(accepted.id, accepted.urgent, origin, effects);
}

auto ConfigurationBook::ProposeDocument(Instant now,
                                        Document document,
                                        Effects& effects) -> absl::Status {
  const ObjectPath path = DocumentPath(document.team);
  ++document.generation;
  const std::uint64_t generation = document.generation;
  return proposals_.Propose(now, path, WriteRecord(document), generation,
                            effects);
}

}  // namespace zinniastep
