#include "libzinniastep/configuration/region_pulse.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// A child or region that is silent for this time is not counted any longer.
constexpr Duration kReportLifetime = std::chrono::seconds(3);
// How long a state counts as having come into force lately.
constexpr Duration kRecentLifetime = std::chrono::seconds(20);
constexpr std::size_t kMostRecent = 16;
constexpr std::size_t kMostRecentInReport = 24;
// Waves between two reports to a region's second host, which stands in for a
// first one that is lost.
constexpr std::uint64_t kWavesPerStandIn = 4;

auto Send(const HostId& to, ConfigurationMessage message, Effects& effects)
    -> void {
  effects.Do(SendToPeer{to, "", PeerMessage(std::move(message))});
}

}  // namespace

RegionPulse::RegionPulse(const ClusterView& cluster,
                         const ConfigurationSettings& settings,
                         const RecordTable& table,
                         const RegionTree& tree,
                         StampBook& stamps)
    : cluster_(cluster),
      settings_(settings),
      table_(table),
      tree_(tree),
      stamps_(stamps),
      known_hosts_(settings.remember_hosts) {}

auto RegionPulse::OnTime(Instant now, bool serving, Effects& effects) -> void {
  const Duration period =
      tree_.IsRoot() ? settings_.wave_period : settings_.wave_timeout;
  if (now - last_wave_ >= period) {
    StartWave(now, serving, effects);
  }
}

auto RegionPulse::StartWave(Instant now, bool serving, Effects& effects)
    -> void {
  last_wave_ = now;
  ++waves_;
  known_hosts_.Observe(now, cluster_.live_hosts());
  ForgetStrangers();
  if (tree_.IsRoot()) {
    FindMajority(now);
    ReportToRegions(now, serving, effects);
  } else if (!tree_.Parent().empty()) {
    ReportToParent(now, effects);
  }
  const std::uint64_t digest = table_.Digest(RecordScope::kRegion);
  for (const HostId& child : tree_.Children()) {
    Send(child, BeatRelayed{stamps_.For(child, now), Age(now, serving), digest},
         effects);
  }
}

auto RegionPulse::ReportToParent(Instant now, Effects& effects) -> void {
  const SubtreeCount count = Count(now);
  SubtreeReported report;
  report.stamps = stamps_.For(tree_.Parent(), now);
  report.hosts = count.hosts;
  report.same = count.same;
  report.digest = table_.Digest(RecordScope::kRegion);
  report.age = (now - count.oldest).count();
  for (const auto& [state, hosts] : count.recent) {
    if (report.recent.size() < kMostRecentInReport) {
      report.recent.push_back({state.first, state.second, hosts});
    }
  }
  Send(tree_.Parent(), std::move(report), effects);
}

auto RegionPulse::ReportToRegions(Instant now, bool serving, Effects& effects)
    -> void {
  const SubtreeCount count = Count(now);
  const std::uint64_t digest = table_.Digest(RecordScope::kEverywhere);
  for (const auto& [region, hosts] : tree_.other_regions()) {
    const bool stand_in = hosts.size() > 1 && waves_ % kWavesPerStandIn == 0;
    const HostId& to = hosts[stand_in ? 1 : 0];
    Send(to,
         RegionReported{stamps_.For(to, now), Age(now, serving), count.hosts,
                        (now - count.oldest).count(), digest},
         effects);
  }
}

auto RegionPulse::FindMajority(Instant now) -> void {
  std::vector<RegionCount> counts{{now, 1}};
  for (const auto& [host, child] : children_) {
    if (now - child.at <= kReportLifetime) {
      counts.push_back({child.at, child.report.hosts});
    }
  }
  for (const auto& [host, count] : regions_) {
    if (now - count.at <= kReportLifetime) {
      counts.push_back(count);
    }
  }
  std::ranges::sort(counts, std::greater<>(), &RegionCount::at);
  std::size_t hosts = 0;
  for (const RegionCount& count : counts) {
    hosts += count.hosts;
    if (hosts >= known_hosts_.Majority()) {
      OnNews(count.at);
      return;
    }
  }
}

auto RegionPulse::ForgetStrangers() -> void {
  const auto children = tree_.Children();
  std::set<HostId> neighbours(children.begin(), children.end());
  std::erase_if(children_, [&neighbours](const auto& entry) {
    return !neighbours.contains(entry.first);
  });
  std::set<HostId> roots;
  for (const auto& [region, hosts] : tree_.other_regions()) {
    neighbours.insert(hosts.begin(), hosts.end());
    roots.insert(hosts.front());
  }
  std::erase_if(regions_, [&roots](const auto& entry) {
    return !roots.contains(entry.first);
  });
  neighbours.insert(tree_.Parent());
  stamps_.KeepOnly(neighbours);
}

auto RegionPulse::OnBeat(Instant now,
                         const HostId& from,
                         const BeatRelayed& beat,
                         bool serving,
                         Effects& effects) -> std::optional<Instant> {
  const auto sent = stamps_.Receive(from, beat.stamps);
  if (sent && beat.news_age >= 0) {
    OnNews(*sent - Duration(beat.news_age));
  }
  const bool early = now - last_wave_ < settings_.wave_period / 4;
  if (from == tree_.Parent() && !early) {
    StartWave(now, serving, effects);
  }
  return sent;
}

auto RegionPulse::OnSubtree(Instant now,
                            const HostId& from,
                            const SubtreeReported& report) -> void {
  const auto sent = stamps_.Receive(from, report.stamps);
  const auto children = tree_.Children();
  const bool is_child = std::ranges::find(children, from) != children.end();
  if (!sent || !is_child || report.age < 0) {
    return;
  }
  const Instant at = *sent - Duration(report.age);
  if (now - at <= kNewsLimit) {
    children_.insert_or_assign(from, ChildReport{at, report});
  }
}

auto RegionPulse::OnRegion(Instant now,
                           const HostId& from,
                           const RegionReported& report)
    -> std::optional<Instant> {
  const auto sent = stamps_.Receive(from, report.stamps);
  if (!sent || report.age < 0) {
    return std::nullopt;
  }
  if (report.news_age >= 0) {
    OnNews(*sent - Duration(report.news_age));
  }
  const Instant at = *sent - Duration(report.age);
  if (now - at <= kNewsLimit) {
    regions_.insert_or_assign(from, RegionCount{at, report.hosts});
  }
  return sent;
}

auto RegionPulse::OnNews(Instant at) -> void {
  news_at_ = news_at_ ? std::max(*news_at_, at) : at;
}

auto RegionPulse::OnInForce(Instant now, const RecordId& id) -> void {
  std::erase_if(recent_, [&](const RecentRecord& record) {
    return record.id.path == id.path || now - record.since > kRecentLifetime;
  });
  if (recent_.size() >= kMostRecent) {
    recent_.pop_front();
  }
  recent_.push_back({id, now});
}

auto RegionPulse::AddRecent(Instant now, SubtreeCount& count) const -> void {
  for (const RecentRecord& record : recent_) {
    if (now - record.since <= kRecentLifetime) {
      const std::uint64_t path = StableHash(record.id.path.text());
      count.recent[{path, record.id.generation}] += 1;
    }
  }
}

auto RegionPulse::Count(Instant now) const -> SubtreeCount {
  SubtreeCount count{1, 1, now, {}};
  AddRecent(now, count);
  const std::uint64_t digest = table_.Digest(RecordScope::kRegion);
  for (const auto& [host, child] : children_) {
    if (now - child.at > kReportLifetime) {
      continue;
    }
    count.hosts += child.report.hosts;
    count.same += child.report.digest == digest ? child.report.same : 0;
    count.oldest = std::min(count.oldest, child.at);
    for (const RecordCount& recent : child.report.recent) {
      count.recent[{recent.path_hash, recent.generation}] += recent.hosts;
    }
  }
  return count;
}

auto RegionPulse::Age(Instant now, bool serving) const -> NewsAge {
  return serving && news_at_ ? (now - *news_at_).count() : -1;
}

}  // namespace zinniastep
