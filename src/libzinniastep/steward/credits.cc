#include "libzinniastep/steward/credits.h"

#include <variant>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

Credits::Credits(const Membership& membership,
                 const Assignment& assignment,
                 const ConfigurationSnapshot& configuration,
                 StewardSettings settings,
                 std::uint64_t seed)
    : self_host_(membership.self().host),
      steward_(membership, assignment, configuration, settings, seed),
      desk_(membership.self(), assignment, steward_, settings),
      pool_table_(membership, assignment, configuration, settings, seed + 1),
      placement_(assignment, configuration, settings) {}

auto Credits::OnTime(Instant now, Effects& effects) -> void {
  steward_.OnTime(now, effects);
  desk_.OnTime(now, effects);
  pool_table_.OnTime(now, steward_, effects);
  placement_.OnTime(now, steward_, effects);
  PassLocalReplies(now, effects);
}

auto Credits::OnMessage(Instant now,
                        const PeerRef& from,
                        const StewardMessage& message,
                        Effects& effects) -> void {
  std::visit(
      Overloaded{
          [](const std::monostate&) {},
          [&](const CreditRequest& one) {
            steward_.OnRequest(now, one, effects);
          },
          [&](const CreditReply& one) {
            desk_.OnReply(now, from.host, one, effects);
          },
          [&](const CreditCancel& one) {
            steward_.OnCancel(now, one.ask, effects);
          },
          [&](const CreditReturn& one) {
            steward_.OnReturn(now, one, effects);
            effects.Do(SendToPeer{
                from.host, from.address,
                PeerMessage(StewardMessage(CreditReturned{one.credit}))});
          },
          [&](const CreditReturned& one) { desk_.OnReturned(from.host, one); },
          [&](const HandOver& one) { steward_.OnHandOver(now, one, effects); },
          [&](const CellReport& one) {
            steward_.OnCellReport(now, one);
            pool_table_.OnCellReport(now, one);
          },
          [&](const PoolDigest& one) {
            pool_table_.OnDigest(now, from, one, effects);
          },
          [&](const PoolUpdate& one) { pool_table_.OnUpdate(now, one); }},
      message);
  PassLocalReplies(now, effects);
}

auto Credits::OnLoadPolled(Instant now,
                           const LoadPolled& polled,
                           Effects& effects) -> void {
  steward_.OnLoadPolled(now, polled, effects);
  PassLocalReplies(now, effects);
}

auto Credits::OnOrderAnswered(Instant now,
                              const OrderAnswered& answered,
                              Effects& effects) -> void {
  placement_.OnOrderAnswered(now, answered, effects);
}

auto Credits::OnHostLost(const HostId& host) -> void {
  desk_.OnHostLost(host);
}

auto Credits::Ask(Instant now, const CreditAsk& ask, Effects& effects) -> void {
  desk_.Ask(now, ask, effects);
  PassLocalReplies(now, effects);
}

auto Credits::Return(Instant now,
                     const Credit& credit,
                     const CreditOutcome& outcome,
                     Effects& effects) -> void {
  desk_.Return(now, credit, outcome, effects);
  PassLocalReplies(now, effects);
}

auto Credits::Cancel(Instant now, const RequestId& request, Effects& effects)
    -> void {
  desk_.Cancel(now, request, effects);
  PassLocalReplies(now, effects);
}

auto Credits::pools() const -> std::span<const PoolSummary> {
  return pool_table_.pools();
}

// A reply may make the desk ask again at this host, which answers at once.
auto Credits::PassLocalReplies(Instant now, Effects& effects) -> void {
  for (std::vector<CreditReply> replies = steward_.TakeLocalReplies();
       !replies.empty(); replies = steward_.TakeLocalReplies()) {
    for (const CreditReply& reply : replies) {
      desk_.OnReply(now, self_host_, reply, effects);
    }
  }
}

}  // namespace zinniastep
