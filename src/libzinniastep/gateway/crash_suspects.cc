#include "libzinniastep/gateway/crash_suspects.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace zinniastep {

namespace {

// Hosts notice the end of one server within this time of each other.
constexpr Duration kSameEnding = std::chrono::seconds(1);
// Ends with this time between them have different causes, or one that goes on.
constexpr Duration kSeparateEndings = std::chrono::milliseconds(500);
// Servers that end within this time have one cause, as far as anyone can tell.
constexpr Duration kJointEndings = std::chrono::milliseconds(20);
// Tolerance for a send that began when the end before it was noticed, on
// another host's clock.
constexpr Duration kClockTolerance = std::chrono::milliseconds(20);

// Answers to parts that are asked for often come at other hosts as well, which
// report them within this time.
constexpr Duration kAnswerReportTime = std::chrono::milliseconds(500);

// What a conviction takes.
struct Threshold {
  std::size_t requests = 0;
  // Moments at which servers ended, together or alone.
  std::size_t moments = 0;
  // Moments of which none can have had the cause of the one before.
  std::size_t sequence = 0;
};

constexpr Threshold kManyRequests{3, 3, 2};
// Requests that were repeated.
constexpr Threshold kFewRequests{2, 4, 3};
// For signatures, which only the repeats of one request share.
constexpr Threshold kOneRequest{1, 3, 3};
// For parts that were answered before, and at ends that another part explains.
constexpr Threshold kLikelySound{4, 4, 3};
constexpr std::size_t kMaxSuspects = 16;

// Returns a number for each witness that is the same for the same ending.
auto NumberEndings(std::span<const CrashWitness> witnesses)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> order(witnesses.size());
  for (std::size_t index = 0; index < order.size(); ++index) {
    order[index] = index;
  }
  std::ranges::sort(order, {}, [&](std::size_t index) {
    return std::pair(witnesses[index].server, witnesses[index].ended_at);
  });
  std::vector<std::size_t> numbers(witnesses.size());
  std::size_t number = 0;
  const CrashWitness* first = nullptr;
  for (const std::size_t index : order) {
    const CrashWitness& witness = witnesses[index];
    if (first == nullptr || first->server != witness.server ||
        witness.ended_at - first->ended_at > kSameEnding) {
      ++number;
      first = &witness;
    }
    numbers[index] = number;
  }
  return numbers;
}

// Witnesses against one part, in the order of their ends.
struct Support {
  std::vector<std::size_t> witnesses;
  std::size_t endings = 0;
  std::size_t requests = 0;
  std::size_t moments = 0;
  std::size_t sequence = 0;
  bool is_known = false;
  bool is_signature = false;
};

// Counts the moments of the ends and their sequence.
auto CountMoments(std::span<const CrashWitness> witnesses, Support& support)
    -> void {
  support.moments = 0;
  support.sequence = 0;
  Instant moment;
  Instant last;
  for (const std::size_t index : support.witnesses) {
    const CrashWitness& witness = witnesses[index];
    if (support.moments > 0 && witness.ended_at - moment < kJointEndings) {
      continue;
    }
    ++support.moments;
    moment = witness.ended_at;
    const Instant sent_at = witness.ended_at - witness.took;
    if (support.sequence == 0 || sent_at + kClockTolerance >= last ||
        witness.ended_at - last >= kSeparateEndings) {
      ++support.sequence;
      last = witness.ended_at;
    }
  }
}

auto Meets(const Support& support, const Threshold& threshold) -> bool {
  return support.requests >= threshold.requests &&
         support.moments >= threshold.moments &&
         support.sequence >= threshold.sequence;
}

// The parts that are uncleared in all of the witnesses.
auto CommonParts(std::span<const CrashWitness> witnesses,
                 const Support& support) -> std::vector<PromptPartId> {
  std::map<PromptPartId, std::size_t> counts;
  for (const std::size_t index : support.witnesses) {
    const CrashWitness& witness = witnesses[index];
    std::set<PromptPartId> uncleared;
    for (std::size_t part = 0; part < witness.parts.size(); ++part) {
      if (!witness.is_cleared(part)) {
        uncleared.insert(witness.parts[part]);
      }
    }
    for (const PromptPartId part : uncleared) {
      ++counts[part];
    }
  }
  std::vector<PromptPartId> common;
  for (const auto& [part, count] : counts) {
    if (count == support.witnesses.size()) {
      common.push_back(part);
    }
  }
  return common;
}

// Whether one of the parts is the signature of the witness's request.
auto HasSignature(const CrashWitness& witness,
                  std::span<const PromptPartId> parts) -> bool {
  for (std::size_t part = 0; part < witness.parts.size(); ++part) {
    if (witness.is_signature(part) &&
        std::ranges::find(parts, witness.parts[part]) != parts.end()) {
      return true;
    }
  }
  return false;
}

// Finds the parts that are convicted, one after the other.
class Conviction {
 public:
  Conviction(Instant now, std::span<const CrashWitness> witnesses)
      : now_(now),
        witnesses_(witnesses),
        endings_(NumberEndings(witnesses)),
        is_explained_(witnesses.size(), false),
        by_end_(witnesses.size()) {
    for (std::size_t index = 0; index < by_end_.size(); ++index) {
      by_end_[index] = index;
    }
    std::ranges::sort(by_end_, {}, [&](std::size_t index) {
      return std::pair(witnesses[index].ended_at, witnesses[index].id);
    });
  }

  // Returns the support of the convicted part that explains the most, if any.
  [[nodiscard]] auto Strongest() const -> std::optional<Support> {
    std::map<PromptPartId, Support> supports;
    for (const std::size_t index : by_end_) {
      if (!is_explained_[index]) {
        AddWitness(index, supports);
      }
    }
    std::optional<Support> strongest;
    for (auto& [part, support] : supports) {
      Prune(support);
      if (IsConvicted(support) &&
          (!strongest.has_value() || Rank(support) > Rank(*strongest))) {
        strongest = support;
      }
    }
    return strongest;
  }

  // Takes the ends that requests with all of the parts were at as explained.
  auto Explain(std::span<const PromptPartId> parts) -> void {
    for (std::size_t index = 0; index < witnesses_.size(); ++index) {
      const auto& own = witnesses_[index].parts;
      if (std::ranges::all_of(parts, [&](PromptPartId part) {
            return std::ranges::find(own, part) != own.end();
          })) {
        is_explained_[index] = true;
        explained_endings_.insert(endings_[index]);
      }
    }
  }

 private:
  static auto Rank(const Support& support)
      -> std::tuple<bool, std::size_t, bool, std::size_t> {
    // A part that explains no more than one request does is not to blame.
    return {!support.is_known, support.endings, support.is_signature,
            support.requests};
  }

  auto AddWitness(std::size_t index,
                  std::map<PromptPartId, Support>& supports) const -> void {
    const CrashWitness& witness = witnesses_[index];
    for (std::size_t part = 0; part < witness.parts.size(); ++part) {
      if (witness.is_cleared(part)) {
        continue;
      }
      Support& support = supports[witness.parts[part]];
      if (support.witnesses.empty() || support.witnesses.back() != index) {
        support.witnesses.push_back(index);
      }
      support.is_known = support.is_known || witness.is_known(part);
      support.is_signature = support.is_signature || witness.is_signature(part);
    }
  }

  auto Prune(Support& support) const -> void {
    if (support.is_known) {
      std::erase_if(support.witnesses, [this](std::size_t index) {
        return now_ - witnesses_[index].ended_at < kAnswerReportTime;
      });
    }
    Count(support);
  }

  auto Count(Support& support) const -> void {
    std::set<std::size_t> endings;
    std::set<std::uint64_t> requests;
    for (const std::size_t index : support.witnesses) {
      endings.insert(endings_[index]);
      requests.insert(witnesses_[index].request);
    }
    support.endings = endings.size();
    support.requests = requests.size();
    CountMoments(witnesses_, support);
  }

  [[nodiscard]] auto IsConvicted(const Support& support) const -> bool {
    Support unexplained = support;
    std::erase_if(unexplained.witnesses, [this](std::size_t index) {
      return explained_endings_.contains(endings_[index]);
    });
    Count(unexplained);
    if (support.is_known) {
      return Meets(unexplained, kLikelySound);
    }
    return (support.is_signature && Meets(unexplained, kOneRequest)) ||
           Meets(unexplained, kManyRequests) ||
           Meets(unexplained, kFewRequests) || Meets(support, kLikelySound);
  }

  Instant now_;
  std::span<const CrashWitness> witnesses_;
  std::vector<std::size_t> endings_;
  std::vector<bool> is_explained_;
  std::set<std::size_t> explained_endings_;
  std::vector<std::size_t> by_end_;
};

}  // namespace

auto FindCrashSuspects(Instant now, std::span<const CrashWitness> witnesses)
    -> std::vector<CrashSuspect> {
  Conviction conviction(now, witnesses);
  std::vector<CrashSuspect> suspects;
  while (suspects.size() < kMaxSuspects) {
    const auto support = conviction.Strongest();
    if (!support.has_value()) {
      break;
    }
    CrashSuspect suspect;
    suspect.parts = CommonParts(witnesses, *support);
    suspect.endings = support->endings;
    suspect.requests = support->requests;
    for (const std::size_t index : support->witnesses) {
      suspect.is_one_request = suspect.is_one_request ||
                               HasSignature(witnesses[index], suspect.parts);
      suspect.last_ended_at =
          std::max(suspect.last_ended_at, witnesses[index].ended_at);
    }
    conviction.Explain(suspect.parts);
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

}  // namespace zinniastep
