#ifndef LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_
#define LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_

#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// Evidence about versions from the answers of this host and of its peers. The
// sum is updated incrementally, so that the cost of a message depends only on
// its own rows.
class EvidencePool {
 public:
  // Adds evidence from this host's own answers since the last call.
  auto AddOwn(const std::vector<VersionRow>& rows) -> void;

  // Stores all evidence from a peer's answers in place of what the same process
  // sent before.
  auto ReplacePeerEvidence(Instant now,
                           Incarnation peer,
                           const std::vector<VersionRow>& rows) -> void;

  // Drops evidence of peers that have sent none for two minutes.
  auto Expire(Instant now) -> void;

  [[nodiscard]] auto own() const -> const VersionEvidence& { return own_; }
  [[nodiscard]] auto all() const -> const VersionEvidence& { return all_; }

 private:
  struct PeerRows {
    Instant received_at;
    std::vector<VersionRow> rows;
  };

  auto SubtractPeer(const PeerRows& peer) -> void;

  VersionEvidence own_;
  VersionEvidence all_;
  std::map<Incarnation, PeerRows> peers_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_EVIDENCE_POOL_H_
