#include "libzinniastep/steward/steward.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

// Waiting asks are tried again at least so often.
constexpr Duration kServePeriod = std::chrono::milliseconds(100);
// Time that an asker's end of an attempt may take to be told.
constexpr Duration kReturnMargin = std::chrono::seconds(5);
// A server may be this much fuller than the emptiest and still be preferred
// for its prefix cache.
constexpr double kAffinityBound = 0.25;

auto Offers(const BackendServerState& state, const Workload& workload) -> bool {
  const BackendServerRule& rule = state.rule();
  return std::visit(
      Overloaded{[&](const ModelVersion& version) {
                   return rule.kind == BackendServerRule::Kind::kEngine &&
                          std::find(state.versions().begin(),
                                    state.versions().end(),
                                    version) != state.versions().end();
                 },
                 [&](const ServiceId& service) {
                   return rule.kind == BackendServerRule::Kind::kService &&
                          rule.service == service;
                 }},
      workload);
}

auto Clamp(std::uint64_t value) -> std::uint16_t {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(
      value, std::numeric_limits<std::uint16_t>::max()));
}

auto AddServer(PoolEntry& entry, const BackendServerState& state, Instant now)
    -> void {
  entry.running = Clamp(entry.running + state.Occupancy(now));
  entry.queued = Clamp(entry.queued + state.queued());
  std::uint16_t& servers =
      state.warm() ? entry.warm_servers : entry.cold_servers;
  ++servers;
  if (state.ready() && state.IsReporting(now)) {
    entry.limit = Clamp(entry.limit + state.limit());
  }
  const auto first_token =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          state.first_token());
  entry.first_token_milliseconds =
      std::max(entry.first_token_milliseconds,
               Clamp(static_cast<std::uint64_t>(first_token.count())));
}

}  // namespace

auto WorkloadHash(const Workload& workload) -> std::uint64_t {
  return std::visit(Overloaded{[](const ModelVersion& version) {
                                 return StableHash(ToString(version));
                               },
                               [](const ServiceId& service) {
                                 return StableHash("service/" + service.text());
                               }},
                    workload);
}

Steward::Steward(const Membership& membership,
                 const Assignment& assignment,
                 const ConfigurationSnapshot& configuration,
                 StewardSettings settings,
                 std::uint64_t seed)
    : self_(membership.self()),
      assignment_(assignment),
      configuration_(configuration),
      settings_(settings),
      held_(membership, assignment, configuration, settings, seed),
      queue_(settings.queue_bound),
      last_credit_(StableHash(self_.host.text(), self_.incarnation)) {}

auto Steward::OnTime(Instant now, Effects& effects) -> void {
  held_.OnTime(now, effects);
  ExpireCredits(now);
  for (const CreditRequest& request : queue_.TakeExpired(now)) {
    Refuse(request, RefusalCause::kTooLate, effects);
  }
  if (queue_.size() > 0 && (capacity_freed_ || now >= next_serve_)) {
    next_serve_ = now + kServePeriod;
    RefuseHomeless(effects);
    ServeQueue(now, effects);
  }
}

auto Steward::OnLoadPolled(Instant now,
                           const LoadPolled& polled,
                           Effects& effects) -> void {
  held_.OnLoadPolled(now, polled);
  ServeQueue(now, effects);
}

auto Steward::OnHandOver(Instant now,
                         const HandOver& hand_over,
                         Effects& effects) -> void {
  held_.OnHandOver(now, hand_over);
  ServeQueue(now, effects);
}

auto Steward::OnCellReport(Instant now, const CellReport& report) -> void {
  if (report.cell < assignment_.CellsOf(report.domain)) {
    neighbours_[CellId{report.domain, report.cell}] =
        Neighbour{report.epoch, report.entries, now};
  }
}

auto Steward::OnRequest(Instant now,
                        const CreditRequest& request,
                        Effects& effects) -> void {
  const auto granted = credit_of_ask_.find(request.ask);
  if (granted != credit_of_ask_.end()) {
    Reply(request.asker, credits_.at(granted->second).reply, effects);
    return;
  }
  if (queue_.Refresh(request)) {
    return;
  }
  const std::vector<CellId> cells = held_.CellsIn(request.domain);
  const bool holds = std::any_of(
      cells.begin(), cells.end(),
      [&](const CellId& id) { return held_.Refresh(now, id) != nullptr; });
  if (!holds) {
    Refuse(request, RefusalCause::kNotSteward, effects);
    return;
  }
  if (queue_.size() == 0 && TryGrant(now, request, effects)) {
    return;
  }
  if (TryForward(now, request, effects)) {
    return;
  }
  if (!ServesAny(request)) {
    Refuse(request, RefusalCause::kNotServed, effects);
    return;
  }
  if (const auto shed = queue_.Add(now, request)) {
    Refuse(*shed, RefusalCause::kQueueFull, effects);
  }
  ServeQueue(now, effects);
}

// The asker took no credit for the ask, so that one granted meanwhile is free.
auto Steward::OnCancel(Instant now, const AskId& ask, Effects& effects)
    -> void {
  queue_.Remove(ask);
  const auto granted = credit_of_ask_.find(ask);
  if (granted != credit_of_ask_.end()) {
    Close(credits_.find(granted->second));
    ServeQueue(now, effects);
  }
}

auto Steward::OnReturn(Instant now,
                       const CreditReturn& returned,
                       Effects& effects) -> void {
  const auto it = credits_.find(returned.credit);
  if (it == credits_.end()) {
    return;
  }
  if (BackendServerState* state = held_.FindServer(it->second.server)) {
    state->OnOutcome(now,
                     CreditOutcome{returned.result,
                                   Duration(returned.first_token_microseconds),
                                   returned.server_incarnation});
  }
  Close(it);
  ServeQueue(now, effects);
}

auto Steward::Close(std::map<std::uint64_t, OpenCredit>::iterator it) -> void {
  held_.NoteReleased(it->second.server);
  expiries_.erase({it->second.expires, it->first});
  credit_of_ask_.erase(it->second.reply.ask);
  credits_.erase(it);
  capacity_freed_ = true;
}

auto Steward::ExpireCredits(Instant now) -> void {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    Close(credits_.find(expiries_.begin()->second));
  }
}

// Asks for cells that went to another host are sent back.
auto Steward::RefuseHomeless(Effects& effects) -> void {
  std::vector<CreditRequest> homeless;
  queue_.ServeEach([&](const CreditRequest& request) {
    if (!held_.CellsIn(request.domain).empty()) {
      return false;
    }
    homeless.push_back(request);
    return true;
  });
  for (const CreditRequest& request : homeless) {
    Refuse(request, RefusalCause::kNotSteward, effects);
  }
}

auto Steward::ServeQueue(Instant now, Effects& effects) -> void {
  capacity_freed_ = false;
  if (queue_.size() == 0) {
    return;
  }
  std::set<Workload> exhausted;
  queue_.ServeEach([&](const CreditRequest& request) {
    const bool hopeless = std::all_of(
        request.acceptable.begin(), request.acceptable.end(),
        [&](const Workload& one) { return exhausted.contains(one); });
    if (hopeless) {
      return false;
    }
    if (TryGrant(now, request, effects)) {
      return true;
    }
    exhausted.insert(request.acceptable.begin(), request.acceptable.end());
    return false;
  });
}

auto Steward::MayServe(const FailureDomainId& domain,
                       const Workload& workload) const -> bool {
  if (!configuration_.IsIn(domain)) {
    return false;
  }
  return std::visit(Overloaded{[&](const ModelVersion& version) {
                                 return configuration_.IsServing(version);
                               },
                               [&](const ServiceId& service) {
                                 return configuration_.FindService(service) !=
                                        nullptr;
                               }},
                    workload);
}

auto Steward::TryGrant(Instant now,
                       const CreditRequest& request,
                       Effects& effects) -> bool {
  for (const Workload& workload : request.acceptable) {
    if (!MayServe(request.domain, workload)) {
      continue;
    }
    for (const CellId& id : held_.CellsIn(request.domain)) {
      const HeldCell* cell = held_.Refresh(now, id);
      if (cell == nullptr) {
        continue;
      }
      const BackendServerState* state =
          Choose(now, *cell, workload, request.prefix_hash);
      if (state != nullptr) {
        Grant(now, id, *state, workload, request, effects);
        return true;
      }
    }
  }
  return false;
}

// The emptiest server, but one that caches the prompt's prefix goes first as
// long as it is not much fuller.
auto Steward::Choose(Instant now,
                     const HeldCell& cell,
                     const Workload& workload,
                     std::uint64_t prefix) const -> const BackendServerState* {
  const BackendServerState* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  std::uint64_t best_tie = 0;
  for (const auto& [server, state] : cell.servers) {
    if (state.rule().leaving || !Offers(state, workload)) {
      continue;
    }
    const std::uint32_t cold_limit = state.rule().cold_limit;
    const std::uint32_t cold_share = held_.ColdShare(now, cell, cold_limit);
    if (state.Headroom(now, cold_share) == 0) {
      continue;
    }
    const double fill = static_cast<double>(state.Occupancy(now)) /
                        std::max<double>(state.limit(), 1.0);
    const bool cached = prefix != 0 && state.Caches(prefix);
    const double score = cached ? fill - kAffinityBound : fill;
    const std::uint64_t tie = StableHash(server.text(), prefix);
    if (score < best_score || (score == best_score && tie > best_tie)) {
      best = &state;
      best_score = score;
      best_tie = tie;
    }
  }
  return best;
}

auto Steward::Grant(Instant now,
                    const CellId& id,
                    const BackendServerState& state,
                    const Workload& workload,
                    const CreditRequest& request,
                    Effects& effects) -> void {
  GrantedCredit credit;
  credit.id = ++last_credit_;
  credit.server = state.rule().id;
  credit.address = state.rule().address;
  credit.server_incarnation = state.incarnation();
  credit.domain = id.domain;
  if (const auto* version = std::get_if<ModelVersion>(&workload)) {
    credit.version = *version;
  }
  const CreditReply reply{request.ask, request.attempt, credit};
  const Instant expires = now + settings_.credit_lifetime + kReturnMargin +
                          Duration(request.attempt_microseconds);
  credits_[credit.id] = OpenCredit{credit.server, reply, expires};
  credit_of_ask_[request.ask] = credit.id;
  expiries_.emplace(expires, credit.id);
  held_.NoteGranted(credit.server);
  Reply(request.asker, reply, effects);
}

auto Steward::TryForward(Instant now,
                         const CreditRequest& request,
                         Effects& effects) -> bool {
  if (request.forwarded) {
    return false;
  }
  std::set<std::uint64_t> wanted;
  for (const Workload& workload : request.acceptable) {
    if (MayServe(request.domain, workload)) {
      wanted.insert(WorkloadHash(workload));
    }
  }
  std::optional<CellId> best;
  int best_room = 0;
  for (auto it = neighbours_.lower_bound(CellId{request.domain, 0});
       it != neighbours_.end() && it->first.domain == request.domain; ++it) {
    if (now - it->second.arrived >= settings_.cell_report_lifetime) {
      continue;
    }
    for (const PoolEntry& entry : it->second.entries) {
      const int room = static_cast<int>(entry.limit) - entry.running;
      if (wanted.contains(entry.workload) && room > best_room) {
        best = it->first;
        best_room = room;
      }
    }
  }
  if (!best) {
    return false;
  }
  const std::optional<HostId> to =
      assignment_.StewardOf(best->domain, best->cell);
  if (!to || *to == self_.host) {
    return false;
  }
  CreditRequest forwarded = request;
  forwarded.forwarded = true;
  forwarded.cell = best->cell;
  effects.Do(SendToPeer{*to, "", PeerMessage(StewardMessage(forwarded))});
  return true;
}

auto Steward::ServesAny(const CreditRequest& request) const -> bool {
  for (const CellId& id : held_.CellsIn(request.domain)) {
    for (const auto& [server, state] : held_.cells().at(id).servers) {
      for (const Workload& workload : request.acceptable) {
        const bool unknown = !state.ready();
        if (!state.rule().leaving && MayServe(request.domain, workload) &&
            (unknown || Offers(state, workload))) {
          return true;
        }
      }
    }
  }
  return false;
}

auto Steward::Refuse(const CreditRequest& request,
                     RefusalCause cause,
                     Effects& effects) -> void {
  Reply(request.asker,
        CreditReply{request.ask, request.attempt, RefusedCredit{cause}},
        effects);
}

auto Steward::Reply(const HostId& asker,
                    const CreditReply& reply,
                    Effects& effects) -> void {
  if (asker == self_.host && reply.ask.incarnation == self_.incarnation) {
    local_replies_.push_back(reply);
    return;
  }
  effects.Do(SendToPeer{asker, "", PeerMessage(StewardMessage(reply))});
}

auto Steward::TakeLocalReplies() -> std::vector<CreditReply> {
  return std::exchange(local_replies_, {});
}

auto Steward::SumsOf(const CellId& id, Instant now) const
    -> std::vector<PoolEntry> {
  std::map<std::uint64_t, PoolEntry> sums;
  const auto cell = held_.cells().find(id);
  if (cell == held_.cells().end() || !configuration_.IsIn(id.domain)) {
    return {};
  }
  for (const auto& [server, state] : cell->second.servers) {
    if (state.rule().leaving) {
      continue;
    }
    std::vector<Workload> offered(state.versions().begin(),
                                  state.versions().end());
    if (state.rule().kind == BackendServerRule::Kind::kService) {
      offered.assign(1, Workload(state.rule().service));
    }
    for (const Workload& workload : offered) {
      PoolEntry& entry = sums[WorkloadHash(workload)];
      entry.workload = WorkloadHash(workload);
      AddServer(entry, state, now);
    }
  }
  std::vector<PoolEntry> entries;
  entries.reserve(sums.size());
  for (const auto& [hash, entry] : sums) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace zinniastep
