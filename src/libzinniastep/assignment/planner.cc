#include "libzinniastep/assignment/planner.h"

#include <algorithm>
#include <map>
#include <string>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// Maximum number of earlier holders stored for a slot.
constexpr std::size_t kMaxFormerHolders = 8;
// Smallest difference in slots between two hosts at which a slot moves.
constexpr std::uint32_t kMinRebalanceDifference = 2;

// Number of slots that each candidate holds.
using Counts = std::map<HostId, std::uint32_t>;

auto SlotName(std::string_view name, std::size_t slot) -> std::string {
  return std::string(name) + "/" + std::to_string(slot);
}

auto IsCandidate(std::span<const HostIdentity> candidates, const Holder& holder)
    -> bool {
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const HostIdentity& one) {
        return one.host == holder.host && one.incarnation == holder.incarnation;
      });
}

auto LeastLoaded(const Counts& counts) -> std::uint32_t {
  std::uint32_t least = UINT32_MAX;
  for (const auto& [host, count] : counts) {
    least = std::min(least, count);
  }
  return least;
}

// Returns the host ranked first for the slot among those with the fewest slots.
auto ChooseHolder(std::span<const HostIdentity> candidates,
                  const Counts& counts,
                  const std::string& slot_name) -> const HostIdentity& {
  const std::uint32_t least = LeastLoaded(counts);
  for (const HostIdentity* one : RankByRendezvous(candidates, slot_name)) {
    if (counts.at(one->host) == least) {
      return *one;
    }
  }
  return candidates.front();
}

auto AssignSlot(AssignmentTable& table,
                AssignmentSlot& slot,
                const HostIdentity& host) -> void {
  if (slot.holder.incarnation != 0) {
    slot.former.push_back(slot.holder);
  }
  std::erase_if(slot.former, [&](const Holder& former) {
    return former.incarnation == host.incarnation;
  });
  if (slot.former.size() > kMaxFormerHolders) {
    slot.former.erase(slot.former.begin());
  }
  slot.holder = Holder{host.host, host.incarnation, ++table.last_epoch};
}

auto Rebalance(AssignmentTable& table,
               std::span<const HostIdentity> candidates,
               Counts& counts,
               std::string_view name) -> void {
  const std::uint32_t least = LeastLoaded(counts);
  for (std::size_t i = 0; i < table.slots.size(); ++i) {
    AssignmentSlot& slot = table.slots[i];
    if (counts.at(slot.holder.host) >= least + kMinRebalanceDifference) {
      AssignSlot(table, slot,
                 ChooseHolder(candidates, counts, SlotName(name, i)));
      return;
    }
  }
}

// Changes the number of slots. A server may move from any cell to any other
// when the number of cells changes, so all previous holders become former
// holders of every slot.
auto Resize(AssignmentTable& table, std::uint32_t slots) -> void {
  if (table.slots.empty()) {
    table.slots.resize(slots);
    return;
  }
  std::vector<Holder> former;
  for (const AssignmentSlot& slot : table.slots) {
    former.push_back(slot.holder);
  }
  const std::size_t kept = std::min<std::size_t>(slots, table.slots.size());
  std::vector<AssignmentSlot> resized(slots);
  for (std::size_t i = 0; i < kept; ++i) {
    resized[i].holder = table.slots[i].holder;
    resized[i].holder.epoch = ++table.last_epoch;
  }
  for (AssignmentSlot& slot : resized) {
    slot.former = former;
    std::erase_if(slot.former, [&](const Holder& holder) {
      return holder.incarnation == slot.holder.incarnation;
    });
  }
  table.slots = std::move(resized);
}

}  // namespace

auto RankByRendezvous(std::span<const HostIdentity> candidates,
                      std::string_view name)
    -> std::vector<const HostIdentity*> {
  std::vector<std::pair<std::uint64_t, const HostIdentity*>> scored;
  scored.reserve(candidates.size());
  const std::uint64_t seed = StableHash(name);
  for (const HostIdentity& one : candidates) {
    scored.emplace_back(StableHash(one.host.text(), seed), &one);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->host < b.second->host;
  });
  std::vector<const HostIdentity*> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, one] : scored) {
    ranked.push_back(one);
  }
  return ranked;
}

auto PlanTable(const AssignmentTable& current,
               std::span<const HostIdentity> candidates,
               std::uint32_t slots,
               std::string_view name,
               bool rebalance) -> AssignmentTable {
  AssignmentTable next = current;
  if (candidates.empty() || slots == 0) {
    return next;
  }
  if (next.slots.size() != slots) {
    Resize(next, slots);
  }
  Counts counts;
  for (const HostIdentity& one : candidates) {
    counts[one.host] = 0;
  }
  for (const AssignmentSlot& slot : next.slots) {
    if (IsCandidate(candidates, slot.holder)) {
      ++counts[slot.holder.host];
    }
  }
  for (std::size_t i = 0; i < next.slots.size(); ++i) {
    if (IsCandidate(candidates, next.slots[i].holder)) {
      continue;
    }
    const HostIdentity& host =
        ChooseHolder(candidates, counts, SlotName(name, i));
    ++counts[host.host];
    AssignSlot(next, next.slots[i], host);
  }
  if (rebalance) {
    Rebalance(next, candidates, counts, name);
  }
  if (next != current) {
    ++next.generation;
  }
  return next;
}

}  // namespace zinniastep
