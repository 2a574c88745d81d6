#ifndef LIBZINNIASTEP_MEMBERSHIP_MEMBERSHIP_H_
#define LIBZINNIASTEP_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/member_table.h"
#include "libzinniastep/membership/messages.h"
#include "libzinniastep/membership/update_queue.h"

namespace zinniastep {

// Timing, message sizes and seeds of the membership protocol.
struct MembershipSettings {
  Duration probe_period = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(300);
  // Time from suspicion until a host that did not refute it is lost.
  Duration suspicion = std::chrono::seconds(5);
  // Shortest gap between two calls of OnTime that counts as a pause of this
  // process.
  Duration pause = std::chrono::seconds(1);
  Duration sync_period = std::chrono::seconds(10);
  Duration host_list_period = std::chrono::seconds(10);
  // Used instead of host_list_period after the first read and while no peer is
  // known, because hosts that start together may not be listed yet.
  Duration first_host_list_period = std::chrono::seconds(3);
  // How long the record of a lost host is kept.
  Duration lost_retention = std::chrono::minutes(10);
  // Number of hosts that are asked for an indirect probe of a silent target.
  std::uint32_t indirect_probes = 3;
  // Maximum number of queued records that are piggybacked on one message.
  std::uint32_t records_per_message = 6;
  // Records after which a SyncReply ends, at the end of the bucket.
  std::uint32_t records_per_sync = 64;
  // Rate limit for records in SyncReply messages of one host, with a burst of
  // up to one second's records: about two fifths of a link of 20 Mbit/s.
  double sync_records_per_second = 6000.0;
  // Peer addresses of hosts to join through, as numeric "address:port".
  std::vector<std::string> seeds;
};

// Tracks the live hosts with the SWIM protocol: the probing cost per host does
// not depend on the number of hosts. A host is declared lost only after it was
// suspected for a while and did not refute the suspicion. Changes of the table
// are piggybacked on probes, and comparing digests repairs what they missed.
class Membership {
 public:
  Membership(HostIdentity self,
             MembershipSettings settings,
             std::uint64_t seed);

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const MembershipMessage& message,
                 Effects& effects) -> void;
  auto OnHostList(Instant now, const HostListRead& list) -> void;

  // Announces to some peers that this process shuts down.
  auto Leave(Instant now, Effects& effects) -> void;

  [[nodiscard]] auto self() const -> const HostIdentity& { return self_; }

  // Returns the hosts that are not lost, including this one, ordered by host
  // id. Hosts that announced their shutdown are live until they stop answering.
  [[nodiscard]] auto live_hosts() const -> const std::vector<HostIdentity>& {
    return live_;
  }

  // Returns a number that changes whenever the live hosts or their
  // announcements change.
  [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }

  // Returns the live host with the given incarnation, or none.
  [[nodiscard]] auto FindIncarnation(Incarnation incarnation) const
      -> std::optional<HostIdentity>;

  // Returns a live host, or null.
  [[nodiscard]] auto Find(const HostId& host) const -> const HostIdentity*;

  // Returns whether a live host announced its shutdown.
  [[nodiscard]] auto IsLeaving(const HostId& host) const -> bool;

  // Returns whether the platform's host list marks the host as leaving. This is
  // only a hint, because the list lags and can be wrong.
  [[nodiscard]] auto IsListedLeaving(const HostId& host) const -> bool;

  // Returns whether this process has synchronized its table with a peer, or has
  // given up waiting for one.
  [[nodiscard]] auto joined() const -> bool { return joined_; }

 private:
  struct Probe {
    std::uint64_t sequence = 0;
    HostId target;
    Instant started;
    bool indirect = false;
  };
  struct Suspicion {
    Instant until;
    // The suspect was asked directly.
    bool asked = false;
  };

  auto RunProbes(Instant now, Effects& effects) -> void;
  auto StartProbe(Instant now, Effects& effects) -> void;
  auto SendIndirectProbes(Effects& effects) -> void;
  auto NextTarget() -> std::optional<HostId>;
  auto AskSuspect(const HostId& host, Effects& effects) -> void;
  auto ExpireSuspects(Instant now, Effects& effects) -> void;
  auto ContactNonLiveHosts(Effects& effects) -> void;
  auto StartSync(Instant now, Effects& effects) -> void;
  // Refills the rate limit of sync records and returns how many records the
  // next reply may hold.
  auto RefillSyncBudget(Instant now) -> std::size_t;
  auto DetectPause(Instant now) -> void;

  auto Handle(Instant now,
              const PeerRef& from,
              const Ping& ping,
              Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const Ack& ack,
              Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const PingRequest& request,
              Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const SyncRequest& request,
              Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const SyncReply& reply,
              Effects& effects) -> void;

  auto Merge(Instant now, const MemberRecord& record, Effects& effects) -> void;
  auto MergeAll(Instant now,
                const std::vector<MemberRecord>& records,
                Effects& effects) -> void;
  auto RefuteRecord(const MemberRecord& record, Effects& effects) -> void;
  auto Accept(Instant now, const MemberRecord& record, Effects& effects)
      -> void;
  auto Piggyback(const HostId& receiver) -> std::vector<MemberRecord>;
  auto Suspect(Instant now, const HostId& host, Effects& effects) -> void;
  auto RebuildLive() -> void;
  auto OwnRecord() const -> const MemberRecord&;
  auto SendLimit() const -> std::uint32_t;

  HostIdentity self_;
  MembershipSettings settings_;
  Random random_;
  MemberTable table_;
  UpdateQueue queue_;
  std::map<HostId, Suspicion> suspicions_;
  std::map<HostId, Instant> lost_since_;
  std::vector<HostIdentity> live_;
  bool live_changed_ = true;
  std::uint64_t revision_ = 0;
  std::optional<Probe> probe_;
  std::vector<HostId> targets_;
  std::uint64_t sequence_ = 0;
  std::vector<ListedHost> listed_hosts_;
  std::set<HostId> listed_leaving_hosts_;
  // Current interval between two sync requests.
  Duration sync_interval_{0};
  double sync_budget_ = 0.0;
  Instant sync_budget_updated_;
  std::size_t next_bucket_ = 0;
  bool started_ = false;
  bool joined_ = false;
  Instant start_time_;
  Instant last_time_;
  Instant next_probe_;
  Instant next_sync_;
  Instant next_host_list_;
  // Number of reads of the host list so far.
  std::uint64_t host_list_reads_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_MEMBERSHIP_MEMBERSHIP_H_
