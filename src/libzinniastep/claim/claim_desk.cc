#include "libzinniastep/claim/claim_desk.h"

#include <variant>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/claim/claim_reply.h"

namespace zinniastep {

ClaimDesk::ClaimDesk(const ClusterView& cluster, ClaimLimits limits)
    : cluster_(&cluster),
      limits_(limits),
      home_(cluster, limits),
      shards_(cluster, limits),
      asker_(cluster, limits) {}

auto ClaimDesk::Begin(Instant now,
                      const RequestId& request,
                      const ClientAccountId& account,
                      const IdempotencyKey& key,
                      std::uint64_t body_hash,
                      Duration deadline,
                      Effects& effects) -> void {
  ClaimAsk ask;
  ask.request = request;
  ask.key = DigestOf(account, key);
  ask.body_hash = body_hash;
  ask.home = ParseHome(key.text()).value_or(HomeBinding{});
  asker_.Begin(now, ask, deadline, outbox_);
  Settle(now, effects);
}

auto ClaimDesk::Finish(Instant now,
                       const RequestId& request,
                       const SharedAnswer& answer,
                       Effects& effects) -> void {
  asker_.End(now, request, ClaimOutcome::kRan, answer, outbox_);
  Settle(now, effects);
}

auto ClaimDesk::GiveBack(Instant now,
                         const RequestId& request,
                         Effects& effects) -> void {
  asker_.End(now, request, ClaimOutcome::kNotRun, nullptr, outbox_);
  Settle(now, effects);
}

auto ClaimDesk::MarkUnknown(Instant now,
                            const RequestId& request,
                            Effects& effects) -> void {
  asker_.End(now, request, ClaimOutcome::kUnknown, nullptr, outbox_);
  Settle(now, effects);
}

auto ClaimDesk::MintKey(const RequestId& request) const -> IdempotencyKey {
  return IdempotencyKey(key_prefix() + ToString(request));
}

auto ClaimDesk::key_prefix() const -> std::string {
  return HomePrefix(home_.binding());
}

auto ClaimDesk::open_reports() const -> std::size_t {
  return asker_.open_reports();
}

auto ClaimDesk::OnTime(Instant now, Effects& effects) -> void {
  home_.OnTime(now);
  shards_.OnTime(now, outbox_, effects);
  asker_.OnTime(now, outbox_, effects);
  Settle(now, effects);
}

auto ClaimDesk::OnMessage(Instant now,
                          const PeerRef& from,
                          const ClaimMessage& message,
                          Effects& effects) -> void {
  Deliver(now, from, message, effects);
  Settle(now, effects);
}

auto ClaimDesk::OnStore(Instant now,
                        const StoreAnswered& answered,
                        Effects& effects) -> void {
  shards_.OnStore(now, answered, outbox_, effects);
  Settle(now, effects);
}

auto ClaimDesk::OnHostLost(Instant now,
                           Incarnation incarnation,
                           Effects& effects) -> void {
  home_.OnHostLost(now, incarnation, outbox_);
  shards_.OnHostLost(now, incarnation);
  Settle(now, effects);
}

auto ClaimDesk::Deliver(Instant now,
                        const PeerRef& from,
                        const ClaimMessage& message,
                        Effects& effects) -> void {
  const Incarnation self = cluster_->self().incarnation;
  std::visit(
      Overloaded{
          [](const std::monostate&) {},
          [&](const ClaimAsk& ask) {
            if (ask.home.incarnation == 0) {
              shards_.OnAsk(now, from, ask, outbox_);
            } else if (ask.home.incarnation == self) {
              home_.OnAsk(now, from, ask, outbox_);
            }
          },
          [&](const ClaimVerdict& verdict) {
            asker_.OnVerdict(now, from, verdict, outbox_, effects);
          },
          [&](const ClaimReport& report) {
            if (report.home.incarnation == 0) {
              shards_.OnReport(now, from, report, outbox_);
            } else if (report.home.incarnation == self) {
              home_.OnReport(now, from, report, outbox_);
            }
          },
          [&](const ClaimReportTaken& taken) { asker_.OnReportTaken(taken); },
      },
      message);
}

auto ClaimDesk::Settle(Instant now, Effects& effects) -> void {
  const PeerRef self = PeerOf(cluster_->self());
  for (auto messages = outbox_.Take(); !messages.empty();
       messages = outbox_.Take()) {
    for (AddressedClaim& addressed : messages) {
      if (addressed.to.incarnation == self.incarnation) {
        Deliver(now, self, addressed.message, effects);
      } else {
        effects.Do(SendToPeer{addressed.to.host, addressed.to.address,
                              PeerMessage(std::move(addressed.message))});
      }
    }
  }
}

}  // namespace zinniastep
