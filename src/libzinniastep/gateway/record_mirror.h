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

namespace zinniastep {

// What the platform's store keeps for the gateway.
enum class RecordKind : std::uint8_t {
  kConfiguration,
  kBackendServers,
  kRollouts,
  kEvacuations,
};
inline constexpr std::size_t kRecordKinds = 4;

// One object of the store, undecoded.
struct StoredRecord {
  std::string name;
  // The store's revision at the object's last change.
  std::uint64_t revision = 0;
  std::string content;

  auto operator==(const StoredRecord&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, revision, content);
  }
};

// One change that a watch tells.
struct RecordChange {
  StoredRecord record;
  bool removed = false;
};

// All objects of a kind at one revision of the store.
struct RecordSnapshot {
  RecordKind kind = RecordKind::kConfiguration;
  std::uint64_t as_of = 0;
  std::vector<StoredRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, as_of, records);
  }
};

// What changed in a kind between two revisions of the store.
struct RecordDelta {
  RecordKind kind = RecordKind::kConfiguration;
  // The change leads from any state at `from` or later to the one at `as_of`.
  std::uint64_t from = 0;
  std::uint64_t as_of = 0;
  // Of all objects at `as_of`, as in a digest.
  std::uint64_t hash = 0;
  std::vector<StoredRecord> records;
  // Names of objects that are gone.
  std::vector<std::string> removed;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(kind, from, as_of, hash, records, removed);
  }
};

// What became of a change that a peer told.
enum class DeltaOutcome : std::uint8_t {
  // It holds nothing that this host does not know.
  kKnown,
  kChanged,
  // It does not follow on what this host knows, or leads to another state than
  // the peer's: a whole state is needed.
  kUnfit,
};

// Names the state of one kind without its contents.
struct RecordDigest {
  std::uint64_t as_of = 0;
  std::uint64_t hash = 0;

  auto operator==(const RecordDigest&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(as_of, hash);
  }
};

// The newest known objects of each kind, from the store or from peers. The
// store has one counter for all its changes, so that states of a kind are
// ordered wherever they come from, and an older one never replaces a newer.
class RecordMirror {
 public:
  // Takes a whole state. Returns whether the contents changed.
  auto Replace(const RecordSnapshot& snapshot) -> bool;

  // Takes a peer's changes.
  auto Apply(const RecordDelta& delta) -> DeltaOutcome;

  // Takes changes of a watch up to a revision. Changes that the mirror has
  // already passed are skipped. Returns whether the contents changed.
  auto Apply(RecordKind kind,
             std::uint64_t as_of,
             const std::vector<RecordChange>& changes) -> bool;

  // Returns whether a state differs from the known one and is newer.
  [[nodiscard]] auto IsNewer(RecordKind kind, const RecordDigest& digest) const
      -> bool;

  [[nodiscard]] auto Digest(RecordKind kind) const -> RecordDigest;
  [[nodiscard]] auto Snapshot(RecordKind kind) const -> RecordSnapshot;
  // Returns what changed since a revision, or nothing when that is too long ago
  // to tell, or not less than the whole state.
  [[nodiscard]] auto ChangesSince(RecordKind kind, std::uint64_t as_of) const
      -> std::optional<RecordDelta>;
  // Whether any state of the kind is known.
  [[nodiscard]] auto IsKnown(RecordKind kind) const -> bool;
  [[nodiscard]] auto records(RecordKind kind) const
      -> const std::map<std::string, StoredRecord>&;

 private:
  // An object that was found gone when the state reached a revision.
  struct Removal {
    std::uint64_t as_of = 0;
    std::string name;
  };
  struct Kind {
    bool known = false;
    std::uint64_t as_of = 0;
    std::uint64_t hash = 0;
    std::map<std::string, StoredRecord> records;
    // Removals after a revision, oldest first.
    std::deque<Removal> removals;
    std::uint64_t removals_from = 0;
  };

  static auto Put(Kind& kind, const StoredRecord& record) -> bool;
  static auto Remove(Kind& kind, const std::string& name, std::uint64_t as_of)
      -> bool;
  [[nodiscard]] auto At(RecordKind kind) const -> const Kind&;

  std::array<Kind, kRecordKinds> kinds_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_MIRROR_H_
