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

// How often hosts are probed and how long they are waited for.
struct MembershipSettings {
  Duration probe_period = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(300);
  Duration suspicion = std::chrono::seconds(5);
  // A gap between two calls of OnTime that counts as a pause of this process.
  Duration pause = std::chrono::seconds(1);
  Duration sync_period = std::chrono::seconds(10);
  Duration host_list_period = std::chrono::seconds(10);
  // The list is read again after this time while no peer is known, and once
  // after the start: hosts that start together may not be in it yet.
  Duration first_host_list_period = std::chrono::seconds(3);
  // How long a lost host is remembered.
  Duration forget_lost = std::chrono::minutes(10);
  // Hosts that are asked to probe in this host's place.
  std::uint32_t indirect_probes = 3;
  // Records that travel with one probe.
  std::uint32_t records_per_message = 6;
  // Records that one SyncReply holds, up to the end of a bucket.
  std::uint32_t records_per_sync = 64;
  // Records that one host sends in a second, after some that it saved up in as
  // long: about two fifths of a link of 20 Mbit/s.
  double sync_records_per_second = 6000.0;
  // Numeric "address:port" of hosts to join through.
  std::vector<std::string> seeds;
};

// Which hosts live, found by probing at a cost that does not depend on the
// number of hosts (SWIM). A host is lost only after it was suspected for a
// while and did not contradict. The table of all hosts is spread with the
// probes and repaired by comparing digests.
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

  // Announces that this process shuts down.
  auto Leave(Instant now, Effects& effects) -> void;

  [[nodiscard]] auto self() const -> const HostIdentity& { return self_; }

  // Returns the hosts believed to be live, this one included, by host id.
  // Hosts that announced their shutdown are live until they stop answering.
  [[nodiscard]] auto live_hosts() const -> const std::vector<HostIdentity>& {
    return live_;
  }

  // Returns a number that changes whenever the live hosts or their
  // announcements change.
  [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }

  // Returns the live host that runs under an incarnation.
  [[nodiscard]] auto FindIncarnation(Incarnation incarnation) const
      -> std::optional<HostIdentity>;

  // Returns a live host, or null.
  [[nodiscard]] auto Find(const HostId& host) const -> const HostIdentity*;

  // Returns whether a live host announced its shutdown.
  [[nodiscard]] auto IsLeaving(const HostId& host) const -> bool;

  // Returns whether the platform's host list names the host as leaving. The
  // list lags and can be wrong, so that this is a hint only.
  [[nodiscard]] auto IsListedLeaving(const HostId& host) const -> bool;

  // Returns whether this process has taken over a peer's table, or found no
  // peer for a while.
  [[nodiscard]] auto joined() const -> bool { return joined_; }

 private:
  struct Probe {
    std::uint64_t sequence = 0;
    HostId target;
    Instant started;
    bool indirect = false;
  };

  auto Probing(Instant now, Effects& effects) -> void;
  auto StartProbe(Instant now, Effects& effects) -> void;
  auto AskOthersToProbe(Effects& effects) -> void;
  auto NextTarget() -> std::optional<HostId>;
  auto ExpireSuspects(Instant now, Effects& effects) -> void;
  auto ContactStrangers(Effects& effects) -> void;
  auto StartSync(Instant now, Effects& effects) -> void;
  // Returns how many records may go into a reply now.
  auto TakeSyncRecords(Instant now) -> std::size_t;
  auto NoticePause(Instant now) -> void;

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
  auto ContradictOwn(const MemberRecord& record, Effects& effects) -> void;
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
  std::map<HostId, Instant> suspected_until_;
  std::map<HostId, Instant> lost_since_;
  std::vector<HostIdentity> live_;
  bool live_changed_ = true;
  std::uint64_t revision_ = 0;
  std::optional<Probe> probe_;
  std::vector<HostId> targets_;
  std::uint64_t sequence_ = 0;
  std::vector<ListedHost> listed_;
  std::set<HostId> listed_leaving_;
  // Time between two comparisons of tables.
  Duration sync_pause_{0};
  double sync_records_ = 0.0;
  Instant sync_records_at_;
  std::size_t next_bucket_ = 0;
  bool started_ = false;
  bool joined_ = false;
  Instant first_time_;
  Instant last_time_;
  Instant next_probe_;
  Instant next_sync_;
  Instant next_host_list_;
  // Reads of the host list so far.
  std::uint64_t host_lists_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_MEMBERSHIP_MEMBERSHIP_H_
