#include "libzinniastep/gateway/kept_records.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// How long replaced states are remembered, and how many of a kind. A restored
// copy is some seconds old.
constexpr Duration kReplacedMemory = std::chrono::minutes(2);
constexpr std::size_t kMaxReplaced = 1024;

auto LogKept(GatewayOutbox& outbox,
             std::string event,
             RecordKind kind,
             const KeptRecord& kept) -> void {
  outbox.Log(std::move(event),
             {{"kind", std::to_string(static_cast<int>(kind))},
              {"name", kept.record.name},
              {"position", kept.record.position().text()},
              {"removal", kept.is_removal ? "yes" : "no"},
              {"against", std::to_string(kept.against)}});
}

}  // namespace

KeptRecords::KeptRecords(ConfigurationVersion version)
    : version_(std::move(version)) {}

auto KeptRecords::At(RecordKind kind) const -> const KindState& {
  return kinds_.at(static_cast<std::size_t>(kind));
}

auto KeptRecords::Update(Instant now,
                         RecordKind name,
                         StorePosition as_of,
                         const Records& shown,
                         GatewayOutbox& outbox) -> bool {
  KindState& kind = kinds_.at(static_cast<std::size_t>(name));
  const bool is_restored = kind.known && as_of.era > kind.era;
  kind.known = true;
  kind.era = as_of.era;
  if (name == RecordKind::kBackendServers) {
    return is_restored;
  }
  const auto before = kind.kept;
  if (is_restored) {
    KeepAgainst(name, kind, shown);
    TakeOffered(kind);
  } else {
    RememberReplaced(now, kind, shown);
    TakeOffered(kind);
    ReleaseRewritten(name, kind, shown);
  }
  kind.shown = shown;
  for (const auto& [record, kept] : kind.kept) {
    if (!before.contains(record)) {
      LogKept(outbox, "restored_record_kept", name, kept);
    }
  }
  for (const auto& [record, kept] : before) {
    if (!kind.kept.contains(record)) {
      LogKept(outbox, "restored_record_released", name, kept);
    }
  }
  return is_restored;
}

auto KeptRecords::RememberReplaced(Instant now,
                                   KindState& kind,
                                   const Records& shown) -> void {
  for (const auto& [name, record] : kind.shown) {
    const auto found = shown.find(name);
    if (found == shown.end() || found->second.revision != record.revision) {
      kind.replaced.push_back(
          {now, name, record.revision, StableHash(record.content)});
    }
  }
  while (!kind.replaced.empty() &&
         (kind.replaced.size() > kMaxReplaced ||
          now - kind.replaced.front().at > kReplacedMemory)) {
    kind.replaced.pop_front();
  }
}

auto KeptRecords::WasReplaced(const KindState& kind, const StoredRecord& record)
    -> bool {
  const std::uint64_t hash = StableHash(record.content);
  return std::ranges::any_of(kind.replaced, [&](const Replaced& replaced) {
    return replaced.name == record.name &&
           replaced.revision == record.revision &&
           replaced.content_hash == hash;
  });
}

auto KeptRecords::IsNewer(RecordKind name,
                          const StoredRecord& acknowledged,
                          const StoredRecord& shown) const -> bool {
  return name == RecordKind::kConfiguration &&
         version_(acknowledged) > version_(shown);
}

// Only the first state of an era is compared with the remembered ones: a state
// that is written later is the operators' wish, even if its revision and
// content were used before.
auto KeptRecords::KeepAgainst(RecordKind name,
                              KindState& kind,
                              const Records& shown) -> void {
  const Records acknowledged = Effective(name);
  kind.kept.clear();
  for (const auto& [record, state] : acknowledged) {
    const auto found = shown.find(record);
    if (found == shown.end()) {
      kind.kept[record] = {state, false, 0};
      continue;
    }
    const StoredRecord& copy = found->second;
    const bool is_same =
        copy.revision == state.revision && copy.content == state.content;
    if (!is_same && (IsNewer(name, state, copy) || WasReplaced(kind, copy))) {
      kind.kept[record] = {state, false, copy.revision};
    }
  }
  for (const auto& [record, copy] : shown) {
    if (!acknowledged.contains(record) && WasReplaced(kind, copy)) {
      kind.kept[record] = {copy, true, copy.revision};
    }
  }
}

auto KeptRecords::ReleaseRewritten(RecordKind name,
                                   KindState& kind,
                                   const Records& shown) -> void {
  for (auto item = kind.kept.begin(); item != kind.kept.end();) {
    KeptRecord& kept = item->second;
    const auto found = shown.find(item->first);
    const std::uint64_t revision =
        found == shown.end() ? 0 : found->second.revision;
    if (revision != 0 && revision != kept.against && !kept.is_removal &&
        IsNewer(name, kept.record, found->second)) {
      kept.against = revision;
    }
    item = revision == kept.against ? std::next(item) : kind.kept.erase(item);
  }
}

auto KeptRecords::OnRemoved(RecordKind kind, const std::string& name) -> bool {
  return kinds_.at(static_cast<std::size_t>(kind)).kept.erase(name) > 0;
}

auto KeptRecords::Offer(RecordKind name, const std::vector<KeptRecord>& kept)
    -> bool {
  kinds_.at(static_cast<std::size_t>(name)).offered = kept;
  return !kept.empty();
}

auto KeptRecords::TakeOffered(KindState& kind) -> void {
  for (KeptRecord& offered : kind.offered) {
    const auto [found, is_new] =
        kind.kept.try_emplace(offered.record.name, offered);
    const KeptRecord& own = found->second;
    // Of two hosts that knew different states, the one that saw the removal
    // knew more.
    const bool is_newer =
        std::pair(own.record.position(), own.is_removal) <
        std::pair(offered.record.position(), offered.is_removal);
    if (!is_new && is_newer) {
      found->second = std::move(offered);
    }
  }
  kind.offered.clear();
}

auto KeptRecords::kept(RecordKind kind) const -> std::vector<KeptRecord> {
  std::vector<KeptRecord> all;
  for (const auto& [name, kept] : At(kind).kept) {
    all.push_back(kept);
  }
  return all;
}

auto KeptRecords::Effective(RecordKind kind) const -> Records {
  Records records = Shown(kind);
  for (const auto& [name, kept] : At(kind).kept) {
    if (!kept.is_removal) {
      records.insert_or_assign(name, kept.record);
    }
  }
  return records;
}

auto KeptRecords::Shown(RecordKind kind) const -> Records {
  Records records = At(kind).shown;
  for (const auto& [name, kept] : At(kind).kept) {
    if (kept.is_removal) {
      records.erase(name);
    }
  }
  return records;
}

}  // namespace zinniastep
