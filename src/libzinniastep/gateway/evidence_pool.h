#ifndef LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_
#define LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_

#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// What the answers of this host and of its peers have shown of versions. The
// sum is kept, so that a message costs no more than its own rows.
class EvidencePool {
 public:
  // Adds what this host's own answers have shown since the last call.
  auto AddOwn(const std::vector<VersionRow>& rows) -> void;

  // Takes all that a peer's answers have shown; it replaces what that process
  // told before.
  auto TakePeers(Instant now,
                 Incarnation peer,
                 const std::vector<VersionRow>& rows) -> void;

  // Drops evidence of peers that have been silent for long.
  auto Expire(Instant now) -> void;

  [[nodiscard]] auto own() const -> const VersionEvidence& { return own_; }
  [[nodiscard]] auto all() const -> const VersionEvidence& { return all_; }

 private:
  struct PeerRows {
    Instant told_at;
    std::vector<VersionRow> rows;
  };

  auto Forget(const PeerRows& peer) -> void;

  VersionEvidence own_;
  VersionEvidence all_;
  std::map<Incarnation, PeerRows> peers_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_
