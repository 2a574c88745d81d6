#include "libzinniastep/configuration/record_proposals.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

constexpr Duration kReadRetry = std::chrono::seconds(1);
// A change whose fate is still unknown after this time is left to the watch.
constexpr Duration kGiveUp = std::chrono::seconds(60);
// The object API answers a write within this time or never.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

}  // namespace

RecordProposals::RecordProposals(const RecordTable& table, StoreTokens& tokens)
    : table_(table), tokens_(tokens) {}

auto RecordProposals::Propose(Instant now,
                              const ObjectPath& path,
                              std::string text,
                              std::uint64_t generation,
                              Effects& effects) -> absl::Status {
  const RecordTable::Record* held = table_.Find(path);
  if (held == nullptr) {
    return absl::NotFoundError("no configuration in force at this path");
  }
  if (generation != held->id.generation + 1) {
    return absl::FailedPreconditionError("formed from another generation");
  }
  if (proposals_.contains(path)) {
    return absl::UnavailableError("another change is under way");
  }
  Proposal& proposal = proposals_[path];
  proposal.token = tokens_.Next();
  proposal.generation = generation;
  proposal.text = std::move(text);
  proposal.since = now;
  proposal.retry_at = now + kWriteTimeout;
  effects.Log(
      "configuration_proposed",
      {{"path", path.text()}, {"generation", std::to_string(generation)}});
  effects.Do(
      WriteObject{proposal.token, path, held->id.version, proposal.text});
  return absl::OkStatus();
}

auto RecordProposals::Read(const ObjectPath& path,
                           Proposal& proposal,
                           Effects& effects) -> void {
  proposal.stage = Stage::kReading;
  proposal.token = tokens_.Next();
  effects.Do(ReadObject{proposal.token, path});
}

auto RecordProposals::OnTime(Instant now, Effects& effects) -> void {
  std::erase_if(proposals_, [&](const auto& entry) {
    return now - entry.second.since > kGiveUp;
  });
  for (auto& [path, proposal] : proposals_) {
    if (now >= proposal.retry_at) {
      proposal.retry_at = now + kWriteTimeout;
      Read(path, proposal, effects);
    }
  }
}

auto RecordProposals::OnStore(Instant now,
                              const StoreAnswered& answered,
                              Effects& effects)
    -> std::optional<std::vector<StoredObject>> {
  const auto asked = std::ranges::find_if(proposals_, [&](const auto& entry) {
    return entry.second.token == answered.token;
  });
  if (asked == proposals_.end()) {
    return std::nullopt;
  }
  const ObjectPath path = asked->first;
  Proposal& proposal = asked->second;
  if (proposal.stage == Stage::kWriting) {
    return TakeWriteAnswer(now, path, proposal, answered, effects);
  }
  const auto* found = std::get_if<StoreFound>(&answered.result);
  if (found == nullptr) {
    proposal.stage = Stage::kUnknown;
    proposal.retry_at = now + kReadRetry;
    return std::vector<StoredObject>{};
  }
  auto objects = TakeReadAnswer(path, proposal, *found, effects);
  proposals_.erase(path);
  return objects;
}

auto RecordProposals::TakeWriteAnswer(Instant now,
                                      const ObjectPath& path,
                                      Proposal& proposal,
                                      const StoreAnswered& answered,
                                      Effects& effects)
    -> std::vector<StoredObject> {
  if (const auto* written = std::get_if<StoreWritten>(&answered.result)) {
    StoredObject object{path, written->version, std::move(proposal.text)};
    proposals_.erase(path);
    return {std::move(object)};
  }
  // After a conflict or without an answer, only the object itself can tell.
  proposal.retry_at = now + kWriteTimeout;
  Read(path, proposal, effects);
  return {};
}

auto RecordProposals::TakeReadAnswer(const ObjectPath& path,
                                     const Proposal& proposal,
                                     const StoreFound& found,
                                     Effects& effects)
    -> std::vector<StoredObject> {
  const bool ours =
      std::ranges::any_of(found.objects, [&](const StoredObject& object) {
        return object.path == path && object.value == proposal.text;
      });
  effects.Log("configuration_proposal_settled",
              {{"path", path.text()},
               {"generation", std::to_string(proposal.generation)},
               {"taken", ours ? "true" : "false"}});
  return found.objects;
}

}  // namespace zinniastep
