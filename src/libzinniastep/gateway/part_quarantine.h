#ifndef LIBZINNIASTEP_GATEWAY_PART_QUARANTINE_H_
#define LIBZINNIASTEP_GATEWAY_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_set>
#include <variant>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/answered_parts.h"
#include "libzinniastep/gateway/crash_suspects.h"
#include "libzinniastep/gateway/crash_witness.h"
#include "libzinniastep/gateway/ending_watch.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// Parts whose requests are refused, as an operator sees them.
struct HeldParts {
  std::vector<PromptPartId> parts;
  std::size_t endings = 0;
  std::size_t requests = 0;
  // Only repeats of one request have all of the parts.
  bool is_one_request = false;
  Instant held_since;
  Instant last_ended_at;
  // Requests that this host refused.
  std::uint64_t refused = 0;
  // Trials that any host began.
  std::uint32_t trials = 0;
  // When the next trial may begin; empty if only an operator ends the hold.
  std::optional<Instant> next_trial;
};

// The request may be sent.
struct PartsAdmitted {};
// The request is the trial of parts that are held: it may be sent to one
// server.
struct PartsOnTrial {};
// The request has all of the held parts and is refused.
struct PartsHeld {
  std::vector<PromptPartId> parts;
  // Ends of servers that convict the parts, and the time since the last one.
  std::size_t endings = 0;
  Duration last_ended_ago{0};
  // Time until a trial may release the parts.
  Duration retry_after{0};
};

using PartAdmission = std::variant<PartsAdmitted, PartsOnTrial, PartsHeld>;

// Refuses requests with prompt parts that crash servers. A request's signature
// counts as one more part, which only its repeats share. All hosts derive the
// same held parts from the evidence that they exchange. An answer to any
// request with a held part releases it, and now and then one is sent as a
// trial. All tables are bounded.
class PartQuarantine {
 public:
  // `seed` differs between hosts.
  explicit PartQuarantine(std::uint64_t seed);

  // Notes sends that were unanswered when a server ended.
  auto OnEnding(Instant now,
                const BackendServerId& server,
                std::span<const UnansweredSend> sends) -> void;

  // Notes a send that this host ended itself before any part of its answer, at
  // `broken_at`. If the server ends within a second, it counts as one that was
  // unanswered then.
  auto OnLeft(const BackendServerId& server, const UnansweredSend& send)
      -> void;

  // Notes that a server answered a request with the parts.
  auto OnAnswered(Instant now, std::span<const PromptPartId> parts) -> void;

  // Notes that a server answered a request with the signature.
  auto OnRequestAnswered(Instant now, PromptPartId signature) -> void;

  // Merges what a peer reported. It takes effect with the next Update(), so
  // that many reports in a short time cost little.
  auto Merge(Instant now, const CrashReport& report) -> void;

  // The number of hosts of the fleet.
  auto SetHosts(std::size_t hosts) -> void { hosts_ = hosts; }

  // Decides on a request before it is sent to a server.
  [[nodiscard]] auto Admit(Instant now, std::span<const PromptPartId> parts)
      -> PartAdmission;
  // Returns whether the request is held, without a trial.
  [[nodiscard]] auto IsHeld(std::span<const PromptPartId> parts) const -> bool;

  // Releases the parts that are held with the given one. Returns whether any
  // are.
  auto Release(Instant now, PromptPartId part) -> bool;

  // Updates the held parts, which also change with time.
  auto Update(Instant now) -> void;

  // Returns what this host learned since the last call, for its peers.
  [[nodiscard]] auto TakeNews(Instant now) -> std::optional<CrashReport>;
  // Returns a summary that makes up for lost news, if there is any.
  [[nodiscard]] auto Summary(Instant now) const -> std::optional<CrashReport>;

  [[nodiscard]] auto held() const -> std::span<const HeldParts> {
    return held_;
  }
  // Grows with each change of which parts are held.
  [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
  [[nodiscard]] auto witness_count() const -> std::size_t {
    return witnesses_.size();
  }

 private:
  struct Trials {
    std::uint32_t count = 0;
    Instant last_at;
  };

  // A send that this host ended itself, and the hash of its server's id.
  struct LeftSend {
    std::uint64_t server = 0;
    UnansweredSend send;
  };

  auto AddWitness(std::uint64_t server,
                  const UnansweredSend& send,
                  Instant ended_at) -> void;
  // Adds the sends that were left shortly before the server ended.
  auto AddLeft(std::uint64_t server, Instant ended_at) -> void;
  [[nodiscard]] auto Find(std::span<const PromptPartId> parts) -> HeldParts*;
  // When the part, or the request with the signature, was last answered.
  [[nodiscard]] auto AnsweredAt(PromptPartId part) const
      -> std::optional<Instant>;
  // Marks the parts in the witnesses of earlier ends.
  auto ClearWitnesses(Instant now, std::span<const PromptPartId> parts) -> void;
  // Marks the parts that were answered after the witness's end.
  auto ClearAnswered(CrashWitness& witness) const -> void;
  auto Insert(CrashWitness witness) -> void;
  auto Expire(Instant now) -> void;
  auto EvictWitness() -> void;
  // Drops a witness and refuses it from then on: a peer that still has it would
  // send it again and again.
  auto Forget(std::uint64_t id) -> void;
  auto ScheduleTrial(HeldParts& held) -> void;
  [[nodiscard]] auto TrialsOf(std::span<const PromptPartId> parts) const
      -> Trials;
  [[nodiscard]] auto RowOf(Instant now, const CrashWitness& witness) const
      -> CrashRow;

  Random random_;
  AnsweredParts answered_;
  // Signatures, which are many and must not displace parts.
  AnsweredParts answered_requests_;
  std::map<std::uint64_t, CrashWitness> witnesses_;
  // Ids of witnesses that were dropped, in that order and to look them up.
  std::deque<std::uint64_t> forgotten_order_;
  std::unordered_set<std::uint64_t> forgotten_;
  std::deque<LeftSend> left_;
  std::map<PromptPartId, Trials> trials_;
  std::vector<HeldParts> held_;
  // Ids and parts that changed since they were reported.
  std::set<std::uint64_t> unsent_witnesses_;
  std::set<PromptPartId> unsent_trials_;
  std::uint64_t revision_ = 0;
  std::size_t hosts_ = 1;
  bool changed_ = false;
  // Until then the result can change by the time alone.
  Instant evaluate_until_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PART_QUARANTINE_H_
