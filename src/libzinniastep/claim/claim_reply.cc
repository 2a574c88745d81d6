#include "libzinniastep/claim/claim_reply.h"

#include <memory>
#include <optional>

namespace zinniastep {

namespace {

constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kServiceUnavailable = 503;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

auto MakeVerdict(const ClaimAsk& ask, ClaimAnswer answer) -> ClaimVerdict {
  ClaimVerdict verdict;
  verdict.request = ask.request;
  verdict.key = ask.key;
  verdict.home = ask.home;
  verdict.answer = answer;
  return verdict;
}

auto MakeVerdict(const ClaimAsk& ask,
                 ClaimAnswer answer,
                 const ReplayCache& replays) -> ClaimVerdict {
  ClaimVerdict verdict = MakeVerdict(ask, answer);
  if (answer != ClaimAnswer::kReplayed) {
    return verdict;
  }
  const SharedAnswer kept = replays.Find(ask.key);
  if (kept == nullptr) {
    verdict.answer = ClaimAnswer::kRan;
    return verdict;
  }
  verdict.status = kept->status;
  verdict.content_type = kept->content_type;
  verdict.body = kept->body;
  return verdict;
}

auto AnswerOf(const ClaimVerdict& verdict) -> SharedAnswer {
  if (verdict.answer != ClaimAnswer::kReplayed) {
    return nullptr;
  }
  return std::make_shared<const Answer>(
      Answer{verdict.status, verdict.content_type, verdict.body});
}

auto AnswerOf(const ClaimReport& report) -> SharedAnswer {
  if (!report.has_answer) {
    return nullptr;
  }
  return std::make_shared<const Answer>(
      Answer{report.status, report.content_type, report.body});
}

auto RefusalFor(ClaimAnswer answer) -> Refusal {
  switch (answer) {
    case ClaimAnswer::kRan:
      return {kConflict, "idempotency_key_ran",
              "the key's request has run; its answer is no longer kept",
              RunState::kRan, Duration(0)};
    case ClaimAnswer::kUnknown:
      return {kConflict, "idempotency_outcome_unknown",
              "whether the key's request ran is not known; it will not run "
              "again",
              RunState::kUnknown, Duration(0)};
    case ClaimAnswer::kReused:
      return {kUnprocessable, "idempotency_key_reused",
              "the key was used with another body", RunState::kNotRun,
              Duration(0)};
    case ClaimAnswer::kExpired:
      return {kConflict, "idempotency_key_expired",
              "the key's time is over; it will not run", RunState::kUnknown,
              Duration(0)};
    case ClaimAnswer::kUnavailable:
      return {kServiceUnavailable, "claim_unavailable",
              "the key has not run and cannot be claimed now",
              RunState::kNotRun, kRetryAfter};
    case ClaimAnswer::kGranted:
    case ClaimAnswer::kReplayed:
    case ClaimAnswer::kWait:
    case ClaimAnswer::kUntold:
      break;
  }
  return {kServiceUnavailable, "claim_undecided",
          "this request has not run; whether an earlier one of its key did "
          "cannot be told now",
          RunState::kUnknown, kRetryAfter};
}

auto AskHolder(const ClusterView& cluster,
               const ClaimEntry& entry,
               const KeyDigest& key,
               const HomeBinding& home,
               ClaimOutbox& outbox) -> void {
  const Incarnation incarnation = entry.request.incarnation;
  std::optional<HostIdentity> holder;
  if (incarnation == cluster.self().incarnation) {
    holder = cluster.self();
  } else {
    holder = cluster.FindIncarnation(incarnation);
  }
  if (!holder) {
    return;
  }
  ClaimVerdict reminder;
  reminder.request = entry.request;
  reminder.key = key;
  reminder.home = home;
  reminder.answer = ClaimAnswer::kGranted;
  outbox.Send(PeerOf(*holder), reminder);
}

auto PeerOf(const HostIdentity& host) -> PeerRef {
  return PeerRef{host.host, host.incarnation, host.peer_address};
}

}  // namespace zinniastep
