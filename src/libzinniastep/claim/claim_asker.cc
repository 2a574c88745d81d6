#include "libzinniastep/claim/claim_asker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libzinniastep/claim/claim_reply.h"

namespace zinniastep {

namespace {

auto Decide(const RequestId& request, Refusal refusal, Effects& effects)
    -> void {
  effects.Log("claim_refused",
              {{"request", ToString(request)}, {"code", refusal.code}});
  effects.Tell(ClaimDecided{request, ClaimRefused{std::move(refusal)}});
}

}  // namespace

ClaimAsker::ClaimAsker(const ClusterView& cluster, const ClaimLimits& limits)
    : cluster_(&cluster), limits_(limits) {}

auto ClaimAsker::Begin(Instant now,
                       const ClaimAsk& ask,
                       Duration deadline,
                       ClaimOutbox& outbox) -> void {
  OpenAsk open;
  open.ask = ask;
  open.until = now + deadline;
  open.resend.interval = limits_.first_resend;
  const auto [item, added] = asks_.emplace(ask.request, std::move(open));
  if (added) {
    SendAsk(now, item->second, outbox);
  }
}

auto ClaimAsker::End(Instant now,
                     const RequestId& request,
                     ClaimOutcome outcome,
                     const SharedAnswer& answer,
                     ClaimOutbox& outbox) -> void {
  ClaimAsk ask;
  if (const auto granted = granted_.find(request); granted != granted_.end()) {
    ask = granted->second;
    granted_.erase(granted);
  } else if (const auto open = asks_.find(request); open != asks_.end()) {
    ask = open->second.ask;
    outcome = ClaimOutcome::kNotRun;
    asks_.erase(open);
  } else {
    return;
  }
  if (outcome == ClaimOutcome::kNotRun) {
    RememberNotRun(request);
  }
  ClaimReport report;
  report.request = request;
  report.key = ask.key;
  report.home = ask.home;
  report.outcome = outcome;
  if (answer != nullptr && outcome == ClaimOutcome::kRan &&
      answer->body.size() <= limits_.longest_replay) {
    report.has_answer = true;
    report.status = answer->status;
    report.content_type = answer->content_type;
    report.body = answer->body;
  }
  AddReport(now, report, outbox);
}

auto ClaimAsker::OnVerdict(Instant now,
                           const PeerRef& from,
                           const ClaimVerdict& verdict,
                           ClaimOutbox& outbox,
                           Effects& effects) -> void {
  const RequestId& request = verdict.request;
  if (request.incarnation != cluster_->self().incarnation) {
    return;
  }
  const auto found = asks_.find(request);
  if (found == asks_.end()) {
    if (verdict.answer == ClaimAnswer::kGranted &&
        !granted_.contains(request) && !reports_.contains(request)) {
      ClaimReport report;
      report.request = request;
      report.key = verdict.key;
      report.outcome = not_run_.contains(request) ? ClaimOutcome::kNotRun
                                                  : ClaimOutcome::kUnknown;
      report.home = verdict.home;
      outbox.Send(from, report);
    }
    return;
  }
  if (verdict.answer == ClaimAnswer::kWait) {
    found->second.resend.interval = limits_.longest_resend;
    return;
  }
  // "Not run" that comes late, as after a pause, may no longer hold.
  const bool stale =
      verdict.answer == ClaimAnswer::kUnavailable && now >= found->second.until;
  if (verdict.report_wanted) {
    End(now, request, ClaimOutcome::kNotRun, nullptr, outbox);
    Decide(request, RefusalFor(stale ? ClaimAnswer::kUntold : verdict.answer),
           effects);
    return;
  }
  const ClaimAsk ask = found->second.ask;
  asks_.erase(found);
  if (verdict.answer == ClaimAnswer::kGranted) {
    granted_.emplace(request, ask);
    effects.Tell(ClaimDecided{request, ClaimGranted{}});
    return;
  }
  RememberNotRun(request);
  if (const SharedAnswer answer = AnswerOf(verdict)) {
    effects.Tell(ClaimDecided{request, ClaimReplayed{answer}});
    return;
  }
  Decide(request, RefusalFor(stale ? ClaimAnswer::kUntold : verdict.answer),
         effects);
}

auto ClaimAsker::OnReportTaken(const ClaimReportTaken& taken) -> void {
  reports_.erase(taken.request);
}

auto ClaimAsker::OnTime(Instant now, ClaimOutbox& outbox, Effects& effects)
    -> void {
  ExpireAsks(now, outbox, effects);
  for (auto& [request, open] : asks_) {
    if (now >= open.resend.next) {
      SendAsk(now, open, outbox);
    }
  }
  ResendReports(now, outbox);
}

auto ClaimAsker::AuthorityOf(const KeyDigest& key,
                             const HomeBinding& home) const
    -> std::optional<PeerRef> {
  Incarnation incarnation = home.incarnation;
  if (incarnation == 0) {
    const auto holder = cluster_->KeyShardHolder(ShardOf(key));
    if (!holder) {
      return std::nullopt;
    }
    incarnation = holder->incarnation;
  }
  if (incarnation == cluster_->self().incarnation) {
    return PeerOf(cluster_->self());
  }
  const auto host = cluster_->FindIncarnation(incarnation);
  if (!host) {
    return std::nullopt;
  }
  return PeerOf(*host);
}

auto ClaimAsker::SendAsk(Instant now, OpenAsk& open, ClaimOutbox& outbox)
    -> void {
  open.resend.next = now + open.resend.interval;
  const auto authority = AuthorityOf(open.ask.key, open.ask.home);
  if (!authority) {
    if (!open.home_missing_since) {
      open.home_missing_since = now;
    }
    return;
  }
  open.home_missing_since.reset();
  open.ask.patience = (open.until - now).count();
  outbox.Send(*authority, open.ask);
  open.resend.interval =
      std::min(open.resend.interval * 2, limits_.longest_resend);
}

auto ClaimAsker::SendReport(Instant now, OpenReport& open, ClaimOutbox& outbox)
    -> void {
  open.resend.next = now + open.resend.interval;
  const ClaimReport& report = open.report;
  if (const auto authority = AuthorityOf(report.key, report.home)) {
    outbox.Send(*authority, report);
  }
  open.resend.interval =
      std::min(open.resend.interval * 2, limits_.longest_report_resend);
}

auto ClaimAsker::AddReport(Instant now,
                           const ClaimReport& report,
                           ClaimOutbox& outbox) -> void {
  if (reports_.size() >= limits_.open_reports) {
    reports_.erase(reports_.begin());
  }
  OpenReport open;
  open.report = report;
  open.until = now + limits_.report_patience;
  open.resend.interval = limits_.first_resend;
  const auto item = reports_.emplace(report.request, std::move(open)).first;
  SendReport(now, item->second, outbox);
}

auto ClaimAsker::RememberNotRun(const RequestId& request) -> void {
  if (!not_run_.insert(request).second) {
    return;
  }
  not_run_order_.push_back(request);
  if (not_run_order_.size() > limits_.open_reports) {
    not_run_.erase(not_run_order_.front());
    not_run_order_.pop_front();
  }
}

auto ClaimAsker::ExpireAsks(Instant now, ClaimOutbox& outbox, Effects& effects)
    -> void {
  std::vector<std::pair<RequestId, ClaimAnswer>> over;
  for (const auto& [request, open] : asks_) {
    const bool home_gone =
        open.ask.home.incarnation != 0 && open.home_missing_since &&
        now - *open.home_missing_since >= limits_.home_search;
    if (home_gone) {
      over.emplace_back(request, ClaimAnswer::kUnknown);
    } else if (now >= open.until) {
      over.emplace_back(request, ClaimAnswer::kUntold);
    }
  }
  for (const auto& [request, answer] : over) {
    End(now, request, ClaimOutcome::kNotRun, nullptr, outbox);
    Decide(request, RefusalFor(answer), effects);
  }
}

auto ClaimAsker::ResendReports(Instant now, ClaimOutbox& outbox) -> void {
  std::erase_if(reports_, [this, now](const auto& item) {
    const OpenReport& open = item.second;
    const bool home_gone =
        open.report.home.incarnation != 0 &&
        !AuthorityOf(open.report.key, open.report.home) &&
        now + limits_.report_patience >= open.until + limits_.home_search;
    return now >= open.until || home_gone;
  });
  for (auto& [request, open] : reports_) {
    if (now >= open.resend.next) {
      SendReport(now, open, outbox);
    }
  }
}

}  // namespace zinniastep
