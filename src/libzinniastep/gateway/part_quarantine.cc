#include "libzinniastep/gateway/part_quarantine.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/gateway/trial_pause.h"

namespace zinniastep {

namespace {

constexpr std::size_t kMaxWitnesses = 512;
constexpr std::size_t kMaxForgotten = 4096;
constexpr std::size_t kMaxTrialEntries = 128;
constexpr std::size_t kMaxLeftSends = 64;
// A server that began an answer that nobody waits for ends within this time.
constexpr Duration kLeftSendTime = std::chrono::seconds(1);
// A witness is forgotten after this time.
constexpr Duration kWitnessLifetime = std::chrono::minutes(10);
// One whose parts were all answered is kept until all peers know so.
constexpr Duration kClearedLifetime = std::chrono::seconds(15);
// While requests with the held parts still come, it is kept for longer.
constexpr Duration kMaxWitnessAge = std::chrono::hours(1);
constexpr auto kMaxWitnessAgeUs =
    static_cast<std::uint64_t>(kMaxWitnessAge.count());
constexpr std::size_t kMaxNewsRows = 64;
constexpr std::size_t kMaxSummaryRows = 24;
// Witnesses that convict nothing are repeated to peers for this long.
constexpr Duration kSummaryAge = std::chrono::seconds(20);
// Hosts begin trials in a random order over this time for each host, so that
// one learns of the other's.
constexpr double kTrialSpreadSeconds = 0.4;
// A trial that has no result after this time does not delay the next one.
constexpr Duration kTrialTime = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
// For callers whose parts are not tried again by this host.
constexpr Duration kMaxRetryAfter = std::chrono::minutes(10);

// Parts in the order of what they say about a crash: those that were never
// answered come first.
auto WitnessParts(std::span<const PromptPartId> parts,
                  const AnsweredParts& answered,
                  PromptPartId signature) -> std::vector<PromptPartId> {
  std::vector<PromptPartId> chosen;
  if (signature != 0) {
    chosen.push_back(signature);
  }
  for (const PromptPartId part : parts) {
    if (std::ranges::find(chosen, part) == chosen.end()) {
      chosen.push_back(part);
    }
  }
  std::ranges::stable_sort(chosen, {}, [&](PromptPartId part) {
    return part == signature ? Instant::min()
                             : answered.Find(part).value_or(Instant::min());
  });
  chosen.resize(std::min(chosen.size(), kMaxWitnessParts));
  return chosen;
}

auto HasAll(std::span<const PromptPartId> parts,
            std::span<const PromptPartId> wanted) -> bool {
  return std::ranges::all_of(wanted, [&](PromptPartId part) {
    return std::ranges::find(parts, part) != parts.end();
  });
}

}  // namespace

PartQuarantine::PartQuarantine(std::uint64_t seed) : random_(seed) {}

auto PartQuarantine::OnEnding(Instant now,
                              const BackendServerId& server,
                              std::span<const UnansweredSend> sends) -> void {
  const std::uint64_t key = StableHash(server.text());
  for (const UnansweredSend& send : sends) {
    AddWitness(key, send, send.broken_at);
  }
  AddLeft(key, now);
  Update(now);
}

auto PartQuarantine::AddWitness(std::uint64_t server,
                                const UnansweredSend& send,
                                Instant ended_at) -> void {
  if (send.parts.empty() && send.signature == 0) {
    return;
  }
  CrashWitness witness;
  witness.request = send.request;
  witness.server = server;
  witness.id = random_.Next();
  witness.ended_at = ended_at;
  witness.took = ended_at - send.sent_at;
  witness.parts = WitnessParts(send.parts, answered_, send.signature);
  for (std::size_t part = 0; part < witness.parts.size(); ++part) {
    if (AnsweredAt(witness.parts[part]).has_value()) {
      witness.known |= 1U << part;
    }
    if (send.signature != 0 && witness.parts[part] == send.signature) {
      witness.known |= 1U << (kMaxWitnessParts + part);
    }
  }
  unsent_witnesses_.insert(witness.id);
  Insert(std::move(witness));
}

auto PartQuarantine::OnLeft(const BackendServerId& server,
                            const UnansweredSend& send) -> void {
  if (send.parts.empty() && send.signature == 0) {
    return;
  }
  left_.push_back({StableHash(server.text()), send});
  if (left_.size() > kMaxLeftSends) {
    left_.pop_front();
  }
}

auto PartQuarantine::AddLeft(std::uint64_t server, Instant ended_at) -> void {
  std::erase_if(left_, [&](const LeftSend& left) {
    const Duration since = ended_at - left.send.broken_at;
    if (left.server != server || since < Duration(0) || since > kLeftSendTime) {
      return since > kLeftSendTime;
    }
    AddWitness(server, left.send, ended_at);
    return true;
  });
}

auto PartQuarantine::OnAnswered(Instant now,
                                std::span<const PromptPartId> parts) -> void {
  answered_.Record(now, parts);
  ClearWitnesses(now, parts);
}

auto PartQuarantine::OnRequestAnswered(Instant now, PromptPartId signature)
    -> void {
  const std::span<const PromptPartId> parts(&signature, 1);
  answered_requests_.Record(now, parts);
  ClearWitnesses(now, parts);
}

auto PartQuarantine::AnsweredAt(PromptPartId part) const
    -> std::optional<Instant> {
  const auto found = answered_.Find(part);
  return found.has_value() ? found : answered_requests_.Find(part);
}

auto PartQuarantine::ClearWitnesses(Instant now,
                                    std::span<const PromptPartId> parts)
    -> void {
  for (auto& [id, witness] : witnesses_) {
    const std::uint32_t before = witness.cleared;
    for (std::size_t index = 0; index < witness.parts.size(); ++index) {
      if (now > witness.ended_at &&
          std::ranges::find(parts, witness.parts[index]) != parts.end()) {
        witness.cleared |= 1U << index;
      }
    }
    if (witness.cleared != before) {
      unsent_witnesses_.insert(id);
      changed_ = true;
    }
  }
}

auto PartQuarantine::ClearAnswered(CrashWitness& witness) const -> void {
  for (std::size_t part = 0; part < witness.parts.size(); ++part) {
    const auto answered_at = AnsweredAt(witness.parts[part]);
    if (answered_at.has_value() && *answered_at > witness.ended_at) {
      witness.cleared |= 1U << part;
    }
  }
}

auto PartQuarantine::Insert(CrashWitness witness) -> void {
  const std::uint32_t before = witness.cleared;
  ClearAnswered(witness);
  if (witness.cleared != before) {
    unsent_witnesses_.insert(witness.id);
  }
  witnesses_.emplace(witness.id, std::move(witness));
  changed_ = true;
  if (witnesses_.size() > kMaxWitnesses) {
    EvictWitness();
  }
}

// Prefers witnesses that say nothing any more, then the oldest.
auto PartQuarantine::EvictWitness() -> void {
  const auto rank = [](const auto& item) {
    const CrashWitness& witness = item.second;
    return std::pair(!witness.is_all_cleared(), witness.ended_at);
  };
  Forget(std::ranges::min_element(witnesses_, {}, rank)->first);
}

auto PartQuarantine::Forget(std::uint64_t id) -> void {
  witnesses_.erase(id);
  unsent_witnesses_.erase(id);
  if (!forgotten_.insert(id).second) {
    return;
  }
  forgotten_order_.push_back(id);
  if (forgotten_order_.size() > kMaxForgotten) {
    forgotten_.erase(forgotten_order_.front());
    forgotten_order_.pop_front();
  }
}

auto PartQuarantine::Merge(Instant now, const CrashReport& report) -> void {
  std::size_t rows = 0;
  for (const CrashRow& row : report.rows) {
    if (++rows > kMaxNewsRows || row.parts.empty() ||
        row.parts.size() > kMaxWitnessParts || row.age_us > kMaxWitnessAgeUs ||
        row.took_us > kMaxWitnessAgeUs || forgotten_.contains(row.id)) {
      continue;
    }
    CrashWitness witness;
    witness.id = row.id;
    witness.request = row.request;
    witness.server = row.server;
    witness.ended_at = now - Duration(row.age_us);
    witness.took = Duration(row.took_us);
    witness.parts = row.parts;
    witness.known = row.known;
    witness.cleared = row.cleared;
    const auto found = witnesses_.find(row.id);
    if (found == witnesses_.end()) {
      unsent_witnesses_.insert(witness.id);
      AddLeft(witness.server, witness.ended_at);
      Insert(std::move(witness));
      continue;
    }
    CrashWitness& known = found->second;
    if (known.parts != witness.parts) {
      continue;
    }
    // Each hop adds its delay to the age that is lost, never takes from it.
    known.ended_at = std::min(known.ended_at, witness.ended_at);
    if ((witness.cleared & ~known.cleared) != 0) {
      known.cleared |= witness.cleared;
      unsent_witnesses_.insert(known.id);
      changed_ = true;
    }
  }
  for (const TrialRow& row :
       std::span(report.trials)
           .first(std::min(report.trials.size(), kMaxTrialEntries))) {
    if (row.age_us > kMaxWitnessAgeUs) {
      continue;
    }
    Trials& trials = trials_[row.part];
    if (row.count > trials.count) {
      trials = {row.count, now - Duration(row.age_us)};
      unsent_trials_.insert(row.part);
      changed_ = true;
    }
  }
}

auto PartQuarantine::Update(Instant now) -> void {
  Expire(now);
  if (!std::exchange(changed_, false) && now > evaluate_until_) {
    return;
  }
  std::vector<CrashWitness> witnesses;
  witnesses.reserve(witnesses_.size());
  for (const auto& [id, witness] : witnesses_) {
    if (witness.is_all_cleared()) {
      continue;
    }
    witnesses.push_back(witness);
    evaluate_until_ =
        std::max(evaluate_until_, witness.ended_at + kSuspicionDelay);
  }
  std::vector<HeldParts> held;
  for (const CrashSuspect& suspect : FindCrashSuspects(now, witnesses)) {
    HeldParts parts;
    parts.parts = suspect.parts;
    parts.endings = suspect.endings;
    parts.requests = suspect.requests;
    parts.is_one_request = suspect.is_one_request;
    parts.held_since = now;
    parts.last_ended_at = suspect.last_ended_at;
    parts.trials = TrialsOf(suspect.parts).count;
    const auto before = std::ranges::find_if(
        held_, [&](const HeldParts& old) { return old.parts == parts.parts; });
    if (before != held_.end()) {
      parts.held_since = before->held_since;
      parts.refused = before->refused;
    }
    if (before != held_.end() && before->endings == parts.endings &&
        before->trials == parts.trials) {
      parts.next_trial = before->next_trial;
    } else {
      ScheduleTrial(parts);
    }
    held.push_back(std::move(parts));
  }
  if (!std::ranges::equal(held, held_, {}, &HeldParts::parts,
                          &HeldParts::parts)) {
    ++revision_;
  }
  held_ = std::move(held);
}

auto PartQuarantine::TrialsOf(std::span<const PromptPartId> parts) const
    -> Trials {
  Trials most;
  for (const PromptPartId part : parts) {
    const auto found = trials_.find(part);
    if (found != trials_.end() && found->second.count >= most.count) {
      most = {found->second.count,
              std::max(most.last_at, found->second.last_at)};
    }
  }
  return most;
}

auto PartQuarantine::ScheduleTrial(HeldParts& held) -> void {
  const auto pause =
      TrialPause({held.endings, held.trials, held.is_one_request});
  held.next_trial.reset();
  if (!pause.has_value()) {
    return;
  }
  const Trials trials = TrialsOf(held.parts);
  Instant from = held.last_ended_at;
  if (trials.count > 0) {
    from = std::max(from, trials.last_at + kTrialTime);
  }
  held.next_trial =
      from + *pause +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          random_.Unit() * kTrialSpreadSeconds * static_cast<double>(hosts_)));
}

auto PartQuarantine::Find(std::span<const PromptPartId> parts) -> HeldParts* {
  const auto found = std::ranges::find_if(
      held_, [&](const HeldParts& held) { return HasAll(parts, held.parts); });
  return found == held_.end() ? nullptr : &*found;
}

auto PartQuarantine::IsHeld(std::span<const PromptPartId> parts) const -> bool {
  return std::ranges::any_of(
      held_, [&](const HeldParts& held) { return HasAll(parts, held.parts); });
}

auto PartQuarantine::Admit(Instant now, std::span<const PromptPartId> parts)
    -> PartAdmission {
  if (held_.empty() || parts.empty()) {
    return PartsAdmitted{};
  }
  HeldParts* held = Find(parts);
  if (held == nullptr) {
    return PartsAdmitted{};
  }
  if (held->next_trial.has_value() && now >= *held->next_trial) {
    const std::uint32_t count = held->trials + 1;
    for (const PromptPartId part : held->parts) {
      trials_[part] = {count, now};
      unsent_trials_.insert(part);
    }
    held->trials = count;
    ScheduleTrial(*held);
    return PartsOnTrial{};
  }
  ++held->refused;
  const Duration wait =
      held->next_trial.has_value()
          ? std::clamp(*held->next_trial - now, kMinRetryAfter, kMaxRetryAfter)
          : kMaxRetryAfter;
  return PartsHeld{held->parts, held->endings, now - held->last_ended_at, wait};
}

auto PartQuarantine::Release(Instant now, PromptPartId part) -> bool {
  std::set<PromptPartId> released;
  for (const HeldParts& held : held_) {
    if (std::ranges::find(held.parts, part) != held.parts.end()) {
      released.insert(held.parts.begin(), held.parts.end());
    }
  }
  for (auto& [id, witness] : witnesses_) {
    const std::uint32_t before = witness.cleared;
    for (std::size_t index = 0; index < witness.parts.size(); ++index) {
      if (released.contains(witness.parts[index])) {
        witness.cleared |= 1U << index;
      }
    }
    if (witness.cleared != before) {
      unsent_witnesses_.insert(id);
      changed_ = true;
    }
  }
  Update(now);
  return !released.empty();
}

auto PartQuarantine::Expire(Instant now) -> void {
  std::set<PromptPartId> wanted;
  for (const HeldParts& held : held_) {
    if (held.refused > 0) {
      wanted.insert(held.parts.begin(), held.parts.end());
    }
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [id, witness] : witnesses_) {
    const Duration age = now - witness.ended_at;
    const bool is_wanted =
        age <= kWitnessLifetime ||
        std::ranges::any_of(witness.parts, [&](PromptPartId part) {
          return wanted.contains(part);
        });
    if (age > kMaxWitnessAge || !is_wanted ||
        (witness.is_all_cleared() && age > kClearedLifetime)) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired, [this](std::uint64_t id) { Forget(id); });
  std::erase_if(trials_, [&](const auto& item) {
    return now - item.second.last_at > kMaxWitnessAge;
  });
  while (trials_.size() > kMaxTrialEntries) {
    trials_.erase(std::ranges::min_element(
        trials_, {}, [](const auto& item) { return item.second.last_at; }));
  }
  changed_ = changed_ || !expired.empty();
}

auto PartQuarantine::RowOf(Instant now, const CrashWitness& witness) const
    -> CrashRow {
  CrashRow row;
  row.id = witness.id;
  row.request = witness.request;
  row.server = witness.server;
  row.age_us = static_cast<std::uint64_t>(
      std::max(now - witness.ended_at, Duration(0)).count());
  row.took_us =
      static_cast<std::uint64_t>(std::max(witness.took, Duration(0)).count());
  row.parts = witness.parts;
  row.known = witness.known;
  row.cleared = witness.cleared;
  return row;
}

auto PartQuarantine::TakeNews(Instant now) -> std::optional<CrashReport> {
  CrashReport report;
  while (!unsent_witnesses_.empty() && report.rows.size() < kMaxNewsRows) {
    const auto next = unsent_witnesses_.begin();
    const auto found = witnesses_.find(*next);
    if (found != witnesses_.end()) {
      report.rows.push_back(RowOf(now, found->second));
    }
    unsent_witnesses_.erase(next);
  }
  for (const PromptPartId part : std::exchange(unsent_trials_, {})) {
    const auto found = trials_.find(part);
    if (found != trials_.end()) {
      report.trials.push_back(
          {part, found->second.count,
           static_cast<std::uint64_t>((now - found->second.last_at).count())});
    }
  }
  if (report.rows.empty() && report.trials.empty()) {
    return std::nullopt;
  }
  return report;
}

auto PartQuarantine::Summary(Instant now) const -> std::optional<CrashReport> {
  std::vector<const CrashWitness*> chosen;
  for (const auto& [id, witness] : witnesses_) {
    if (now - witness.ended_at <= kSummaryAge || IsHeld(witness.parts)) {
      chosen.push_back(&witness);
    }
  }
  if (chosen.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(chosen, [&](const auto* a, const auto* b) {
    return std::pair(IsHeld(b->parts), b->ended_at) <
           std::pair(IsHeld(a->parts), a->ended_at);
  });
  CrashReport report;
  for (const CrashWitness* witness :
       std::span(chosen).first(std::min(chosen.size(), kMaxSummaryRows))) {
    report.rows.push_back(RowOf(now, *witness));
  }
  for (const auto& [part, trials] : trials_) {
    report.trials.push_back(
        {part, trials.count,
         static_cast<std::uint64_t>((now - trials.last_at).count())});
  }
  return report;
}

}  // namespace zinniastep
