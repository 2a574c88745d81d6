#ifndef LIBZINNIASTEP_GATEWAY_RECORD_MIRROR_H_
#define LIBZINNIASTEP_GATEWAY_RECORD_MIRROR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/store_position.h"

namespace zinniastep {

// The kinds of objects that the platform's store keeps for the gateway.
enum class RecordKind : std::uint8_t {
  kConfiguration,
  kBackendServers,
  kRollouts,
  kEvacuations,
};
inline constexpr std::size_t kRecordKinds = 4;
inline constexpr std::array<RecordKind, kRecordKinds> kAllRecordKinds = {
    RecordKind::kConfiguration, RecordKind::kBackendServers,
    RecordKind::kRollouts, RecordKind::kEvacuations};

// One object of the store, not yet decoded.
struct StoredRecord {
  std::string name;
  // The store's revision at the object's last change.
  std::uint64_t revision = 0;
  std::string content;
  // The store's era in which the object was last read.
  std::uint64_t era = 0;

  auto operator==(const StoredRecord&) const -> bool = default;

  [[nodiscard]] auto position() const -> StorePosition {
    return {era, revision};
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, revision, content, era);
  }
};

// One change that a watch returns.
struct RecordChange {
  StoredRecord record;
  bool removed = false;
};

// An object whose acknowledged state is kept against a copy from which the
// store was restored.
struct KeptRecord {
  // The acknowledged state. Without content if the object had been removed.
  StoredRecord record;
  bool is_removal = false;
  // Revision of the outdated state that the copy holds, in its own era; zero if
  // the copy lacks the object. The state is kept until the store shows another.
  std::uint64_t against = 0;

  auto operator==(const KeptRecord&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record, is_removal, against);
  }
};

// All objects of a kind at one revision of the store.
struct RecordSnapshot {
  RecordKind kind = RecordKind::kConfiguration;
  StorePosition as_of;
  std::vector<StoredRecord> records;
  // What a peer keeps against a store that was restored from a copy. Empty when
  // the snapshot comes from the store.
  std::vector<KeptRecord> kept = {};

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, as_of, records, kept);
  }
};

// What changed in a kind between two revisions of the store.
struct RecordDelta {
  RecordKind kind = RecordKind::kConfiguration;
  // Applies to a state at `from` or later; leads to the state at `as_of`.
  StorePosition from;
  StorePosition as_of;
  // Hash of all objects at `as_of`, as in a digest.
  std::uint64_t hash = 0;
  std::vector<StoredRecord> records;
  // Names of removed objects.
  std::vector<std::string> removed;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, from, as_of, hash, records, removed);
  }
};

// The result of applying a peer's changes.
enum class DeltaOutcome : std::uint8_t {
  // The delta holds nothing new to this host.
  kUnchanged,
  kChanged,
  // The delta starts after this host's state, or led to a state other than the
  // peer's: the full state is needed.
  kMismatch,
};

// Identifies the state of one kind without its contents.
struct RecordDigest {
  StorePosition as_of;
  std::uint64_t hash = 0;

  auto operator==(const RecordDigest&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(as_of, hash);
  }
};

// Holds the newest known objects of each kind, from the store or from peers.
// The store has one revision counter for all changes of an era, so states of a
// kind are ordered whatever their source, and an older one never replaces a
// newer one. A state of a later era replaces all objects: revisions of two eras
// cannot be compared.
class RecordMirror {
 public:
  // Replaces the state of a kind. Returns whether the contents changed.
  auto Replace(const RecordSnapshot& snapshot) -> bool;

  // Applies a peer's changes.
  auto Apply(const RecordDelta& delta) -> DeltaOutcome;

  // Applies changes of a watch up to a revision. Changes that the mirror
  // already includes, and changes of another era, are skipped. Returns whether
  // the contents changed.
  auto Apply(RecordKind kind,
             StorePosition as_of,
             const std::vector<RecordChange>& changes) -> bool;

  // Returns whether the digest's state is newer than the known one and differs.
  [[nodiscard]] auto IsNewer(RecordKind kind, const RecordDigest& digest) const
      -> bool;

  [[nodiscard]] auto Digest(RecordKind kind) const -> RecordDigest;

  // Returns whether the digest is of an older and different state than the one
  // held.
  [[nodiscard]] auto IsOlder(RecordKind kind, const RecordDigest& digest) const
      -> bool;
  [[nodiscard]] auto Snapshot(RecordKind kind) const -> RecordSnapshot;
  // Returns what changed since a revision, or nullopt when removals since then
  // are no longer stored, or the changes are no smaller than the full state.
  [[nodiscard]] auto ChangesSince(RecordKind kind, StorePosition as_of) const
      -> std::optional<RecordDelta>;
  // Whether any state of the kind is known.
  [[nodiscard]] auto IsKnown(RecordKind kind) const -> bool;
  [[nodiscard]] auto records(RecordKind kind) const
      -> const std::map<std::string, StoredRecord>&;

 private:
  // An object that was missing when the state reached `as_of`.
  struct Removal {
    StorePosition as_of;
    std::string name;
  };
  struct KindState {
    bool known = false;
    StorePosition as_of;
    std::uint64_t hash = 0;
    std::map<std::string, StoredRecord> records;
    // Removals after `removals_since`, oldest first.
    std::deque<Removal> removals;
    StorePosition removals_since;
  };

  static auto Upsert(KindState& kind, const StoredRecord& record) -> bool;
  static auto Remove(KindState& kind,
                     const std::string& name,
                     StorePosition as_of) -> bool;
  [[nodiscard]] auto At(RecordKind kind) const -> const KindState&;

  std::array<KindState, kRecordKinds> kinds_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_MIRROR_H_
