#include "libzinniastep/gateway/record_mirror.h"

#include <set>
#include <string>
#include <string_view>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// Removals that are stored per kind; a host that is further behind gets the
// full state.
constexpr std::size_t kMaxStoredRemovals = 4096;

auto HashOf(const StoredRecord& record) -> std::uint64_t {
  return StableHash(record.name, record.revision);
}

}  // namespace

auto RecordMirror::At(RecordKind kind) const -> const KindState& {
  return kinds_.at(static_cast<std::size_t>(kind));
}

// The hash of a state is the XOR of its objects' hashes, so that the cost of an
// update depends only on the objects that it changes.
auto RecordMirror::Upsert(KindState& kind, const StoredRecord& record) -> bool {
  const auto [found, is_new] = kind.records.try_emplace(record.name, record);
  if (!is_new) {
    if (found->second.revision >= record.revision) {
      return false;
    }
    kind.hash ^= HashOf(found->second);
    found->second = record;
  }
  found->second.era = kind.as_of.era;
  kind.hash ^= HashOf(record);
  return true;
}

auto RecordMirror::Remove(KindState& kind,
                          const std::string& name,
                          StorePosition as_of) -> bool {
  const auto found = kind.records.find(name);
  if (found == kind.records.end()) {
    return false;
  }
  kind.hash ^= HashOf(found->second);
  kind.records.erase(found);
  kind.removals.push_back({as_of, name});
  if (kind.removals.size() > kMaxStoredRemovals) {
    kind.removals_since = kind.removals.front().as_of;
    kind.removals.pop_front();
  }
  return true;
}

auto RecordMirror::Replace(const RecordSnapshot& snapshot) -> bool {
  KindState& kind = kinds_.at(static_cast<std::size_t>(snapshot.kind));
  if (kind.known && snapshot.as_of < kind.as_of) {
    return false;
  }
  bool changed = !kind.known;
  if (!kind.known) {
    kind.known = true;
    kind.removals_since = snapshot.as_of;
  }
  if (snapshot.as_of.era > kind.as_of.era) {
    kind.records.clear();
    kind.removals.clear();
    kind.hash = 0;
    kind.removals_since = snapshot.as_of;
    changed = true;
  }
  kind.as_of = snapshot.as_of;
  std::set<std::string_view> listed;
  for (const StoredRecord& record : snapshot.records) {
    listed.insert(record.name);
    changed = Upsert(kind, record) || changed;
  }
  std::vector<std::string> unlisted;
  for (const auto& [name, record] : kind.records) {
    if (!listed.contains(name)) {
      unlisted.push_back(name);
    }
  }
  for (const std::string& name : unlisted) {
    changed = Remove(kind, name, kind.as_of) || changed;
  }
  return changed;
}

auto RecordMirror::Apply(RecordKind kind_name,
                         StorePosition as_of,
                         const std::vector<RecordChange>& changes) -> bool {
  KindState& kind = kinds_.at(static_cast<std::size_t>(kind_name));
  if (!kind.known || as_of <= kind.as_of || as_of.era != kind.as_of.era) {
    return false;
  }
  kind.as_of = as_of;
  bool changed = false;
  for (const RecordChange& change : changes) {
    if (!change.removed) {
      changed = Upsert(kind, change.record) || changed;
      continue;
    }
    // A removal carries the revision of the object's last change, so that an
    // object that was created again since then stays.
    const auto found = kind.records.find(change.record.name);
    if (found != kind.records.end() &&
        found->second.revision <= change.record.revision) {
      changed = Remove(kind, change.record.name, as_of) || changed;
    }
  }
  return changed;
}

auto RecordMirror::Apply(const RecordDelta& delta) -> DeltaOutcome {
  KindState& kind = kinds_.at(static_cast<std::size_t>(delta.kind));
  if (!kind.known || kind.as_of < delta.from) {
    return DeltaOutcome::kMismatch;
  }
  if (kind.as_of >= delta.as_of) {
    return DeltaOutcome::kUnchanged;
  }
  if (kind.as_of.era != delta.as_of.era) {
    return DeltaOutcome::kMismatch;
  }
  kind.as_of = delta.as_of;
  bool changed = false;
  for (const std::string& name : delta.removed) {
    changed = Remove(kind, name, delta.as_of) || changed;
  }
  for (const StoredRecord& record : delta.records) {
    changed = Upsert(kind, record) || changed;
  }
  if (kind.hash != delta.hash) {
    return DeltaOutcome::kMismatch;
  }
  return changed ? DeltaOutcome::kChanged : DeltaOutcome::kUnchanged;
}

auto RecordMirror::ChangesSince(RecordKind kind_name, StorePosition as_of) const
    -> std::optional<RecordDelta> {
  const KindState& kind = At(kind_name);
  if (!kind.known || as_of < kind.removals_since || as_of >= kind.as_of ||
      as_of.era != kind.as_of.era) {
    return std::nullopt;
  }
  RecordDelta delta{kind_name, as_of, kind.as_of, kind.hash, {}, {}};
  for (const auto& [name, record] : kind.records) {
    if (record.position() > as_of) {
      delta.records.push_back(record);
    }
  }
  for (const Removal& removal : kind.removals) {
    if (removal.as_of > as_of && !kind.records.contains(removal.name)) {
      delta.removed.push_back(removal.name);
    }
  }
  if (delta.records.size() >= kind.records.size()) {
    return std::nullopt;
  }
  return delta;
}

auto RecordMirror::IsNewer(RecordKind kind_name,
                           const RecordDigest& digest) const -> bool {
  const KindState& kind = At(kind_name);
  // Revisions that are used again may lead to the same hash.
  return digest.as_of > StorePosition() &&
         (!kind.known || digest.as_of.era > kind.as_of.era ||
          (digest.as_of > kind.as_of && digest.hash != kind.hash));
}

auto RecordMirror::IsOlder(RecordKind kind_name,
                           const RecordDigest& digest) const -> bool {
  const KindState& kind = At(kind_name);
  return kind.known && digest.as_of > StorePosition() &&
         (digest.as_of.era < kind.as_of.era ||
          (digest.as_of < kind.as_of && digest.hash != kind.hash));
}

auto RecordMirror::Digest(RecordKind kind_name) const -> RecordDigest {
  const KindState& kind = At(kind_name);
  return {kind.known ? kind.as_of : StorePosition(), kind.hash};
}

auto RecordMirror::Snapshot(RecordKind kind_name) const -> RecordSnapshot {
  const KindState& kind = At(kind_name);
  RecordSnapshot snapshot{kind_name, kind.as_of, {}};
  for (const auto& [name, record] : kind.records) {
    snapshot.records.push_back(record);
  }
  return snapshot;
}

auto RecordMirror::IsKnown(RecordKind kind) const -> bool {
  return At(kind).known;
}

auto RecordMirror::records(RecordKind kind) const
    -> const std::map<std::string, StoredRecord>& {
  return At(kind).records;
}

}  // namespace zinniastep
