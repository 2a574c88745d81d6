#ifndef LIBZINNIASTEP_GATEWAY_KEPT_RECORDS_H_
#define LIBZINNIASTEP_GATEWAY_KEPT_RECORDS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// Keeps the operators' objects as they were acknowledged when the store returns
// from a copy that lacks them, shows an older state or undoes a removal. Each
// is kept until the store shows another state of it. BackendRoster does the
// same for backend servers.
class KeptRecords {
 public:
  using Records = std::map<std::string, StoredRecord>;
  // Returns the version of a configuration, or nullopt if it is unreadable.
  using ConfigurationVersion =
      std::function<std::optional<std::uint64_t>(const StoredRecord&)>;

  explicit KeptRecords(ConfigurationVersion version);

  // Takes the store's current objects of a kind, and logs what is kept and what
  // is released. Returns whether they are of a later era than the objects
  // before.
  auto Update(Instant now,
              RecordKind kind,
              StorePosition as_of,
              const Records& shown,
              GatewayOutbox& outbox) -> bool;

  // An object was removed in the store's current era. Returns whether a state
  // of it had been kept.
  auto OnRemoved(RecordKind kind, const std::string& name) -> bool;

  // A peer keeps this against the state that this host takes over from it. It
  // takes effect with the next Update. Returns whether there is anything.
  auto Offer(RecordKind kind, const std::vector<KeptRecord>& kept) -> bool;

  [[nodiscard]] auto kept(RecordKind kind) const -> std::vector<KeptRecord>;

  // Returns the objects in effect.
  [[nodiscard]] auto Effective(RecordKind kind) const -> Records;
  // Returns the objects that the store shows, without those whose removal is
  // kept.
  [[nodiscard]] auto Shown(RecordKind kind) const -> Records;

 private:
  // A state that was replaced or removed in the store.
  struct Replaced {
    Instant at;
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t content_hash = 0;
  };
  struct KindState {
    bool known = false;
    std::uint64_t era = 0;
    Records shown;
    std::map<std::string, KeptRecord> kept;
    // What a peer keeps, until the next update.
    std::vector<KeptRecord> offered;
    // Oldest first.
    std::deque<Replaced> replaced;
  };

  static auto RememberReplaced(Instant now,
                               KindState& kind,
                               const Records& shown) -> void;
  static auto TakeOffered(KindState& kind) -> void;
  [[nodiscard]] static auto WasReplaced(const KindState& kind,
                                        const StoredRecord& record) -> bool;
  // Whether the acknowledged state is a newer one than the state shown.
  [[nodiscard]] auto IsNewer(RecordKind name,
                             const StoredRecord& acknowledged,
                             const StoredRecord& shown) const -> bool;
  auto KeepAgainst(RecordKind name, KindState& kind, const Records& shown)
      -> void;
  auto ReleaseRewritten(RecordKind name, KindState& kind, const Records& shown)
      -> void;
  [[nodiscard]] auto At(RecordKind kind) const -> const KindState&;

  ConfigurationVersion version_;
  std::array<KindState, kRecordKinds> kinds_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_KEPT_RECORDS_H_
