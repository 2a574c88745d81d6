#include "libzinniastep/steward/held_cells.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

constexpr Duration kFollowPeriod = std::chrono::milliseconds(250);
// A poll without an answer is sent again after so many poll periods.
constexpr int kPollPeriodsUnanswered = 4;
// Cells whose later stewards are told at one time.
constexpr std::size_t kMostFarewells = 64;

}  // namespace

HeldCells::HeldCells(const Membership& membership,
                     const Assignment& assignment,
                     const ConfigurationSnapshot& configuration,
                     StewardSettings settings,
                     std::uint64_t seed)
    : membership_(membership),
      assignment_(assignment),
      configuration_(configuration),
      settings_(settings),
      random_(seed) {}

auto HeldCells::OnTime(Instant now, Effects& effects) -> void {
  if (now >= next_follow_) {
    next_follow_ = now + kFollowPeriod;
    FollowAssignment(now);
  }
  PollServers(now, effects);
  SayFarewells(now, effects);
}

auto HeldCells::FollowAssignment(Instant now) -> void {
  for (const FailureDomainId& domain : assignment_.domains()) {
    if (domain.empty()) {
      continue;
    }
    for (std::uint32_t i = 0; i < assignment_.CellsOf(domain); ++i) {
      Refresh(now, CellId{domain, i});
    }
  }
  std::vector<CellId> gone;
  for (const auto& [id, cell] : cells_) {
    if (id.cell >= assignment_.CellsOf(id.domain)) {
      gone.push_back(id);
    }
  }
  for (const CellId& id : gone) {
    Drop(now, id);
  }
}

auto HeldCells::Refresh(Instant now, const CellId& id) -> HeldCell* {
  const LeaseState lease = assignment_.Lease(id.domain, id.cell, now);
  const auto it = cells_.find(id);
  if (lease == LeaseState::kNone) {
    if (it != cells_.end()) {
      Drop(now, id);
    }
    return nullptr;
  }
  const AssignmentTable& table = *assignment_.TableOf(id.domain);
  const bool same = it != cells_.end() &&
                    it->second.epoch == table.slots[id.cell].holder.epoch &&
                    it->second.stands_in == (lease == LeaseState::kStandIn);
  HeldCell& cell = same ? it->second : Take(now, id, lease);
  if (lease == LeaseState::kLapsed && cell.lease != LeaseState::kLapsed) {
    cell.lapsed_since = now;
  }
  cell.lease = lease;
  FollowRoster(now, id, cell);
  return &cell;
}

auto HeldCells::Take(Instant now, const CellId& id, LeaseState lease)
    -> HeldCell& {
  const AssignmentTable& table = *assignment_.TableOf(id.domain);
  const AssignmentSlot& slot = table.slots[id.cell];
  HeldCell& cell = cells_[id];
  if (cell.epoch != 0) {
    Depart(now, id, cell);
  }
  cell.epoch = slot.holder.epoch;
  cell.cells = static_cast<std::uint32_t>(table.slots.size());
  cell.stands_in = lease == LeaseState::kStandIn;
  cell.held_since = now;
  cell.unconfirmed.clear();
  cell.left.clear();
  for (const Holder& former : slot.former) {
    cell.unconfirmed.push_back(former.epoch);
  }
  const bool waits = !cell.unconfirmed.empty() || cell.stands_in;
  cell.eligible = waits ? now + assignment_.settings().lease +
                              settings_.credit_lifetime + settings_.report_lag
                        : now;
  for (auto& [server, state] : cell.servers) {
    state.AwaitReport(cell.eligible);
  }
  cell.roster_generation = 0;
  return cell;
}

auto HeldCells::Drop(Instant now, const CellId& id) -> void {
  const auto it = cells_.find(id);
  Depart(now, id, it->second);
  for (const auto& [server, state] : it->second.servers) {
    cell_of_server_.erase(server);
  }
  cells_.erase(it);
}

auto HeldCells::Depart(Instant now, const CellId& id, const HeldCell& cell)
    -> void {
  if (cell.stands_in) {
    return;
  }
  Farewell farewell;
  farewell.message = HandOver{id.domain, id.cell, cell.cells, cell.epoch, {}};
  for (const auto& [server, state] : cell.servers) {
    if (const std::uint32_t count = state.Occupancy(now); count > 0) {
      farewell.message.outstanding.push_back({server, count});
    }
  }
  farewell.tries_left = settings_.hand_over_tries;
  farewell.next_try = now;
  farewells_.push_back(std::move(farewell));
  if (farewells_.size() > kMostFarewells) {
    farewells_.erase(farewells_.begin());
  }
}

auto HeldCells::FollowRoster(Instant now, const CellId& id, HeldCell& cell)
    -> void {
  const auto roster = configuration_.rosters.find(id.domain);
  if (roster == configuration_.rosters.end() ||
      roster->second.generation == cell.roster_generation) {
    return;
  }
  cell.roster_generation = roster->second.generation;
  std::set<BackendServerId> present;
  for (const BackendServerRule& rule : roster->second.servers) {
    if (assignment_.CellOf(id.domain, rule.id) != id.cell) {
      continue;
    }
    present.insert(rule.id);
    cell_of_server_[rule.id] = id;
    const auto [it, is_new] = cell.servers.try_emplace(
        rule.id, rule, settings_, std::max(cell.eligible, now));
    it->second.OnRule(rule);
    if (!is_new) {
      continue;
    }
    const auto open = open_credits_.find(rule.id);
    it->second.Granted(open == open_credits_.end() ? 0 : open->second);
    const auto period =
        static_cast<std::uint64_t>(settings_.poll_period.count());
    it->second.next_poll =
        now + Duration(static_cast<Duration::rep>(random_.Below(period)));
  }
  std::erase_if(cell.servers, [&](const auto& entry) {
    if (present.contains(entry.first)) {
      return false;
    }
    const auto at = cell_of_server_.find(entry.first);
    if (at != cell_of_server_.end() && at->second == id) {
      cell_of_server_.erase(at);
    }
    return true;
  });
}

auto HeldCells::PollServers(Instant now, Effects& effects) -> void {
  for (auto& [id, cell] : cells_) {
    for (auto& [server, state] : cell.servers) {
      const bool waiting =
          state.poll_sent && now - *state.poll_sent <
                                 kPollPeriodsUnanswered * settings_.poll_period;
      if (now < state.next_poll || waiting) {
        continue;
      }
      state.next_poll = now + settings_.poll_period;
      state.poll_sent = now;
      effects.Do(PollLoad{server, state.rule().address});
    }
  }
}

auto HeldCells::OnLoadPolled(Instant now, const LoadPolled& polled) -> void {
  BackendServerState* state = FindServer(polled.server);
  if (state == nullptr || !state->poll_sent) {
    return;
  }
  const Instant sent = *state->poll_sent;
  state->poll_sent.reset();
  if (polled.answered) {
    state->OnReport(now, sent, polled.report);
  }
}

// When all earlier stewards have said that they stopped, what they left at the
// servers is known and nothing need be waited out.
auto HeldCells::OnHandOver(Instant now, const HandOver& hand_over) -> void {
  for (const CellId& id : CellsIn(hand_over.domain)) {
    HeldCell& cell = cells_.at(id);
    if (std::erase(cell.unconfirmed, hand_over.epoch) == 0) {
      continue;
    }
    for (const OutstandingCredits& one : hand_over.outstanding) {
      cell.left[one.server] += one.count;
    }
    if (now >= cell.eligible) {
      // The earlier steward acted on after the wait, with a lapsed lease. Its
      // part of a cold server's limit is free only as its credits end.
      for (const OutstandingCredits& one : hand_over.outstanding) {
        const auto server = cell.servers.find(one.server);
        if (server != cell.servers.end()) {
          server->second.InheritLate(now, one.count);
        }
      }
      continue;
    }
    if (!cell.unconfirmed.empty() || cell.stands_in) {
      continue;
    }
    cell.eligible = now;
    for (auto& [server, state] : cell.servers) {
      const auto left = cell.left.find(server);
      state.Inherit(now, left == cell.left.end() ? 0 : left->second);
    }
  }
}

// Only hosts that name this one as an earlier steward wait for its word.
auto HeldCells::SayFarewells(Instant now, Effects& effects) -> void {
  for (Farewell& farewell : farewells_) {
    const AssignmentTable* table = assignment_.TableOf(farewell.message.domain);
    if (now < farewell.next_try || table == nullptr) {
      continue;
    }
    farewell.next_try = now + settings_.hand_over_again;
    --farewell.tries_left;
    std::set<HostId> told;
    for (const AssignmentSlot& slot : table->slots) {
      const bool waits = std::any_of(
          slot.former.begin(), slot.former.end(), [&](const Holder& former) {
            return former.epoch == farewell.message.epoch;
          });
      const HostId& to = slot.holder.host;
      if (waits && to != membership_.self().host && told.insert(to).second) {
        effects.Do(
            SendToPeer{to, "", PeerMessage(StewardMessage(farewell.message))});
      }
    }
  }
  std::erase_if(farewells_,
                [](const Farewell& one) { return one.tries_left == 0; });
}

auto HeldCells::NoteGranted(const BackendServerId& server) -> void {
  ++open_credits_[server];
  if (BackendServerState* state = FindServer(server)) {
    state->Granted(1);
  }
}

auto HeldCells::NoteReleased(const BackendServerId& server) -> void {
  const auto it = open_credits_.find(server);
  if (it == open_credits_.end()) {
    return;
  }
  if (--it->second == 0) {
    open_credits_.erase(it);
  }
  if (BackendServerState* state = FindServer(server)) {
    state->Released();
  }
}

// Each earlier steward that may have lost its lease without knowing of a later
// one keeps half of what it may use; the last one has the rest.
auto HeldCells::ColdShare(Instant now,
                          const HeldCell& cell,
                          std::uint32_t cold_limit) const -> std::uint32_t {
  const Duration acting = settings_.lapsed_bound + assignment_.settings().lease;
  std::uint32_t share = cold_limit;
  if (now - cell.held_since < acting) {
    for (std::size_t i = 0; i < cell.unconfirmed.size(); ++i) {
      share -= share / 2;
    }
  }
  switch (cell.lease) {
    case LeaseState::kHeld:
      return share;
    case LeaseState::kLapsed:
      return now - cell.lapsed_since < settings_.lapsed_bound ? share / 2 : 0;
    case LeaseState::kStandIn:
    case LeaseState::kNone:
      return 0;
  }
  return 0;
}

auto HeldCells::CellsIn(const FailureDomainId& domain) const
    -> std::vector<CellId> {
  std::vector<CellId> ids;
  for (auto it = cells_.lower_bound(CellId{domain, 0});
       it != cells_.end() && it->first.domain == domain; ++it) {
    ids.push_back(it->first);
  }
  return ids;
}

auto HeldCells::FindServer(const BackendServerId& server)
    -> BackendServerState* {
  const auto at = cell_of_server_.find(server);
  if (at == cell_of_server_.end()) {
    return nullptr;
  }
  const auto cell = cells_.find(at->second);
  if (cell == cells_.end()) {
    return nullptr;
  }
  const auto it = cell->second.servers.find(server);
  return it == cell->second.servers.end() ? nullptr : &it->second;
}

auto HeldCells::FindServer(const BackendServerId& server) const
    -> const BackendServerState* {
  const auto at = cell_of_server_.find(server);
  if (at == cell_of_server_.end()) {
    return nullptr;
  }
  const auto cell = cells_.find(at->second);
  if (cell == cells_.end()) {
    return nullptr;
  }
  const auto it = cell->second.servers.find(server);
  return it == cell->second.servers.end() ? nullptr : &it->second;
}

}  // namespace zinniastep
