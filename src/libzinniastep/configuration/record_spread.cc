#include "libzinniastep/configuration/record_spread.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/configuration/record_content.h"

namespace zinniastep {

namespace {

// Content that one message carries before the next one begins, in bytes.
constexpr std::size_t kContentPerMessage = 64U << 10U;
// Objects that this host waits for at the same time.
constexpr std::size_t kMostPulls = 4096;

auto Send(const HostId& to, ConfigurationMessage message, Effects& effects)
    -> void {
  effects.Do(SendToPeer{to, "", PeerMessage(std::move(message))});
}

// Sends contents in messages of bounded size; the failure domain map first,
// since it says where no work may go at all.
auto SendContents(const HostId& to,
                  std::vector<RecordContent> contents,
                  Effects& effects) -> void {
  std::stable_partition(contents.begin(), contents.end(),
                        [](const RecordContent& content) {
                          return content.id.path.text() == kDomainsPath;
                        });
  RecordsSent message;
  std::size_t size = 0;
  for (RecordContent& content : contents) {
    if (size > 0 && size + content.text.size() > kContentPerMessage) {
      Send(to, std::exchange(message, {}), effects);
      size = 0;
    }
    size += content.text.size();
    message.records.push_back(std::move(content));
  }
  if (!message.records.empty()) {
    Send(to, std::move(message), effects);
  }
}

}  // namespace

RecordSpread::RecordSpread(const ConfigurationSettings& settings,
                           const RecordTable& table,
                           const RegionTree& tree,
                           std::uint64_t seed)
    : settings_(settings), table_(table), tree_(tree), random_(seed) {}

auto RecordSpread::RandomPeer() -> HostId {
  const auto& peers = tree_.peers();
  return peers.empty() ? HostId() : peers[random_.Below(peers.size())];
}

auto RecordSpread::Announce(const RecordId& id,
                            bool urgent,
                            RecordOrigin origin,
                            Effects& effects) -> void {
  const RecordsAnnounced message{{id}};
  const std::size_t wanted =
      std::min(urgent ? settings_.urgent_fan_out : settings_.fan_out,
               tree_.peers().size());
  std::set<HostId> receivers;
  while (receivers.size() < wanted) {
    receivers.insert(RandomPeer());
  }
  const bool crosses = origin == RecordOrigin::kStore && tree_.IsRoot() &&
                       RosterDomain(id.path).empty();
  for (const auto& [region, hosts] : tree_.other_regions()) {
    if (crosses) {
      receivers.insert(hosts.front());
    }
    if (crosses && urgent) {
      receivers.insert(hosts.back());
    }
  }
  for (const HostId& receiver : receivers) {
    Send(receiver, message, effects);
  }
}

auto RecordSpread::ShouldPull(Instant now, const RecordId& id) -> bool {
  const RecordTable::Record* held = table_.Find(id.path);
  if (held != nullptr && !IsNewer(id, held->id)) {
    return false;
  }
  std::erase_if(pulls_, [&](const auto& entry) {
    return now - entry.second.at >= settings_.pull_timeout;
  });
  const auto pending = pulls_.find(id.path);
  if (pending != pulls_.end() && !IsNewer(id, pending->second.id)) {
    return false;
  }
  if (pending == pulls_.end() && pulls_.size() >= kMostPulls) {
    return false;
  }
  pulls_.insert_or_assign(id.path, Pull{id, now});
  return true;
}

auto RecordSpread::OnAnnounced(Instant now,
                               const HostId& from,
                               const RecordsAnnounced& message,
                               Effects& effects) -> void {
  RecordsWanted wanted;
  for (const RecordId& id : message.records) {
    if (ShouldPull(now, id)) {
      const RecordTable::Record* held = table_.Find(id.path);
      wanted.records.push_back(
          {id.path, held == nullptr ? 0 : held->id.digest});
    }
  }
  if (!wanted.records.empty()) {
    Send(from, std::move(wanted), effects);
  }
}

auto RecordSpread::OnWanted(const HostId& from,
                            const RecordsWanted& message,
                            Effects& effects) const -> void {
  std::vector<RecordContent> contents;
  for (const WantedRecord& wanted : message.records) {
    const RecordTable::Record* held = table_.Find(wanted.path);
    if (held != nullptr) {
      contents.push_back(table_.Content(*held, wanted.have_digest));
    }
  }
  SendContents(from, std::move(contents), effects);
}

auto RecordSpread::OnBuckets(const HostId& from,
                             RecordScope scope,
                             std::span<const std::uint64_t> buckets,
                             Effects& effects) const -> void {
  const RecordTable::BucketDigests own = table_.Buckets(scope);
  if (buckets.size() != own.size()) {
    return;
  }
  BucketsListed message{scope, {}, {}};
  for (std::size_t i = 0; i < own.size(); ++i) {
    if (own[i] != buckets[i]) {
      message.buckets.push_back(static_cast<std::uint8_t>(i));
    }
  }
  if (!message.buckets.empty()) {
    message.records = table_.List(scope, message.buckets);
    Send(from, std::move(message), effects);
  }
}

auto RecordSpread::OnListed(Instant now,
                            const HostId& from,
                            const BucketsListed& message,
                            Effects& effects) -> void {
  std::map<ObjectPath, RecordId> theirs;
  for (const RecordId& id : message.records) {
    theirs[id.path] = id;
  }
  std::vector<RecordContent> contents;
  for (const RecordId& id : table_.List(message.scope, message.buckets)) {
    const auto their = theirs.find(id.path);
    if (their == theirs.end() || IsNewer(id, their->second)) {
      const std::uint64_t have =
          their == theirs.end() ? 0 : their->second.digest;
      contents.push_back(table_.Content(*table_.Find(id.path), have));
    }
  }
  SendContents(from, std::move(contents), effects);
  OnAnnounced(now, from, RecordsAnnounced{message.records}, effects);
}

auto RecordSpread::Restore(const RecordContent& content) const
    -> std::optional<RecordTable::Record> {
  RecordTable::Record record{content.id, content.text};
  if (content.base_digest != 0) {
    const RecordTable::Record* base = table_.Find(content.id.path);
    if (base == nullptr || base->id.digest != content.base_digest) {
      return std::nullopt;
    }
    record.text = PatchJson(base->text, content.text).value_or("");
  }
  if (StableHash(record.text) != content.id.digest) {
    return std::nullopt;
  }
  return record;
}

auto RecordSpread::OnSent(const HostId& from,
                          const RecordsSent& message,
                          Effects& effects)
    -> std::vector<RecordTable::Record> {
  std::vector<RecordTable::Record> records;
  RecordsWanted whole;
  for (const RecordContent& content : message.records) {
    const RecordTable::Record* held = table_.Find(content.id.path);
    if (held != nullptr && !IsNewer(content.id, held->id)) {
      continue;
    }
    if (auto record = Restore(content)) {
      pulls_.erase(content.id.path);
      records.push_back(std::move(*record));
    } else if (content.base_digest != 0) {
      whole.records.push_back({content.id.path, 0});
    }
  }
  if (!whole.records.empty()) {
    Send(from, std::move(whole), effects);
  }
  return records;
}

}  // namespace zinniastep
