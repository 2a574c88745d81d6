#include "libzinniastep/billing/witness_order.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::size_t kMostWitnesses = 2;

struct Candidate {
  // Hosts of this host's own domain come last.
  bool own_domain = false;
  // The host's place within its domain.
  std::size_t round = 0;
  bool other_region = false;
  std::uint64_t score = 0;
  const HostIdentity* host = nullptr;
};

auto ByScore(const ClusterView& cluster) -> std::vector<Candidate> {
  const HostIdentity& self = cluster.self();
  std::vector<Candidate> candidates;
  for (const HostIdentity& host : cluster.live_hosts()) {
    if (host.host == self.host) {
      continue;
    }
    Candidate candidate;
    candidate.own_domain = host.domain == self.domain;
    candidate.other_region = host.region != self.region;
    candidate.score = StableHash(host.host.text(), self.incarnation);
    candidate.host = &host;
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return std::tie(left.score, left.host->host) <
                     std::tie(right.score, right.host->host);
            });
  return candidates;
}

}  // namespace

auto OrderWitnesses(const ClusterView& cluster) -> WitnessOrder {
  std::vector<Candidate> candidates = ByScore(cluster);
  std::map<FailureDomainId, std::size_t> in_domain;
  std::size_t other_domains = 0;
  for (Candidate& candidate : candidates) {
    candidate.round = in_domain[candidate.host->domain]++;
    if (candidate.round == 0 && !candidate.own_domain) {
      ++other_domains;
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) {
        return std::tie(left.own_domain, left.round, left.other_region) <
               std::tie(right.own_domain, right.round, right.other_region);
      });
  WitnessOrder order;
  for (const Candidate& candidate : candidates) {
    order.hosts.push_back(*candidate.host);
  }
  const std::size_t any = order.hosts.empty() ? 0 : 1;
  order.wanted = std::max(any, std::min(other_domains, kMostWitnesses));
  return order;
}

}  // namespace zinniastep
