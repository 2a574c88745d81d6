#ifndef TESTS_SUPPORT_GATEWAY_FLEET_H_
#define TESTS_SUPPORT_GATEWAY_FLEET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/gateway_core.h"
#include "libzinniastep/wire/codec.h"

namespace zinniastep::testing {

// Where a fleet's hosts are, and what their links carry.
struct FleetLayout {
  std::size_t hosts = 0;
  // Failure domains, in turn of two regions when there is more than one.
  std::size_t domains = 1;
  // Bytes a second that a host can send, and that all hosts of a region
  // together can send to the other one; zero means any number.
  double host_link = 0.0;
  double region_link = 0.0;
  // One short message in so many is lost; zero means none.
  std::uint64_t lose_one_in = 0;
};

// Gateway hosts in virtual time, with a store and links that a test breaks.
class GatewayFleet {
 public:
  explicit GatewayFleet(std::size_t hosts);
  explicit GatewayFleet(const FleetLayout& layout);

  // Lets time pass in steps of ten milliseconds.
  auto Run(Duration time) -> void;

  // Writes an object into the store, or removes it.
  auto Put(RecordKind kind, const std::string& name, const std::string& content)
      -> void;
  auto Remove(RecordKind kind, const std::string& name) -> void;

  // Begins or ends a compaction of the store: while it goes on, waiting watches
  // hear nothing, and at its end the history is dropped. The watches that
  // waited then hear of no change any more, and end with lost history once
  // their wait is over.
  auto BeginCompaction() -> void { is_compacting_ = true; }
  auto EndCompaction() -> void;
  // The watches that wait now get no answer at all; later ones do.
  auto SilenceWatches() -> void;

  // Notes the store's objects and revision, for a later restore.
  auto TakeCopy() -> void;
  // Restores the store from the copy: later writes are lost, revisions are used
  // again, and the era rises by one. Watches from a revision that the store
  // does not have end with lost history, or stay open if `breaks_watches` is
  // false, as those of a store that does not look back do.
  auto RestoreCopy(bool breaks_watches = true) -> void;
  // Makes the next answers to a host's reads report these eras, one each,
  // instead of the store's.
  auto ReportEras(std::size_t host, std::vector<ReportedEra> eras) -> void;
  // Whether answers report an era at all.
  auto SetReportsEra(bool reports_era) -> void { reports_era_ = reports_era; }
  [[nodiscard]] auto era() const -> std::uint64_t { return era_; }
  // Writes of a host's own entry, by all hosts.
  [[nodiscard]] auto registrations() const -> std::size_t {
    return registrations_;
  }

  // Breaks the store for a host, or all hosts: calls fail at once, or are
  // never answered.
  enum class StoreFault { kNone, kRefusing, kSilent };
  auto SetStoreFault(std::size_t host, StoreFault fault) -> void;
  // Cuts all messages from and to a host.
  auto SetCut(std::size_t host, bool cut) -> void;
  // Cuts all messages between two failure domains.
  auto SetBridgeCut(std::size_t domain, std::size_t other, bool cut) -> void;
  // Stops a host's process for a while. What it is sent meanwhile waits.
  auto SetFrozen(std::size_t host, bool frozen) -> void;
  // Ends a host and starts it anew at once, with nothing.
  auto Restart(std::size_t host) -> void;
  auto Stop(std::size_t host) -> void;

  [[nodiscard]] auto View(std::size_t host) const -> const TrafficView&;
  [[nodiscard]] auto core(std::size_t host) -> GatewayCore&;
  auto Feed(std::size_t host, const std::vector<GatewayAction>& actions)
      -> void;
  [[nodiscard]] auto now() const -> Instant { return now_; }
  // The store's revision.
  [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
  // Calls that all hosts made to the store.
  [[nodiscard]] auto store_calls() const -> std::size_t { return calls_; }
  [[nodiscard]] auto store_calls_of(std::size_t host) const -> std::size_t {
    return hosts_[host].calls;
  }
  // Bytes of messages between hosts, and those that crossed regions.
  [[nodiscard]] auto peer_bytes() const -> double { return peer_bytes_; }
  [[nodiscard]] auto region_bytes() const -> double { return region_bytes_; }
  [[nodiscard]] auto DomainOf(std::size_t host) const -> std::size_t {
    return host % layout_.domains;
  }
  // Reports about prompt parts that a host got from its peers.
  [[nodiscard]] auto crash_reports(std::size_t host) const -> std::size_t {
    return hosts_[host].crash_reports;
  }
  // States written for a roll-out, in order.
  [[nodiscard]] auto states(const std::string& rollout) const
      -> std::vector<RolloutState>;

 private:
  struct Stored {
    std::uint64_t revision = 0;
    std::string content;
  };
  struct Change {
    std::uint64_t revision = 0;
    RecordChange change;
  };
  struct WaitingWatch {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    WatchRecords watch;
    Instant until;
    bool lost = false;
    // The store lost the revision that the watch follows.
    bool gone = false;
    // The history that the watch waits for was dropped.
    bool is_compacted = false;
  };
  struct Letter {
    Instant due;
    std::size_t to = 0;
    PeerRef from;
    PeerMessage message;
  };
  struct Host {
    std::unique_ptr<GatewayCore> core;
    std::shared_ptr<const TrafficView> view;
    StoreFault fault = StoreFault::kNone;
    bool cut = false;
    bool frozen = false;
    std::uint64_t incarnation = 0;
    std::size_t calls = 0;
    // Eras that its next reads report.
    std::deque<ReportedEra> eras;
    std::size_t crash_reports = 0;
    // When its link has sent what it was given.
    Instant link_free;
  };

  auto Start(std::size_t host) -> void;
  auto Deliver() -> void;
  auto AnswerWatches() -> void;
  // What the next answer to the host says about the store's era.
  auto NextEra(std::size_t host) -> ReportedEra;
  auto ChangesAfter(RecordKind kind, std::uint64_t revision) const
      -> std::vector<RecordChange>;
  auto Answer(std::size_t host, RecordKind kind, RecordReadResult result)
      -> void;

  auto Do(std::size_t host, const ListRecords& action) -> void;
  auto Do(std::size_t host, const WatchRecords& action) -> void;
  auto Do(std::size_t host, const RolloutStatusWrite& action) -> void;
  auto Do(std::size_t host, const RegisterHost& action) -> void;
  auto Do(std::size_t host, const ReadHostList& action) -> void;
  auto Do(std::size_t host, const PublishView& action) -> void;
  auto Do(std::size_t host, const DeliverCrashReport& action) -> void;
  auto Do(std::size_t host, const SendToPeer& action) -> void;
  auto Do(std::size_t host, const LogEvent& action) -> void;

  [[nodiscard]] auto IsCut(std::size_t from, std::size_t to) const -> bool;
  // When a message of that many bytes is at its receiver.
  auto Arrival(std::size_t from, std::size_t to, double bytes) -> Instant;

  FleetLayout layout_;
  Codec codec_;
  Random random_;
  std::map<std::string, std::size_t> by_address_;
  std::set<std::pair<std::size_t, std::size_t>> bridge_cuts_;
  std::array<Instant, 2> region_link_free_{};
  double peer_bytes_ = 0.0;
  double region_bytes_ = 0.0;
  Instant now_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 0;
  bool reports_era_ = true;
  bool is_compacting_ = false;
  std::map<RecordKind, std::map<std::string, Stored>> objects_;
  std::map<RecordKind, std::vector<Change>> history_;
  // The first revision from which the history is known.
  std::uint64_t history_from_ = 0;
  // The copy of the store.
  std::uint64_t copied_revision_ = 0;
  std::map<RecordKind, std::map<std::string, Stored>> copied_objects_;
  std::size_t registrations_ = 0;
  std::map<std::string, std::vector<RolloutState>> states_;
  std::vector<WaitingWatch> watches_;
  std::vector<Letter> letters_;
  std::vector<std::function<void()>> later_;
  std::vector<Host> hosts_;
  std::size_t calls_ = 0;
};

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_GATEWAY_FLEET_H_
