#include "libzinniastep/gateway/record_mirror.h"

#include <algorithm>
#include <string>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

auto RecordMirror::HashOf(const std::map<std::string, StoredRecord>& records)
    -> std::uint64_t {
  std::uint64_t hash = records.size();
  for (const auto& [name, record] : records) {
    hash = StableHash(name, hash + record.revision);
  }
  return hash;
}

auto RecordMirror::At(RecordKind kind) const -> const Kind& {
  return kinds_.at(static_cast<std::size_t>(kind));
}

auto RecordMirror::Replace(const RecordSnapshot& snapshot) -> bool {
  Kind& kind = kinds_.at(static_cast<std::size_t>(snapshot.kind));
  if (kind.known && snapshot.as_of < kind.as_of) {
    return false;
  }
  std::map<std::string, StoredRecord> records;
  for (const StoredRecord& record : snapshot.records) {
    records[record.name] = record;
  }
  const bool changed = !kind.known || records != kind.records;
  kind.known = true;
  kind.as_of = snapshot.as_of;
  kind.records = std::move(records);
  kind.hash = HashOf(kind.records);
  return changed;
}

auto RecordMirror::Apply(RecordKind kind_name,
                         std::uint64_t as_of,
                         const std::vector<RecordChange>& changes) -> bool {
  Kind& kind = kinds_.at(static_cast<std::size_t>(kind_name));
  if (!kind.known || as_of <= kind.as_of) {
    return false;
  }
  bool changed = false;
  for (const RecordChange& change : changes) {
    const auto found = kind.records.find(change.record.name);
    if (change.removed) {
      // A removal carries the revision of the object's last change, so that
      // an object created anew since then stays.
      if (found != kind.records.end() &&
          found->second.revision <= change.record.revision) {
        kind.records.erase(found);
        changed = true;
      }
      continue;
    }
    if (found == kind.records.end() ||
        found->second.revision < change.record.revision) {
      kind.records[change.record.name] = change.record;
      changed = true;
    }
  }
  kind.as_of = as_of;
  kind.hash = HashOf(kind.records);
  return changed;
}

auto RecordMirror::IsNewer(RecordKind kind_name,
                           const RecordDigest& digest) const -> bool {
  const Kind& kind = At(kind_name);
  return digest.as_of > 0 && (!kind.known || (digest.as_of > kind.as_of &&
                                              digest.hash != kind.hash));
}

auto RecordMirror::Digest(RecordKind kind_name) const -> RecordDigest {
  const Kind& kind = At(kind_name);
  return {kind.known ? kind.as_of : 0, kind.hash};
}

auto RecordMirror::Snapshot(RecordKind kind_name) const -> RecordSnapshot {
  const Kind& kind = At(kind_name);
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
