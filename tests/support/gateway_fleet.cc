#include "tests/support/gateway_fleet.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kLinkDelay = std::chrono::milliseconds(5);
// Longer messages go over connections, which lose nothing.
constexpr std::size_t kDatagram = 1400;

auto Address(std::size_t host) -> std::string {
  return "127.0.0.1:" + std::to_string(1000 + host);
}

auto DomainName(std::size_t domain) -> FailureDomainId {
  return FailureDomainId(domain == 0 ? "north" : "d" + std::to_string(domain));
}

auto RegionName(std::size_t domain) -> RegionId {
  return RegionId(domain % 2 == 0 ? "here" : "there");
}

auto Settings(std::size_t host, std::size_t domains) -> GatewaySettings {
  GatewaySettings settings;
  settings.host = HostId("h" + std::to_string(host));
  settings.domain = DomainName(host % domains);
  settings.region = RegionName(host % domains);
  for (std::size_t domain = 0; domain < domains; ++domain) {
    settings.regions.emplace_back(DomainName(domain), RegionName(domain));
  }
  settings.peer_address = Address(host);
  settings.caller_address = "127.0.0.1:" + std::to_string(5000 + host);
  settings.seeds = {Address(0), Address(1)};
  settings.leaving_time = std::chrono::milliseconds(2500);
  settings.configuration_time = std::chrono::milliseconds(2500);
  settings.rollback_time = std::chrono::seconds(5);
  settings.evacuation_time = std::chrono::seconds(5);
  return settings;
}

// Contents in these tests: a version for configurations, "DOMAIN VERSION" or
// "draining" for backend servers, a target version for roll-outs.
auto Decoders() -> RecordDecoders {
  RecordDecoders decoders;
  decoders.policy = [](const StoredRecord& record)
      -> absl::StatusOr<std::shared_ptr<const TrafficPolicy>> {
    if (record.content.empty()) {
      return absl::InvalidArgumentError("empty");
    }
    return std::make_shared<const TrafficPolicy>(
        std::stoull(record.content), std::vector<ForwardingRoute>(),
        std::vector<ForwardingService>(), CallerAccess(OpenAccess()),
        CallerLimits());
  };
  decoders.backend =
      [](const StoredRecord& record) -> absl::StatusOr<BackendEntry> {
    if (record.content.empty()) {
      return absl::InvalidArgumentError("empty");
    }
    BackendEntry entry = Backend(record.name);
    // A number after the version is the announcement's; otherwise each write
    // is a later one.
    const std::size_t space = record.content.find(' ');
    const bool is_numbered = space != std::string::npos &&
                             space + 1 < record.content.size() &&
                             record.content[space + 1] != ' ';
    entry.sequence = is_numbered ? std::stoull(record.content.substr(space + 1))
                                 : record.revision;
    entry.draining = record.content.starts_with("draining");
    // Blanks make an entry as long as a real one.
    entry.version = entry.draining
                        ? "v1"
                        : record.content.substr(0, record.content.find(' '));
    return entry;
  };
  decoders.rollout =
      [](const StoredRecord& record) -> absl::StatusOr<RolloutRecord> {
    RolloutRecord rollout;
    rollout.name = record.name;
    rollout.revision = record.revision;
    // "TARGET", "TARGET CREATED" or "TARGET CREATED STATE".
    std::istringstream words(record.content);
    std::string target;
    std::string state;
    words >> target;
    if (!(words >> rollout.created)) {
      rollout.created = 7;
    }
    words >> state;
    rollout.order = {ServiceId("pool"), target, std::chrono::seconds(20)};
    if (!state.empty()) {
      rollout.state = static_cast<RolloutState>(std::stoi(state));
      rollout.state_target = target;
    }
    return rollout;
  };
  decoders.evacuation =
      [](const StoredRecord& record) -> absl::StatusOr<FailureDomainId> {
    return FailureDomainId(record.name);
  };
  return decoders;
}

}  // namespace

GatewayFleet::GatewayFleet(std::size_t hosts)
    : GatewayFleet(FleetLayout{.hosts = hosts}) {}

GatewayFleet::GatewayFleet(const FleetLayout& layout)
    : layout_(layout),
      codec_({"key"}),
      random_(1),
      now_(At(0)),
      hosts_(layout.hosts) {
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    by_address_[Address(host)] = host;
    Start(host);
  }
}

auto GatewayFleet::Start(std::size_t host) -> void {
  Host& started = hosts_[host];
  started.incarnation += 1;
  const GatewaySettings settings = Settings(host, layout_.domains);
  const Incarnation incarnation = started.incarnation * 100 + host + 1;
  started.core = std::make_unique<GatewayCore>(
      HostIdentity{settings.host, incarnation, settings.peer_address,
                   settings.caller_address, settings.domain, settings.region},
      settings, Decoders(), incarnation);
  started.view = std::make_shared<TrafficView>();
}

auto GatewayFleet::Restart(std::size_t host) -> void {
  Start(host);
}

auto GatewayFleet::Stop(std::size_t host) -> void {
  hosts_[host].core.reset();
}

auto GatewayFleet::SetStoreFault(std::size_t host, StoreFault fault) -> void {
  hosts_[host].fault = fault;
}

auto GatewayFleet::SetCut(std::size_t host, bool cut) -> void {
  hosts_[host].cut = cut;
}

auto GatewayFleet::SetBridgeCut(std::size_t domain, std::size_t other, bool cut)
    -> void {
  const auto pair = std::minmax(domain, other);
  if (cut) {
    bridge_cuts_.insert(pair);
  } else {
    bridge_cuts_.erase(pair);
  }
}

auto GatewayFleet::SetFrozen(std::size_t host, bool frozen) -> void {
  hosts_[host].frozen = frozen;
}

auto GatewayFleet::IsCut(std::size_t from, std::size_t to) const -> bool {
  return hosts_[from].cut || hosts_[to].cut ||
         bridge_cuts_.contains(std::minmax(DomainOf(from), DomainOf(to)));
}

auto GatewayFleet::Arrival(std::size_t from, std::size_t to, double bytes)
    -> Instant {
  const auto send = [bytes](Instant& free, Instant ready, double rate) {
    free = std::max(free, ready);
    if (rate > 0.0) {
      free += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(bytes / rate));
    }
    return free;
  };
  Instant arrival = send(hosts_[from].link_free, now_, layout_.host_link);
  const std::size_t region = DomainOf(from) % 2;
  if (region != DomainOf(to) % 2) {
    region_bytes_ += bytes;
    arrival = send(region_link_free_.at(region), arrival, layout_.region_link);
  }
  peer_bytes_ += bytes;
  return arrival + kLinkDelay;
}

auto GatewayFleet::View(std::size_t host) const -> const TrafficView& {
  return *hosts_[host].view;
}

auto GatewayFleet::core(std::size_t host) -> GatewayCore& {
  return *hosts_[host].core;
}

auto GatewayFleet::states(const std::string& rollout) const
    -> std::vector<RolloutState> {
  const auto found = states_.find(rollout);
  return found == states_.end() ? std::vector<RolloutState>() : found->second;
}

auto GatewayFleet::Run(Duration time) -> void {
  const Instant end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    Deliver();
    AnswerWatches();
    for (auto& call : std::exchange(later_, {})) {
      call();
    }
    if ((now_ - At(0)) % kTick == Duration(0)) {
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (hosts_[host].core != nullptr && !hosts_[host].frozen) {
          Feed(host, hosts_[host].core->OnTime(now_));
        }
      }
    }
  }
}

auto GatewayFleet::Feed(std::size_t host,
                        const std::vector<GatewayAction>& actions) -> void {
  for (const GatewayAction& action : actions) {
    std::visit([&](const auto& specific) { Do(host, specific); }, action);
  }
}

auto GatewayFleet::Put(RecordKind kind,
                       const std::string& name,
                       const std::string& content) -> void {
  ++revision_;
  objects_[kind][name] = {revision_, content};
  history_[kind].push_back({revision_, {{name, revision_, content}, false}});
}

auto GatewayFleet::Remove(RecordKind kind, const std::string& name) -> void {
  const Stored last = objects_[kind][name];
  objects_[kind].erase(name);
  ++revision_;
  history_[kind].push_back(
      {revision_, {{name, last.revision, last.content}, true}});
}

auto GatewayFleet::EndCompaction() -> void {
  is_compacting_ = false;
  history_.clear();
  history_from_ = revision_;
  for (WaitingWatch& watch : watches_) {
    watch.is_compacted = true;
  }
}

auto GatewayFleet::SilenceWatches() -> void {
  for (WaitingWatch& watch : watches_) {
    if (!watch.lost) {
      watch.lost = true;
      watch.until += watch.watch.timeout - watch.watch.wait;
    }
  }
}

auto GatewayFleet::TakeCopy() -> void {
  copied_revision_ = revision_;
  copied_objects_ = objects_;
}

auto GatewayFleet::RestoreCopy(bool breaks_watches) -> void {
  era_ += 1;
  revision_ = copied_revision_;
  objects_ = copied_objects_;
  for (auto& [kind, changes] : history_) {
    std::erase_if(changes, [this](const Change& change) {
      return change.revision > copied_revision_;
    });
  }
  for (WaitingWatch& watch : watches_) {
    watch.gone = breaks_watches && watch.watch.after > revision_;
  }
}

auto GatewayFleet::ReportEras(std::size_t host, std::vector<ReportedEra> eras)
    -> void {
  hosts_[host].eras = {eras.begin(), eras.end()};
}

auto GatewayFleet::NextEra(std::size_t host) -> ReportedEra {
  std::deque<ReportedEra>& eras = hosts_[host].eras;
  if (!eras.empty()) {
    const ReportedEra era = eras.front();
    eras.pop_front();
    return era;
  }
  return era_ == 0 || !reports_era_ ? ReportedEra() : ReportedEra(era_);
}

auto GatewayFleet::ChangesAfter(RecordKind kind, std::uint64_t revision) const
    -> std::vector<RecordChange> {
  std::vector<RecordChange> changes;
  const auto found = history_.find(kind);
  if (found != history_.end()) {
    for (const Change& change : found->second) {
      if (change.revision > revision) {
        changes.push_back(change.change);
      }
    }
  }
  return changes;
}

auto GatewayFleet::Answer(std::size_t host,
                          RecordKind kind,
                          RecordReadResult result) -> void {
  later_.push_back([this, host, kind, result = std::move(result),
                    incarnation = hosts_[host].incarnation] {
    if (hosts_[host].frozen) {
      Answer(host, kind, result);
      return;
    }
    if (hosts_[host].core != nullptr &&
        hosts_[host].incarnation == incarnation) {
      Feed(host, hosts_[host].core->OnRead(now_, kind, result));
    }
  });
}

auto GatewayFleet::Do(std::size_t host, const ListRecords& action) -> void {
  ++calls_;
  ++hosts_[host].calls;
  if (hosts_[host].fault == StoreFault::kRefusing) {
    Answer(host, action.kind, ReadFailed{true});
    return;
  }
  if (hosts_[host].fault == StoreFault::kSilent) {
    watches_.push_back({host,
                        hosts_[host].incarnation,
                        {action.kind, 0, {}, {}},
                        now_ + action.timeout,
                        true});
    return;
  }
  RecordPage page;
  page.as_of = revision_;
  page.era = NextEra(host);
  for (const auto& [name, stored] : objects_[action.kind]) {
    page.records.push_back({name, stored.revision, stored.content});
  }
  Answer(host, action.kind, std::move(page));
}

auto GatewayFleet::Do(std::size_t host, const WatchRecords& action) -> void {
  ++calls_;
  ++hosts_[host].calls;
  watches_.push_back(
      {host, hosts_[host].incarnation, action, now_ + action.wait, false,
       action.after > revision_ || action.after < history_from_});
}

auto GatewayFleet::AnswerWatches() -> void {
  std::vector<WaitingWatch> waiting;
  for (WaitingWatch& watch : std::exchange(watches_, {})) {
    const Host& host = hosts_[watch.host];
    if (host.core == nullptr || host.incarnation != watch.incarnation) {
      continue;
    }
    if (host.fault == StoreFault::kSilent && !watch.lost) {
      watch.lost = true;
      watch.until = now_ + (watch.until - now_) +
                    (watch.watch.timeout - watch.watch.wait);
    }
    if (host.fault == StoreFault::kRefusing ||
        (watch.lost && now_ >= watch.until)) {
      Answer(watch.host, watch.watch.kind, ReadFailed{false, true});
      continue;
    }
    const bool is_deaf =
        is_compacting_ || (watch.is_compacted && now_ < watch.until);
    if (is_deaf && !watch.lost && !watch.gone) {
      waiting.push_back(watch);
      continue;
    }
    if ((watch.gone || watch.is_compacted) && !watch.lost) {
      Answer(watch.host, watch.watch.kind, HistoryGone{NextEra(watch.host)});
      continue;
    }
    auto changes = watch.lost
                       ? std::vector<RecordChange>()
                       : ChangesAfter(watch.watch.kind, watch.watch.after);
    if (!watch.lost && (!changes.empty() || now_ >= watch.until)) {
      Answer(watch.host, watch.watch.kind,
             RecordChanges{
                 std::move(changes), revision_, {}, NextEra(watch.host)});
      continue;
    }
    waiting.push_back(watch);
  }
  for (const WaitingWatch& watch : waiting) {
    watches_.push_back(watch);
  }
}

auto GatewayFleet::Do(std::size_t host, const RolloutStatusWrite& action)
    -> void {
  ++calls_;
  ++hosts_[host].calls;
  WriteOutcome outcome = WriteOutcome::kRefused;
  if (hosts_[host].fault == StoreFault::kNone) {
    outcome = WriteOutcome::kDone;
    states_[action.name].push_back(action.state);
    // Only orders with a creation have room for a state.
    const auto found = objects_[RecordKind::kRollouts].find(action.name);
    if (found != objects_[RecordKind::kRollouts].end() &&
        found->second.content.find(' ') != std::string::npos) {
      std::istringstream words(found->second.content);
      std::string target;
      std::string created;
      words >> target >> created;
      Put(RecordKind::kRollouts, action.name,
          target + " " + created + " " +
              std::to_string(static_cast<int>(action.state)));
    }
  }
  later_.push_back([this, host, name = action.name, outcome,
                    incarnation = hosts_[host].incarnation] {
    if (hosts_[host].core != nullptr &&
        hosts_[host].incarnation == incarnation) {
      Feed(host, hosts_[host].core->OnStatusWritten(now_, name, outcome));
    }
  });
}

auto GatewayFleet::Do(std::size_t host, const RegisterHost& /*action*/)
    -> void {
  ++registrations_;
  later_.push_back([this, host] {
    if (hosts_[host].core != nullptr) {
      Feed(host, hosts_[host].core->OnRegistered(now_, WriteOutcome::kDone));
    }
  });
}

auto GatewayFleet::Do(std::size_t /*host*/, const ReadHostList& /*action*/)
    -> void {}

auto GatewayFleet::Do(std::size_t host, const PublishView& action) -> void {
  hosts_[host].view = action.view;
}

auto GatewayFleet::Do(std::size_t host, const DeliverCrashReport& /*action*/)
    -> void {
  ++hosts_[host].crash_reports;
}

auto GatewayFleet::Do(std::size_t host, const SendToPeer& action) -> void {
  const auto found = by_address_.find(action.address);
  if (found == by_address_.end() || IsCut(host, found->second)) {
    return;
  }
  const HostIdentity& self = hosts_[host].core->self();
  const std::size_t bytes = codec_
                                .Encode({self.host, self.incarnation,
                                         self.peer_address, action.message})
                                .size();
  const bool is_datagram = bytes <= kDatagram;
  if (is_datagram && layout_.lose_one_in > 0 &&
      random_.Below(layout_.lose_one_in) == 0) {
    return;
  }
  letters_.push_back({Arrival(host, found->second, static_cast<double>(bytes)),
                      found->second,
                      {self.host, self.incarnation, self.peer_address},
                      action.message});
}

auto GatewayFleet::Do(std::size_t /*host*/, const LogEvent& /*action*/)
    -> void {}

auto GatewayFleet::Deliver() -> void {
  std::vector<Letter> later;
  for (Letter& letter : std::exchange(letters_, {})) {
    if (letter.due > now_ || hosts_[letter.to].frozen) {
      later.push_back(std::move(letter));
    } else if (hosts_[letter.to].core != nullptr && !hosts_[letter.to].cut) {
      Feed(letter.to, hosts_[letter.to].core->OnPeerMessage(now_, letter.from,
                                                            letter.message));
    }
  }
  for (Letter& letter : later) {
    letters_.push_back(std::move(letter));
  }
}

}  // namespace zinniastep::testing
