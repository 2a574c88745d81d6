#include "libzinniastep/steward/pool_table.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libzinniastep/assignment/planner.h"
#include "libzinniastep/base/hash.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

constexpr Duration kRebuildPeriod = std::chrono::milliseconds(500);
// Other stewards that a cell's sums go to beside the publisher.
constexpr int kNeighboursTold = 2;
// Digests of the same region between two that may go further.
constexpr std::uint64_t kFarDigest = 8;
constexpr int kDraws = 16;

auto DomainHash(const FailureDomainId& domain) -> std::uint32_t {
  return static_cast<std::uint32_t>(StableHash(domain.text()));
}

auto Add(std::uint16_t& sum, std::uint16_t value) -> void {
  sum = static_cast<std::uint16_t>(std::min(sum + value, 0xffff));
}

auto AddEntry(PoolEntry& sum, const PoolEntry& entry) -> void {
  sum.workload = entry.workload;
  Add(sum.limit, entry.limit);
  Add(sum.running, entry.running);
  Add(sum.queued, entry.queued);
  Add(sum.warm_servers, entry.warm_servers);
  Add(sum.cold_servers, entry.cold_servers);
  sum.first_token_milliseconds =
      std::max(sum.first_token_milliseconds, entry.first_token_milliseconds);
}

auto IsNewer(const DomainReport& a, const DomainReport& b) -> bool {
  return std::pair(a.term, a.count) > std::pair(b.term, b.count);
}

auto Milliseconds(Duration duration) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

PoolTable::PoolTable(const Membership& membership,
                     const Assignment& assignment,
                     const ConfigurationSnapshot& configuration,
                     StewardSettings settings,
                     std::uint64_t seed)
    : membership_(membership),
      assignment_(assignment),
      configuration_(configuration),
      settings_(settings),
      random_(seed) {}

auto PoolTable::OnTime(Instant now, const Steward& steward, Effects& effects)
    -> void {
  if (now >= next_cell_report_) {
    next_cell_report_ = now + settings_.cell_report_period;
    ReportCells(now, steward, effects);
  }
  if (now >= next_publish_) {
    next_publish_ = now + settings_.pool_report_period;
    Publish(now);
  }
  if (now >= next_digest_) {
    next_digest_ = now + settings_.pool_digest_period;
    SendDigest(effects);
  }
  if (now >= next_rebuild_) {
    next_rebuild_ = now + kRebuildPeriod;
    Rebuild(now);
  }
}

auto PoolTable::ReportCells(Instant now,
                            const Steward& steward,
                            Effects& effects) -> void {
  for (const auto& [id, cell] : steward.held().cells()) {
    const CellReport report{id.domain, id.cell, cell.epoch,
                            steward.SumsOf(id, now)};
    std::set<HostId> told;
    if (const std::optional<HostId> publisher = PublisherOf(id.domain)) {
      told.insert(*publisher);
    }
    const std::uint32_t cells = assignment_.CellsOf(id.domain);
    for (int i = 0; i < kNeighboursTold; ++i) {
      const auto other = static_cast<std::uint32_t>(random_.Below(cells));
      if (const auto neighbour = assignment_.StewardOf(id.domain, other)) {
        told.insert(*neighbour);
      }
    }
    for (const HostId& host : told) {
      if (host == membership_.self().host) {
        OnCellReport(now, report);
      } else {
        effects.Do(SendToPeer{host, "", PeerMessage(StewardMessage(report))});
      }
    }
  }
}

auto PoolTable::OnCellReport(Instant now, const CellReport& report) -> void {
  if (report.cell >= assignment_.CellsOf(report.domain)) {
    return;
  }
  cells_[CellId{report.domain, report.cell}] = HeldCellReport{report, now};
}

auto PoolTable::Publish(Instant now) -> void {
  std::erase_if(cells_, [&](const auto& entry) {
    return now - entry.second.arrived >= settings_.cell_report_lifetime;
  });
  for (const FailureDomainId& domain : assignment_.domains()) {
    if (!domain.empty() && PublisherOf(domain) == membership_.self().host) {
      PublishDomain(now, domain);
    }
  }
}

auto PoolTable::PublishDomain(Instant now, const FailureDomainId& domain)
    -> void {
  std::map<std::uint64_t, PoolEntry> sums;
  for (auto it = cells_.lower_bound(CellId{domain, 0});
       it != cells_.end() && it->first.domain == domain; ++it) {
    for (const PoolEntry& entry : it->second.report.entries) {
      AddEntry(sums[entry.workload], entry);
    }
  }
  HeldReport& held = reports_[domain];
  std::vector<PoolEntry> entries;
  entries.reserve(sums.size());
  for (const auto& [hash, entry] : sums) {
    entries.push_back(entry);
  }
  const bool is_fresh = now - held.made < settings_.pool_report_lifetime / 3;
  if (entries == held.report.entries && is_fresh) {
    return;
  }
  // A publisher that follows another goes on counting where that one stopped.
  held.report.domain = domain;
  held.report.term =
      std::max(held.report.term, assignment_.TableOf(domain)->generation);
  ++held.report.count;
  held.report.entries = std::move(entries);
  held.made = now;
}

auto PoolTable::PublisherOf(const FailureDomainId& domain) const
    -> std::optional<HostId> {
  return assignment_.StewardOf(domain, 0);
}

auto PoolTable::SendDigest(Effects& effects) -> void {
  const std::vector<HostIdentity>& live = membership_.live_hosts();
  const bool near = random_.Below(kFarDigest) != 0;
  const HostIdentity* peer = nullptr;
  for (int draw = 0; draw < kDraws && peer == nullptr; ++draw) {
    const HostIdentity& one = live[random_.Below(live.size())];
    const bool fits = !near || one.region == membership_.self().region;
    if (fits && one.host != membership_.self().host) {
      peer = &one;
    }
  }
  if (peer == nullptr) {
    return;
  }
  PoolDigest digest;
  digest.reports.reserve(reports_.size());
  for (const auto& [domain, held] : reports_) {
    digest.reports.push_back(
        {DomainHash(domain), held.report.term, held.report.count});
  }
  effects.Do(SendToPeer{peer->host, peer->peer_address,
                        PeerMessage(StewardMessage(std::move(digest)))});
}

auto PoolTable::OnDigest(Instant now,
                         const PeerRef& from,
                         const PoolDigest& digest,
                         Effects& effects) -> void {
  std::map<std::uint32_t, ReportNumber> theirs;
  for (const ReportNumber& number : digest.reports) {
    theirs[number.domain] = number;
  }
  PoolUpdate update;
  for (const auto& [domain, held] : reports_) {
    const auto it = theirs.find(DomainHash(domain));
    const bool newer =
        it == theirs.end() || std::pair(held.report.term, held.report.count) >
                                  std::pair(it->second.term, it->second.count);
    if (newer && now - held.made < settings_.pool_report_lifetime) {
      update.reports.push_back(held.report);
      update.reports.back().age_milliseconds = Milliseconds(now - held.made);
    }
  }
  if (!update.reports.empty()) {
    effects.Do(SendToPeer{from.host, from.address,
                          PeerMessage(StewardMessage(std::move(update)))});
  }
}

auto PoolTable::OnUpdate(Instant now, const PoolUpdate& update) -> void {
  for (const DomainReport& report : update.reports) {
    const auto it = reports_.find(report.domain);
    if (it != reports_.end() && !IsNewer(report, it->second.report)) {
      continue;
    }
    const Duration age = std::chrono::milliseconds(report.age_milliseconds);
    reports_[report.domain] = HeldReport{report, now - age};
  }
}

auto PoolTable::Rebuild(Instant now) -> void {
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.made >= 2 * settings_.pool_report_lifetime;
  });
  const std::map<std::uint64_t, Workload> workloads = KnownWorkloads();
  pools_.clear();
  for (const auto& [domain, held] : reports_) {
    if (now - held.made >= settings_.pool_report_lifetime) {
      continue;
    }
    for (const PoolEntry& entry : held.report.entries) {
      const auto workload = workloads.find(entry.workload);
      if (workload == workloads.end()) {
        continue;
      }
      PoolSummary pool;
      pool.domain = domain;
      pool.workload = workload->second;
      pool.limit = entry.limit;
      pool.running = entry.running;
      pool.queued = entry.queued;
      pool.warm_servers = entry.warm_servers;
      pool.cold_servers = entry.cold_servers;
      pool.first_token =
          std::chrono::milliseconds(entry.first_token_milliseconds);
      pool.age = now - held.made;
      pools_.push_back(std::move(pool));
    }
  }
}

auto PoolTable::KnownWorkloads() const -> std::map<std::uint64_t, Workload> {
  std::map<std::uint64_t, Workload> workloads;
  for (const auto& [team, document] : configuration_.documents) {
    for (const VersionRule& rule : document.versions) {
      workloads.emplace(WorkloadHash(rule.id), rule.id);
    }
    for (const ServiceRule& rule : document.services) {
      workloads.emplace(WorkloadHash(rule.id), rule.id);
    }
  }
  return workloads;
}

}  // namespace zinniastep
