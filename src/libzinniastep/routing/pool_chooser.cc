#include "libzinniastep/routing/pool_chooser.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

namespace zinniastep {

namespace {

constexpr std::size_t kMaxPools = 4096;
constexpr std::size_t kMaxSends = 256;
// Weight in the draw of a pool without free slots, relative to its limit.
constexpr double kFullPoolWeight = 0.02;
// Lower bound of the factor on the weight of a pool in another region.
constexpr double kMinRemoteFactor = 0.02;
constexpr Duration kDefaultFirstToken = std::chrono::milliseconds(200);
constexpr unsigned kMaxDoublings = 3;
constexpr Duration kMinRefusalBackoff = std::chrono::milliseconds(100);

}  // namespace

PoolChooser::PoolChooser(const ConfigurationSnapshot& configuration,
                         RegionId home,
                         std::uint64_t seed,
                         PoolCosts costs)
    : configuration_(configuration),
      home_(std::move(home)),
      random_(seed),
      costs_(costs) {}

auto PoolChooser::HistoryFor(const PoolKey& key) -> PoolHistory& {
  if (histories_.size() >= kMaxPools && !histories_.contains(key)) {
    histories_.erase(histories_.begin());
  }
  return histories_[key];
}

auto PoolChooser::OnCreditRequested(Instant now,
                                    const FailureDomainId& domain,
                                    const Workload& workload) -> void {
  auto& sends = HistoryFor({domain, workload}).sends;
  sends.push_back(now);
  if (sends.size() > kMaxSends) {
    sends.pop_front();
  }
}

auto PoolChooser::OnGranted(const FailureDomainId& domain,
                            const Workload& workload) -> void {
  HistoryFor({domain, workload}).refusals = 0;
}

auto PoolChooser::OnRefused(Instant now,
                            const FailureDomainId& domain,
                            const Workload& workload,
                            Duration retry_after) -> void {
  PoolHistory& history = HistoryFor({domain, workload});
  const unsigned doublings = std::min(history.refusals, kMaxDoublings);
  history.refused_until =
      now + std::max(retry_after, kMinRefusalBackoff) * (1U << doublings);
  history.refusals += 1;
}

auto PoolChooser::FindEligible(const PoolQuery& query,
                               std::span<const PoolSummary> summaries) const
    -> std::vector<EligiblePool> {
  std::vector<EligiblePool> eligible;
  for (const PoolSummary& summary : summaries) {
    if (summary.workload != query.workload ||
        std::ranges::find(query.tried, summary.domain) != query.tried.end()) {
      continue;
    }
    const FailureDomainRule* rule = configuration_.FindDomain(summary.domain);
    if (rule != nullptr && rule->state == FailureDomainState::kIn) {
      eligible.push_back({&summary, rule->region == home_});
    }
  }
  return eligible;
}

auto PoolChooser::MeasureUtilization(std::span<const EligiblePool> pools)
    -> Utilization {
  double limit = 0.0;
  double load = 0.0;
  double home_limit = 0.0;
  double home_load = 0.0;
  for (const auto& [summary, home] : pools) {
    limit += summary->limit;
    load += summary->running + summary->queued;
    home_limit += home ? summary->limit : 0.0;
    home_load += home ? summary->running + summary->queued : 0.0;
  }
  return {limit > 0.0 ? load / limit : 1.0,
          home_limit > 0.0 ? home_load / home_limit : 1.0};
}

auto PoolChooser::EvaluatePool(Instant now,
                               const PoolQuery& query,
                               const EligiblePool& pool,
                               const Utilization& utilization)
    -> PoolCandidate {
  const PoolSummary& summary = *pool.summary;
  PoolHistory& history = HistoryFor({summary.domain, query.workload});
  const Duration unreported_window =
      std::min(summary.age, costs_.summary_decay_time);
  while (!history.sends.empty() &&
         now - history.sends.front() > unreported_window) {
    history.sends.pop_front();
  }
  const double limit = std::max(1.0, static_cast<double>(summary.limit));
  const double freshness = std::exp(
      -std::chrono::duration<double>(summary.age) / costs_.summary_decay_time);
  const double reported = summary.running + summary.queued;
  const double load = freshness * reported +
                      (1.0 - freshness) * utilization.all * limit +
                      static_cast<double>(history.sends.size());
  PoolCandidate candidate;
  candidate.domain = summary.domain;
  candidate.headroom = static_cast<double>(summary.limit) - load;
  const Duration first_token = summary.first_token > Duration::zero()
                                   ? summary.first_token
                                   : kDefaultFirstToken;
  const double queue_ratio = std::max(0.0, load + 1.0 - limit) / limit;
  auto expected =
      static_cast<double>(first_token.count()) * (1.0 + queue_ratio);
  double region_factor = 1.0;
  if (!pool.home) {
    constexpr double kThousand = 1000.0;
    expected += static_cast<double>(costs_.cross_region_latency.count()) +
                static_cast<double>(
                    costs_.cross_region_latency_per_thousand_tokens.count()) *
                    query.prompt_tokens / kThousand;
    region_factor =
        std::clamp((utilization.home - costs_.cross_region_min_utilization) /
                       (costs_.cross_region_full_utilization -
                        costs_.cross_region_min_utilization),
                   kMinRemoteFactor, 1.0);
  }
  if (now < history.refused_until) {
    expected += static_cast<double>((history.refused_until - now).count());
    candidate.headroom = std::min(candidate.headroom, 0.0);
  }
  candidate.weight =
      region_factor * std::max(kFullPoolWeight * limit, candidate.headroom);
  candidate.expected_first_token =
      Duration(static_cast<Duration::rep>(expected));
  return candidate;
}

auto PoolChooser::Draw(std::span<const PoolCandidate> candidates,
                       std::size_t excluded) -> std::size_t {
  const auto weight = [&](std::size_t i) {
    return i == excluded ? 0.0 : candidates[i].weight;
  };
  double total = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += weight(i);
  }
  double drawn = random_.Unit() * total;
  std::size_t last = excluded == 0 ? candidates.size() - 1 : 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == excluded) {
      continue;
    }
    last = i;
    drawn -= weight(i);
    if (drawn < 0.0) {
      break;
    }
  }
  return last;
}

auto PoolChooser::Choose(Instant now,
                         const PoolQuery& query,
                         std::span<const PoolSummary> summaries)
    -> std::optional<PoolChoice> {
  const std::vector<EligiblePool> eligible = FindEligible(query, summaries);
  if (eligible.empty()) {
    return std::nullopt;
  }
  const Utilization utilization = MeasureUtilization(eligible);
  PoolChoice choice;
  for (const EligiblePool& pool : eligible) {
    choice.candidates.push_back(EvaluatePool(now, query, pool, utilization));
  }
  const std::size_t no_exclusion = choice.candidates.size();
  const std::size_t first = Draw(choice.candidates, no_exclusion);
  std::size_t chosen = first;
  if (choice.candidates.size() > 1) {
    const std::size_t second = Draw(choice.candidates, first);
    choice.candidates[second].compared = true;
    const bool only_first_is_full = choice.candidates[first].headroom < 1.0 &&
                                    choice.candidates[second].headroom >= 1.0;
    chosen = only_first_is_full ? second : first;
  }
  choice.candidates[first].compared = true;
  choice.domain = choice.candidates[chosen].domain;
  return choice;
}

}  // namespace zinniastep
