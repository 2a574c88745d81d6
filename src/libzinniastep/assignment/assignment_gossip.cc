#include <set>
#include <string>
#include <utility>
#include <variant>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

// On average, one digest in this many is sent to a host of any region.
constexpr std::uint64_t kAnyRegionDigestInterval = 8;
// Maximum number of random draws for a peer in the requested region.
constexpr int kMaxPeerDraws = 16;

auto Send(const HostId& to,
          const std::string& address,
          AssignmentMessage message,
          Effects& effects) -> void {
  effects.Do(SendToPeer{to, address, PeerMessage(std::move(message))});
}

}  // namespace

auto Assignment::OnMessage(Instant now,
                           const PeerRef& from,
                           const AssignmentMessage& message,
                           Effects& effects) -> void {
  std::visit(
      Overloaded{[](const std::monostate&) {},
                 [&](const auto& one) { Handle(now, from, one, effects); }},
      message);
}

auto Assignment::Handle(Instant now,
                        const PeerRef& /*from*/,
                        const TablePush& push,
                        Effects& effects) -> void {
  Object& object = objects_[push.domain];
  if (Adopt(now, push.domain, object, push.table, effects)) {
    Push(push.domain, object, effects);
  }
}

auto Assignment::Handle(Instant /*now*/,
                        const PeerRef& from,
                        const TableDigest& digest,
                        Effects& effects) -> void {
  std::map<FailureDomainId, std::uint64_t> peer_generations;
  for (const TableGeneration& line : digest.tables) {
    peer_generations[line.domain] = line.generation;
  }
  for (const auto& [domain, object] : objects_) {
    const auto it = peer_generations.find(domain);
    const std::uint64_t generation =
        it == peer_generations.end() ? 0 : it->second;
    if (object.table.generation > generation) {
      Send(from.host, from.address, TablePush{domain, object.table}, effects);
    }
  }
}

// Pushes a table to random peers in this region. The host that wrote the table
// also sends it to one host of each other region. Gossip spreads it within that
// region, so that few copies cross the link between regions.
auto Assignment::Push(const FailureDomainId& domain,
                      const Object& object,
                      Effects& effects) -> void {
  for (std::uint32_t i = 0; i < settings_.push_fan_out; ++i) {
    if (const HostIdentity* peer = RandomPeer(true)) {
      Send(peer->host, peer->peer_address, TablePush{domain, object.table},
           effects);
    }
  }
  if (object.proposal.generation != object.table.generation) {
    return;
  }
  std::set<RegionId> regions{membership_.self().region};
  for (const HostIdentity& one : membership_.live_hosts()) {
    if (regions.insert(one.region).second) {
      Send(one.host, one.peer_address, TablePush{domain, object.table},
           effects);
    }
  }
}

auto Assignment::SendDigest(Effects& effects) -> void {
  const bool same_region = random_.Below(kAnyRegionDigestInterval) != 0;
  const HostIdentity* peer = RandomPeer(same_region);
  if (peer == nullptr) {
    peer = RandomPeer(false);
  }
  if (peer == nullptr) {
    return;
  }
  TableDigest digest;
  for (const auto& [domain, object] : objects_) {
    digest.tables.push_back({domain, object.table.generation});
  }
  Send(peer->host, peer->peer_address, std::move(digest), effects);
}

auto Assignment::RandomPeer(bool same_region) -> const HostIdentity* {
  const std::vector<HostIdentity>& live = membership_.live_hosts();
  for (int draw = 0; draw < kMaxPeerDraws; ++draw) {
    const HostIdentity& one = live[random_.Below(live.size())];
    const bool fits = !same_region || one.region == membership_.self().region;
    if (one.host != membership_.self().host && fits) {
      return &one;
    }
  }
  return nullptr;
}

}  // namespace zinniastep
