#include "libzinniastep/assignment/assignment.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "libzinniastep/assignment/planner.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);
// Highest rank (0 is first) that still adds to the delay before a write.
constexpr std::size_t kMaxDelayRank = 5;
// Once a table has been unchanged for this long, no former holder acts any
// more.
constexpr Duration kFormerHolderRetention = std::chrono::minutes(20);

auto PathOf(const FailureDomainId& domain) -> ObjectPath {
  return ObjectPath("assignment/" + (domain.empty() ? "keys" : domain.text()));
}

}  // namespace

Assignment::Assignment(const Membership& membership,
                       const ConfigurationSnapshot& configuration,
                       AssignmentSettings settings,
                       std::uint64_t seed)
    : membership_(membership),
      configuration_(configuration),
      settings_(settings),
      random_(seed),
      tokens_(StoreUser::kAssignment) {}

auto Assignment::OnTime(Instant now, Effects& effects) -> void {
  if (!started_) {
    started_ = true;
    next_check_ = now;
    next_digest_ = now + Duration(random_.Below(static_cast<std::uint64_t>(
                             settings_.digest_period.count())));
  }
  if (now >= next_digest_) {
    next_digest_ = now + settings_.digest_period;
    SendDigest(effects);
  }
  if (now < next_check_ || !membership_.joined()) {
    return;
  }
  next_check_ = now + kCheckPeriod;
  objects_.try_emplace(FailureDomainId());
  for (const FailureDomainRule& rule : configuration_.domains.domains) {
    const auto roster = configuration_.rosters.find(rule.id);
    if (roster != configuration_.rosters.end() &&
        !roster->second.servers.empty()) {
      objects_.try_emplace(rule.id);
    }
  }
  for (const FailureDomainId& domain : domains()) {
    CheckObject(now, domain, effects);
  }
}

auto Assignment::CheckObject(Instant now,
                             const FailureDomainId& domain,
                             Effects& effects) -> void {
  Object& object = objects_.at(domain);
  if (object.step != Step::kIdle) {
    if (now - object.step_started >= settings_.store_timeout) {
      effects.Log("assignment_unanswered",
                  {{"path", PathOf(domain).text()},
                   {"step", object.step == Step::kReading ? "read" : "write"},
                   {"reason", "timeout"}});
      object.step = Step::kIdle;
      store_answers_ = false;
    }
    return;
  }
  if (!domain.empty() && HoldsAnySlot(object) && now >= object.next_read) {
    StartRead(now, domain, object, effects);
    return;
  }
  if (!NeedsChange(now, domain, object)) {
    object.change_needed_since.reset();
    return;
  }
  if (!object.change_needed_since) {
    object.change_needed_since = object.stable_since = now;
    object.stable_revision = membership_.revision();
  }
  if (object.stable_revision != membership_.revision()) {
    object.stable_revision = membership_.revision();
    object.stable_since = now;
  }
  const std::vector<HostIdentity> candidates = Candidates(domain);
  const auto ranked = RankByRendezvous(candidates, PathOf(domain).text());
  const auto self =
      std::find_if(ranked.begin(), ranked.end(), [&](const HostIdentity* one) {
        return one->host == membership_.self().host;
      });
  if (self == ranked.end()) {
    return;
  }
  const auto rank = std::min<std::size_t>(
      static_cast<std::size_t>(self - ranked.begin()), kMaxDelayRank);
  const Duration delay =
      settings_.membership_settle_time +
      settings_.write_delay_per_rank * static_cast<Duration::rep>(rank);
  // A plan made while membership is changing would soon be replaced.
  const bool is_stable =
      now - object.stable_since >= settings_.membership_settle_time ||
      now - *object.change_needed_since >= settings_.max_settle_time;
  if (is_stable && now - *object.change_needed_since >= delay &&
      now >= object.next_read) {
    StartRead(now, domain, object, effects);
  }
}

// Planning iterates over all hosts. It is therefore repeated only when its
// inputs have changed, which include whether a slot may be moved for balance.
auto Assignment::NeedsChange(Instant now,
                             const FailureDomainId& domain,
                             Object& object) const -> bool {
  const HostIdentity& self = membership_.self();
  const FailureDomainRule* rule = configuration_.FindDomain(domain);
  if (!domain.empty() && self.domain != domain &&
      (rule == nullptr || rule->region != self.region)) {
    return false;
  }
  const PlanInputs inputs{membership_.revision(), object.table.generation,
                          RequiredSlots(domain), now >= object.next_rebalance};
  if (inputs != object.planned_inputs) {
    object.planned_inputs = inputs;
    object.plan_differs = Plan(now, domain, object) != object.table;
    if (inputs.may_rebalance && !object.plan_differs) {
      object.next_rebalance = now + settings_.rebalance_period;
    }
  }
  return object.plan_differs;
}

auto Assignment::StartRead(Instant now,
                           const FailureDomainId& domain,
                           Object& object,
                           Effects& effects) -> void {
  object.step = Step::kReading;
  object.step_started = now;
  object.token = tokens_.Next();
  object.next_read = now + settings_.renew_period;
  effects.Do(ReadObject{object.token, PathOf(domain)});
}

auto Assignment::OnStore(Instant now,
                         const StoreAnswered& answer,
                         Effects& effects) -> void {
  const auto it =
      std::find_if(objects_.begin(), objects_.end(), [&](const auto& entry) {
        return entry.second.step != Step::kIdle &&
               entry.second.token == answer.token;
      });
  if (it == objects_.end()) {
    return;
  }
  const FailureDomainId& domain = it->first;
  Object& object = it->second;
  const Step step = object.step;
  object.step = Step::kIdle;
  std::visit(
      Overloaded{[&](const StoreFound& found) {
                   store_answers_ = true;
                   if (step == Step::kReading) {
                     FinishRead(now, domain, object, found, effects);
                   }
                 },
                 [&](const StoreWritten& written) {
                   store_answers_ = true;
                   object.version = written.version;
                   object.next_read = now;
                   Adopt(now, domain, object, object.proposal, effects);
                   // An accepted conditional update confirms the stored
                   // table just as a read does.
                   if (HoldsAnySlot(object)) {
                     object.lease_end = object.step_started + settings_.lease;
                   }
                   Push(domain, object, effects);
                 },
                 [&](const StoreConflict&) {
                   store_answers_ = true;
                   object.next_read = now;
                 },
                 // The write may have taken effect; the next read shows it.
                 [&](const StoreSilent&) {
                   effects.Log(
                       "assignment_unanswered",
                       {{"path", PathOf(domain).text()},
                        {"step", step == Step::kReading ? "read" : "write"},
                        {"reason", "no answer"}});
                   store_answers_ = false;
                   object.next_read = now + settings_.renew_period;
                 }},
      answer.result);
}

auto Assignment::FinishRead(Instant now,
                            const FailureDomainId& domain,
                            Object& object,
                            const StoreFound& found,
                            Effects& effects) -> void {
  object.version = 0;
  AssignmentTable stored;
  for (const StoredObject& one : found.objects) {
    const absl::StatusOr<AssignmentTable> table = DecodeTable(one.value);
    object.version = one.version;
    if (table.ok()) {
      stored = *table;
    }
  }
  if (stored.generation > object.table.generation) {
    Adopt(now, domain, object, stored, effects);
    Push(domain, object, effects);
  }
  if (stored == object.table && HoldsAnySlot(object)) {
    object.lease_end = object.step_started + settings_.lease;
  }
  if (stored.generation < object.table.generation) {
    // The object API returned to an older state or lost the object.
    AssignmentTable rewritten = object.table;
    ++rewritten.generation;
    StartWrite(now, domain, object, std::move(rewritten), effects);
    return;
  }
  WriteIfNeeded(now, domain, object, effects);
}

auto Assignment::WriteIfNeeded(Instant now,
                               const FailureDomainId& domain,
                               Object& object,
                               Effects& effects) -> void {
  if (!object.change_needed_since) {
    return;
  }
  AssignmentTable plan = Plan(now, domain, object);
  if (plan == object.table) {
    object.change_needed_since.reset();
    return;
  }
  object.next_rebalance = now + settings_.rebalance_period;
  StartWrite(now, domain, object, std::move(plan), effects);
}

auto Assignment::StartWrite(Instant now,
                            const FailureDomainId& domain,
                            Object& object,
                            AssignmentTable proposal,
                            Effects& effects) -> void {
  object.proposal = std::move(proposal);
  object.step = Step::kWriting;
  object.step_started = now;
  object.token = tokens_.Next();
  effects.Log("assignment_write",
              {{"path", PathOf(domain).text()},
               {"generation", std::to_string(object.proposal.generation)}});
  effects.Do(WriteObject{object.token, PathOf(domain), object.version,
                         EncodeTable(object.proposal)});
}

auto Assignment::Adopt(Instant now,
                       const FailureDomainId& domain,
                       Object& object,
                       const AssignmentTable& table,
                       Effects& effects) -> bool {
  if (table.generation <= object.table.generation) {
    return false;
  }
  object.table = table;
  object.unchanged_since = now;
  if (!HoldsAnySlot(object)) {
    object.lease_end.reset();
  }
  effects.Tell(AssignmentChanged{domain});
  return true;
}

auto Assignment::Plan(Instant now,
                      const FailureDomainId& domain,
                      const Object& object) const -> AssignmentTable {
  AssignmentTable current = object.table;
  if (now - object.unchanged_since >= kFormerHolderRetention) {
    for (AssignmentSlot& slot : current.slots) {
      slot.former.clear();
    }
  }
  const bool rebalance = now >= object.next_rebalance;
  AssignmentTable plan =
      PlanTable(current, Candidates(domain), RequiredSlots(domain),
                PathOf(domain).text(), rebalance);
  if (domain.empty()) {
    // The claims ledger fences earlier authorities, so that a new authority
    // need not wait for former holders.
    for (AssignmentSlot& slot : plan.slots) {
      slot.former.clear();
    }
  }
  return plan == current ? object.table : plan;
}

auto Assignment::Candidates(const FailureDomainId& domain) const
    -> std::vector<HostIdentity> {
  const FailureDomainRule* rule = configuration_.FindDomain(domain);
  std::vector<HostIdentity> in_domain;
  std::vector<HostIdentity> in_region;
  for (const HostIdentity& one : membership_.live_hosts()) {
    if (membership_.IsLeaving(one.host)) {
      continue;
    }
    if (domain.empty() || one.domain == domain) {
      in_domain.push_back(one);
    } else if (rule != nullptr && one.region == rule->region) {
      in_region.push_back(one);
    }
  }
  return in_domain.empty() ? in_region : in_domain;
}

auto Assignment::RequiredSlots(const FailureDomainId& domain) const
    -> std::uint32_t {
  if (domain.empty()) {
    return kKeyShards;
  }
  const auto roster = configuration_.rosters.find(domain);
  if (roster == configuration_.rosters.end()) {
    return CellsOf(domain);
  }
  return CellCount(roster->second.servers.size());
}

auto Assignment::IsHeldBySelf(const Holder& holder) const -> bool {
  return holder.host == membership_.self().host &&
         holder.incarnation == membership_.self().incarnation;
}

auto Assignment::HoldsAnySlot(const Object& object) const -> bool {
  return std::any_of(
      object.table.slots.begin(), object.table.slots.end(),
      [this](const AssignmentSlot& slot) { return IsHeldBySelf(slot.holder); });
}

auto Assignment::Lease(const FailureDomainId& domain,
                       std::uint32_t cell,
                       Instant now) const -> LeaseState {
  const auto it = objects_.find(domain);
  if (it == objects_.end() || cell >= it->second.table.slots.size()) {
    return LeaseState::kNone;
  }
  const Object& object = it->second;
  if (IsHeldBySelf(object.table.slots[cell].holder)) {
    if (!object.lease_end) {
      return LeaseState::kNone;
    }
    return now < *object.lease_end ? LeaseState::kHeld : LeaseState::kLapsed;
  }
  const bool stands_in =
      !store_answers_ && StandInOf(domain, cell) == membership_.self().host;
  return stands_in ? LeaseState::kStandIn : LeaseState::kNone;
}

auto Assignment::LeaseEnd(const FailureDomainId& domain) const -> Instant {
  const auto it = objects_.find(domain);
  return it == objects_.end() ? Instant{}
                              : it->second.lease_end.value_or(Instant{});
}

auto Assignment::IsHolder(const FailureDomainId& domain,
                          std::uint32_t cell,
                          Instant now) const -> bool {
  return Lease(domain, cell, now) == LeaseState::kHeld;
}

// Returns the candidate ranked first by rendezvous hashing while the holder is
// lost, because the table may not change; none while the holder is live.
auto Assignment::StandInOf(const FailureDomainId& domain,
                           std::uint32_t cell) const -> std::optional<HostId> {
  const Holder& holder = objects_.at(domain).table.slots[cell].holder;
  const HostIdentity* live = membership_.Find(holder.host);
  if (live != nullptr && live->incarnation == holder.incarnation) {
    return std::nullopt;
  }
  const std::vector<HostIdentity> candidates = Candidates(domain);
  const auto ranked = RankByRendezvous(
      candidates, PathOf(domain).text() + "/" + std::to_string(cell));
  if (ranked.empty()) {
    return std::nullopt;
  }
  return ranked.front()->host;
}

auto Assignment::StewardOf(const FailureDomainId& domain,
                           std::uint32_t cell) const -> std::optional<HostId> {
  const AssignmentTable* table = TableOf(domain);
  if (table == nullptr || cell >= table->slots.size()) {
    return std::nullopt;
  }
  const std::optional<HostId> stand_in = StandInOf(domain, cell);
  return stand_in ? stand_in : table->slots[cell].holder.host;
}

auto Assignment::TableOf(const FailureDomainId& domain) const
    -> const AssignmentTable* {
  const auto it = objects_.find(domain);
  if (it == objects_.end() || it->second.table.generation == 0) {
    return nullptr;
  }
  return &it->second.table;
}

auto Assignment::HasTables() const -> bool {
  return TableOf(FailureDomainId()) != nullptr &&
         std::ranges::all_of(configuration_.domains.domains,
                             [this](const FailureDomainRule& rule) {
                               const auto roster =
                                   configuration_.rosters.find(rule.id);
                               const bool is_needed =
                                   rule.region == membership_.self().region &&
                                   roster != configuration_.rosters.end() &&
                                   !roster->second.servers.empty();
                               return !is_needed || TableOf(rule.id) != nullptr;
                             });
}

auto Assignment::CellsOf(const FailureDomainId& domain) const -> std::uint32_t {
  const AssignmentTable* table = TableOf(domain);
  return table == nullptr ? 0 : static_cast<std::uint32_t>(table->slots.size());
}

auto Assignment::CellOf(const FailureDomainId& domain,
                        const BackendServerId& server) const -> std::uint32_t {
  return CellOfServer(server, CellsOf(domain));
}

auto Assignment::KeyShardHolder(std::uint32_t shard) const
    -> std::optional<Holder> {
  const AssignmentTable* table = TableOf(FailureDomainId());
  if (table == nullptr || shard >= table->slots.size()) {
    return std::nullopt;
  }
  return table->slots[shard].holder;
}

auto Assignment::domains() const -> std::vector<FailureDomainId> {
  std::vector<FailureDomainId> domains;
  domains.reserve(objects_.size());
  for (const auto& [domain, object] : objects_) {
    domains.push_back(domain);
  }
  return domains;
}

}  // namespace zinniastep
