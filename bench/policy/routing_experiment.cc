#include "bench/policy/routing_experiment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "bench/policy/spread.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/base/random.h"

namespace zinniastep {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kHosts = 8;
constexpr std::size_t kPools = 3;
constexpr std::uint32_t kServerLimit = 8;
constexpr Duration kRun = minutes(5);
constexpr Duration kEventStart = minutes(1);
constexpr Duration kEventEnd = minutes(2);
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kRampInterval = seconds(4);
constexpr Duration kAftermath = seconds(30);
constexpr Duration kRefusalPause = milliseconds(500);
constexpr Duration kDeadline = seconds(10);
constexpr double kMeanService = 2.0;      // seconds
constexpr double kMeanFirstToken = 0.15;  // seconds
constexpr double kUsualLoad = 0.45;
constexpr double kCrossing = 0.008;  // seconds

const ModelVersion kVersion{"model", "1"};

// A pool with limited places and a queue.
struct Pool {
  std::uint32_t servers = 0;
  std::uint32_t limit = 0;
  std::uint32_t running = 0;
  bool in = true;
  std::deque<std::size_t> queue;
};

struct Request {
  Instant arrived;
  std::size_t pool = 0;
  double service = 0.0;
  std::optional<Duration> first_token;
};

struct Departure {
  Instant at;
  std::size_t pool = 0;
  auto operator>(const Departure& other) const -> bool { return at > other.at; }
};

auto DomainName(std::size_t pool) -> FailureDomainId {
  return FailureDomainId("domain-" + std::to_string(pool));
}

// The deployment and its hosts, run through time request by request.
class Simulation {
 public:
  Simulation(const RoutingWay& way,
             const RoutingCase& routing_case,
             std::uint64_t seed)
      : way_(way), case_(routing_case), random_(seed) {
    constexpr std::array<std::uint32_t, kPools> kServers = {4, 3, 2};
    for (std::size_t i = 0; i < kPools; ++i) {
      pools_[i].servers = kServers[i] * (routing_case.panhandle ? 2 : 1);
      pools_[i].limit = pools_[i].servers * kServerLimit;
      FailureDomainRule rule;
      rule.id = DomainName(i);
      rule.region = RegionId(i + 1 == kPools ? "far" : "home");
      configuration_.domains.domains.push_back(rule);
    }
    const auto* two = std::get_if<TwoChoices>(&way);
    for (std::size_t i = 0; i < kHosts; ++i) {
      choosers_.push_back(std::make_unique<PoolChooser>(
          configuration_, RegionId("home"), seed * kHosts + i,
          two != nullptr ? two->costs : PoolCosts()));
    }
  }

  auto Run() -> RoutingOutcome {
    Instant next = start_;
    while (next - start_ < kRun) {
      AdvanceTo(next);
      Arrive();
      const double rate =
          kUsualLoad * LoadFactor() * TotalLimit() / kMeanService;
      next += Seconds(-std::log(1.0 - random_.Unit()) / rate);
    }
    AdvanceTo(start_ + kRun + kDeadline);
    return Outcome();
  }

 private:
  [[nodiscard]] static auto Seconds(double time) -> Duration {
    constexpr double kMicros = 1e6;
    return Duration(static_cast<Duration::rep>(time * kMicros));
  }

  [[nodiscard]] auto TotalLimit() const -> double {
    double total = 0.0;
    for (const Pool& pool : pools_) {
      total += pool.servers * kServerLimit;
    }
    return total;
  }

  [[nodiscard]] auto InEvent() const -> bool {
    return now_ - start_ >= kEventStart && now_ - start_ < kEventEnd;
  }

  [[nodiscard]] auto LoadFactor() const -> double {
    return case_.event == RoutingEvent::kLoadDoubles && InEvent() ? 2.0 : 1.0;
  }

  auto AdvanceTo(Instant until) -> void {
    while (true) {
      const Instant departure =
          departures_.empty() ? Instant::max() : departures_.top().at;
      const Instant next = std::min({departure, report_at_, ramp_at_, until});
      now_ = next;
      FollowEvent();
      if (next == departure) {
        Depart();
      } else if (next == report_at_) {
        report_at_ += kReportInterval;
        Report();
      } else if (next == ramp_at_) {
        ramp_at_ += kRampInterval;
        RampUp();
      } else {
        return;
      }
    }
  }

  auto FollowEvent() -> void {
    const bool inside = InEvent();
    if (inside == event_seen_) {
      return;
    }
    event_seen_ = inside;
    Pool& pool = pools_[0];
    if (case_.event == RoutingEvent::kDomainLeavesAndReturns) {
      pool.in = !inside;
      configuration_.domains.domains[0].state =
          inside ? FailureDomainState::kOut : FailureDomainState::kIn;
      pool.limit = pool.servers;
    } else if (case_.event == RoutingEvent::kPoolTurnsCold && inside) {
      pool.limit = pool.servers;
    }
  }

  auto RampUp() -> void {
    for (std::size_t i = 0; i < kPools; ++i) {
      Pool& pool = pools_[i];
      pool.limit =
          std::min(pool.servers * kServerLimit, pool.limit + pool.servers);
      StartWaiting(i);
    }
  }

  auto Report() -> void {
    std::vector<PoolSummary> report;
    for (std::size_t i = 0; i < kPools; ++i) {
      PoolSummary summary;
      summary.domain = DomainName(i);
      summary.workload = kVersion;
      summary.limit = pools_[i].limit;
      summary.running = pools_[i].running;
      summary.queued = static_cast<std::uint32_t>(pools_[i].queue.size());
      summary.first_token = Seconds(kMeanFirstToken);
      report.push_back(summary);
    }
    reports_.push_back({now_, std::move(report)});
    while (reports_.size() > 1 &&
           now_ - reports_[1].first >= case_.report_lag) {
      reports_.pop_front();
    }
  }

  auto Depart() -> void {
    const std::size_t pool = departures_.top().pool;
    departures_.pop();
    pools_[pool].running -= 1;
    StartWaiting(pool);
  }

  auto StartWaiting(std::size_t index) -> void {
    Pool& pool = pools_[index];
    while (pool.running < pool.limit && !pool.queue.empty()) {
      const std::size_t request = pool.queue.front();
      pool.queue.pop_front();
      if (now_ - requests_[request].arrived < kDeadline) {
        Start(request);
      }
    }
  }

  auto Start(std::size_t index) -> void {
    Request& request = requests_[index];
    Pool& pool = pools_[request.pool];
    pool.running += 1;
    const double full =
        static_cast<double>(pool.running) / (pool.servers * kServerLimit);
    const double crossing = request.pool + 1 == kPools ? kCrossing : 0.0;
    request.first_token = now_ - request.arrived +
                          Seconds(kMeanFirstToken * (0.5 + full) + crossing);
    departures_.push({now_ + Seconds(request.service), request.pool});
  }

  auto Arrive() -> void {
    Request request;
    request.arrived = now_;
    request.service = -kMeanService * std::log(1.0 - random_.Unit());
    const std::size_t host = random_.Below(kHosts);
    request.pool = Place(host);
    choosers_[host]->OnCreditRequested(now_, DomainName(request.pool),
                                       kVersion);
    choosers_[host]->OnGranted(DomainName(request.pool), kVersion);
    requests_.push_back(request);
    pools_[request.pool].queue.push_back(requests_.size() - 1);
    StartWaiting(request.pool);
  }

  // A pool refuses when half as many wait as it may run.
  [[nodiscard]] auto Refuses(std::size_t index) const -> bool {
    const Pool& pool = pools_[index];
    return pool.running >= pool.limit && 2 * pool.queue.size() >= pool.limit;
  }

  // Returns the first pool that does not refuse; the first one when all do.
  auto Place(std::size_t host) -> std::size_t {
    std::vector<FailureDomainId> tried;
    const std::size_t first = Choose(host, tried);
    std::size_t pool = first;
    while (Refuses(pool)) {
      choosers_[host]->OnRefused(now_, DomainName(pool), kVersion,
                                 kRefusalPause);
      tried.push_back(DomainName(pool));
      if (tried.size() == PoolsIn({}).size()) {
        return first;
      }
      pool = Choose(host, tried);
    }
    return pool;
  }

  [[nodiscard]] auto Summaries() const -> std::vector<PoolSummary> {
    if (reports_.empty()) {
      return {};
    }
    std::vector<PoolSummary> summaries = reports_.front().second;
    for (PoolSummary& summary : summaries) {
      summary.age = now_ - reports_.front().first;
    }
    return summaries;
  }

  // Returns the pools that are in and were not tried.
  [[nodiscard]] auto PoolsIn(const std::vector<FailureDomainId>& tried) const
      -> std::vector<std::size_t> {
    std::vector<std::size_t> pools;
    for (std::size_t i = 0; i < kPools; ++i) {
      if (pools_[i].in &&
          std::ranges::find(tried, DomainName(i)) == tried.end()) {
        pools.push_back(i);
      }
    }
    return pools;
  }

  auto Choose(std::size_t host, const std::vector<FailureDomainId>& tried)
      -> std::size_t {
    const std::vector<std::size_t> in = PoolsIn(tried);
    const std::vector<PoolSummary> summaries = Summaries();
    const auto load = [&](std::size_t pool) {
      return summaries.empty() ? 0.0
                               : static_cast<double>(summaries[pool].running +
                                                     summaries[pool].queued) /
                                     std::max(1U, summaries[pool].limit);
    };
    return std::visit(
        Overloaded{
            [&](const RandomChoice&) { return in[random_.Below(in.size())]; },
            [&](const RoundRobin&) { return in[turns_[host]++ % in.size()]; },
            [&](const LeastReportedLoad&) {
              return *std::ranges::min_element(in, {}, load);
            },
            [&](const TwoChoices&) {
              PoolQuery query;
              query.workload = kVersion;
              query.tried = tried;
              const auto choice =
                  choosers_[host]->Choose(now_, query, summaries);
              if (!choice) {
                return in.front();
              }
              for (const std::size_t pool : in) {
                if (DomainName(pool) == choice->domain) {
                  return pool;
                }
              }
              return in.front();
            }},
        way_);
  }

  [[nodiscard]] auto FirstTokens(Duration from, Duration until) const
      -> std::vector<double> {
    std::vector<double> times;
    for (const Request& request : requests_) {
      const Duration at = request.arrived - start_;
      if (at >= from && at < until) {
        const Duration time = request.first_token.value_or(kDeadline);
        times.push_back(std::chrono::duration<double>(time).count());
      }
    }
    return times;
  }

  [[nodiscard]] auto Outcome() const -> RoutingOutcome {
    const std::vector<double> all =
        FirstTokens(kEventStart, kEventEnd + kAftermath);
    RoutingOutcome outcome;
    outcome.p50 = Percentile(all, 0.50);
    outcome.p95 = Percentile(all, 0.95);
    outcome.p99 = Percentile(all, 0.99);
    double good = 0.0;
    double crossed = 0.0;
    for (const Request& request : requests_) {
      good += request.first_token && *request.first_token < kDeadline;
      crossed += request.pool + 1 == kPools ? 1.0 : 0.0;
    }
    outcome.goodput = good / static_cast<double>(requests_.size());
    outcome.crossed = crossed / static_cast<double>(requests_.size());
    outcome.recovery = Percentile(FirstTokens(kEventEnd + seconds(10),
                                              kEventEnd + seconds(30)),
                                  0.95) /
                       Percentile(FirstTokens(seconds(20), kEventStart), 0.95);
    return outcome;
  }

  RoutingWay way_;
  RoutingCase case_;
  Random random_;
  ConfigurationSnapshot configuration_;
  std::array<Pool, kPools> pools_;
  std::vector<std::unique_ptr<PoolChooser>> choosers_;
  std::vector<Request> requests_;
  std::priority_queue<Departure, std::vector<Departure>, std::greater<>>
      departures_;
  std::deque<std::pair<Instant, std::vector<PoolSummary>>> reports_;
  std::array<std::size_t, kHosts> turns_{};
  Instant start_ = Instant() + seconds(1000);
  Instant now_ = start_;
  Instant report_at_ = start_;
  Instant ramp_at_ = start_;
  bool event_seen_ = false;
};

}  // namespace

auto RunRouting(const RoutingWay& way,
                const RoutingCase& routing_case,
                std::uint64_t seed) -> RoutingOutcome {
  return Simulation(way, routing_case, seed).Run();
}

}  // namespace zinniastep
