#include "tests/support/crash_fleet.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace zinniastep::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kContact = seconds(3);
constexpr Duration kServerDown = seconds(3);
constexpr Duration kExchangePeriod = milliseconds(100);
constexpr Duration kProbeDelay = milliseconds(20);
constexpr std::size_t kAttempts = 3;
// As the gateway spreads reports.
constexpr std::size_t kSmallFleet = 16;
constexpr std::size_t kNewsPeers = 6;
constexpr std::size_t kSummaryPeers = 3;
constexpr std::size_t kFirstParts = 3;
constexpr std::size_t kSecondParts = 100;

constexpr PromptPartId kCrashingParts = 900000;

}  // namespace

CrashFleet::CrashFleet(CrashScenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)),
      random_(seed),
      hosts_(scenario_.hosts),
      servers_(scenario_.servers),
      fifth_ending_(scenario_.parts.size(), Instant::max()),
      next_server_crash_(seconds(2)),
      next_host_restart_(seconds(2)) {
  for (Host& host : hosts_) {
    host.quarantine = std::make_unique<PartQuarantine>(random_.Next());
    host.quarantine->SetHosts(hosts_.size());
    host.started = Instant::min();
  }
  result_.parts.resize(scenario_.parts.size());
}

auto CrashFleet::Between(Duration least, Duration most) -> Duration {
  return least + Duration(random_.Below(
                     static_cast<std::uint64_t>((most - least).count()) + 1));
}

auto CrashFleet::InTouch(const Host& host) const -> bool {
  const bool was_cut =
      &host - hosts_.data() < static_cast<std::ptrdiff_t>(hosts_.size() / 4) &&
      now_ >= scenario_.cut_from && now_ < scenario_.cut_until + kContact;
  return !was_cut && now_ - kContact >= host.started;
}

auto CrashFleet::Run() -> CrashResult {
  for (; now_ < Instant(scenario_.length); now_ += kStep) {
    OtherFaults();
    while (!notices_.empty() && notices_.begin()->first <= now_) {
      const Notice notice = std::move(notices_.begin()->second);
      notices_.erase(notices_.begin());
      hosts_[notice.host].quarantine->OnEnding(
          now_, BackendServerId(std::to_string(notice.server)), notice.sends);
    }
    Exchange();
    ServeAll();
    Arrive();
  }
  return result_;
}

auto CrashFleet::Arrive() -> void {
  due_requests_ += scenario_.requests_per_second *
                   std::chrono::duration<double>(kStep).count() * 2 *
                   random_.Unit();
  for (; due_requests_ >= 1.0; due_requests_ -= 1.0) {
    Send send;
    send.request = ++requests_;
    send.host = random_.Below(hosts_.size());
    const std::size_t kind = random_.Below(scenario_.kinds);
    PromptPartId first = kind * 1000 + 1 + random_.Below(kFirstParts);
    PromptPartId second = kind * 1000 + 100 + random_.Below(kSecondParts);
    send.crashing = scenario_.parts.size();
    for (std::size_t part = 0; part < scenario_.parts.size(); ++part) {
      const CrashingPart& crashing = scenario_.parts[part];
      if (crashing.kind == kind && now_ >= crashing.from &&
          now_ < crashing.until && Chance(crashing.share)) {
        send.crashing = part;
        // The same other parts, which sound requests have as well.
        first = kind * 1000 + 1;
        second = kind * 1000 + 100 + part;
      }
    }
    send.parts = {first, second};
    if (send.crashing < scenario_.parts.size()) {
      send.parts.insert(
          send.parts.begin() + static_cast<std::ptrdiff_t>(random_.Below(3)),
          kCrashingParts + send.crashing);
    } else {
      ++result_.sound;
    }
    Dispatch(std::move(send));
  }
}

auto CrashFleet::Dispatch(Send send) -> void {
  Host& host = hosts_[send.host];
  const auto admission = host.quarantine->Admit(now_, send.parts);
  const bool is_sound = send.crashing == scenario_.parts.size();
  if (std::holds_alternative<PartsHeld>(admission)) {
    result_.sound_refused += is_sound ? 1 : 0;
    return;
  }
  send.is_trial = std::holds_alternative<PartsOnTrial>(admission);
  std::vector<std::size_t> up;
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    if (servers_[server].up_at <= now_) {
      up.push_back(server);
    }
  }
  if (up.empty()) {
    return;
  }
  send.server = up[random_.Below(up.size())];
  send.sent_at = now_;
  send.begins_at = now_ + Between(milliseconds(50), scenario_.longest_wait);
  send.ends_at = send.begins_at + Between(milliseconds(200), seconds(4));
  send.begun = false;
  if (!is_sound && now_ - kContact > fifth_ending_[send.crashing] &&
      InTouch(host)) {
    ++result_.parts[send.crashing].late;
  }
  servers_[send.server].open.push_back(std::move(send));
}

auto CrashFleet::ServeAll() -> void {
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    auto& open = servers_[server].open;
    bool ended = false;
    for (Send& send : open) {
      if (send.begun || send.begins_at > now_) {
        continue;
      }
      if (send.crashing < scenario_.parts.size()) {
        CrashingPartResult& part = result_.parts[send.crashing];
        if (++part.endings == 5) {
          fifth_ending_[send.crashing] = now_;
        }
        ended = true;
        break;
      }
      send.begun = true;
      hosts_[send.host].quarantine->OnAnswered(now_, send.parts);
    }
    if (ended) {
      EndServer(server);
      continue;
    }
    std::erase_if(open, [&](const Send& send) {
      return send.begun && send.ends_at <= now_;
    });
  }
}

auto CrashFleet::EndServer(std::size_t server) -> void {
  const std::vector<Send> broken = std::exchange(servers_[server].open, {});
  servers_[server].up_at = now_ + kServerDown;
  std::map<std::size_t, Notice> notices;
  for (const Send& send : broken) {
    if (!send.begun) {
      Notice& notice = notices[send.host];
      notice.host = send.host;
      notice.server = server;
      notice.sends.push_back({send.request, send.parts, send.sent_at, now_});
    }
  }
  for (auto& [host, notice] : notices) {
    notices_.emplace(now_ + kProbeDelay, std::move(notice));
  }
  for (const Send& send : broken) {
    if (send.attempt < kAttempts && !send.is_trial) {
      Send next = send;
      ++next.attempt;
      Dispatch(std::move(next));
    }
  }
}

auto CrashFleet::OtherFaults() -> void {
  while (domain_losses_ < scenario_.domain_losses.size() &&
         scenario_.domain_losses[domain_losses_] <= now_) {
    for (std::size_t server = domain_losses_ % 3; server < servers_.size();
         server += 3) {
      servers_[server].up_at = now_ + kServerDown;
    }
    for (std::size_t server = domain_losses_ % 3; server < servers_.size();
         server += 3) {
      EndServer(server);
    }
    ++domain_losses_;
  }
  if (scenario_.server_crash_period > Duration(0) &&
      now_ >= next_server_crash_) {
    next_server_crash_ = now_ + scenario_.server_crash_period;
    EndServer(random_.Below(servers_.size()));
  }
  if (scenario_.host_restart_period > Duration(0) &&
      now_ >= next_host_restart_) {
    next_host_restart_ = now_ + scenario_.host_restart_period;
    Host& host = hosts_[next_host_++ % hosts_.size()];
    host.quarantine = std::make_unique<PartQuarantine>(random_.Next());
    host.quarantine->SetHosts(hosts_.size());
    host.started = now_;
  }
  const bool is_cut = now_ >= scenario_.cut_from && now_ < scenario_.cut_until;
  for (std::size_t host = 0; host < hosts_.size() / 4; ++host) {
    hosts_[host].cut = is_cut;
  }
}

auto CrashFleet::Exchange() -> void {
  while (!letters_.empty() && letters_.begin()->first <= now_) {
    const Letter letter = std::move(letters_.begin()->second);
    letters_.erase(letters_.begin());
    hosts_[letter.to].quarantine->Merge(now_, letter.report);
  }
  if (now_.time_since_epoch() % kExchangePeriod != Duration(0)) {
    return;
  }
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    Host& host = hosts_[index];
    (void)host.quarantine->Update(now_);
    if (const auto news = host.quarantine->TakeNews(now_)) {
      Spread(index, *news,
             hosts_.size() <= kSmallFleet ? kSmallFleet : kNewsPeers);
    }
    if (now_ >= host.next_summary) {
      host.next_summary = now_ + seconds(1);
      if (const auto summary = host.quarantine->Summary(now_)) {
        Spread(index, *summary, kSummaryPeers);
      }
    }
  }
}

auto CrashFleet::Spread(std::size_t host,
                        const CrashReport& report,
                        std::size_t most) -> void {
  std::set<std::size_t> peers;
  const std::size_t wanted = std::min(most, hosts_.size() - 1);
  while (peers.size() < wanted) {
    const std::size_t peer = random_.Below(hosts_.size());
    if (peer != host) {
      peers.insert(peer);
    }
  }
  result_.rows_sent +=
      peers.size() * (report.rows.size() + report.trials.size());
  for (const std::size_t peer : peers) {
    if (hosts_[host].cut == hosts_[peer].cut && !Chance(scenario_.loss)) {
      letters_.emplace(now_ + Between(milliseconds(1), scenario_.longest_delay),
                       Letter{peer, report});
    }
  }
}

}  // namespace zinniastep::testing
