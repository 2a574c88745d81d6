#include "libzinniastep/node/node.h"

#include <optional>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/store_tokens.h"
#include "libzinniastep/node/address_list.h"
#include "libzinniastep/node/node_parts.h"
#include "libzinniastep/request/refusals.h"

namespace zinniastep {

// The node's aggregates and the way of events and notices between them.
class Node::Parts : public NodeParts {
 public:
  using NodeParts::NodeParts;

  auto On(Instant now, const TimePassed& passed, Effects& effects) -> void {
    requests.SetMinute(passed.minute);
    membership.OnTime(now, effects);
    configuration.OnTime(now, effects);
    assignment.OnTime(now, effects);
    credits.OnTime(now, effects);
    claims.OnTime(now, effects);
    bills.OnTime(now, effects);
    planner.OnTime(now);
    for (const RolloutProposal& proposal : rollouts.OnTime(now, effects)) {
      Propose(now, proposal, effects);
    }
    requests.OnTime(now, effects);
    CheckShutdown(now, effects);
  }

  auto On(Instant now, const ShutdownRequested& /*event*/, Effects& effects)
      -> void {
    if (!shutdown.Begin(now)) {
      return;
    }
    effects.Log("shutdown_begun",
                {{"open_requests", std::to_string(requests.open())}});
    membership.Leave(now, effects);
    bills.Flush(now, effects);
  }

  auto On(Instant now, const OperatorDrain& /*event*/, Effects& effects)
      -> void {
    On(now, ShutdownRequested{}, effects);
  }

  auto On(Instant now, const CallArrived& arrival, Effects& effects) -> void {
    requests.OnCall(now, arrival, WhyNoNewWork(now), effects);
  }

  auto On(Instant now, const CallerGone& gone, Effects& effects) -> void {
    requests.OnCallerGone(now, gone.call, effects);
  }

  auto On(Instant /*now*/,
          const AttemptFirstByte& /*event*/,
          Effects& /*effects*/) -> void {}

  auto On(Instant now, const AttemptEnded& ended, Effects& effects) -> void {
    requests.OnAttemptEnded(now, ended, effects);
  }

  auto On(Instant now, const StoreAnswered& answered, Effects& effects)
      -> void {
    switch (StoreTokens::User(answered.token)) {
      case StoreUser::kConfiguration:
      case StoreUser::kRollout:
        configuration.OnStore(now, answered, effects);
        return;
      case StoreUser::kAssignment:
      case StoreUser::kPlacement:
        assignment.OnStore(now, answered, effects);
        return;
      case StoreUser::kClaim:
        claims.OnStore(now, answered, effects);
        return;
      case StoreUser::kBilling:
        bills.OnStore(now, answered, effects);
        return;
    }
  }

  auto On(Instant now, const PeerMessageArrived& arrived, Effects& effects)
      -> void {
    const PeerRef from{arrived.from, arrived.from_incarnation,
                       arrived.from_address};
    std::visit(Overloaded{[&](const MembershipMessage& message) {
                            membership.OnMessage(now, from, message, effects);
                          },
                          [&](const AssignmentMessage& message) {
                            assignment.OnMessage(now, from, message, effects);
                          },
                          [&](const ClaimMessage& message) {
                            claims.OnMessage(now, from, message, effects);
                          },
                          [&](const BillingMessage& message) {
                            bills.OnMessage(now, from, message, effects);
                          },
                          [&](const StewardMessage& message) {
                            credits.OnMessage(now, from, message, effects);
                          },
                          [&](const ConfigurationMessage& message) {
                            configuration.OnMessage(now, from, message,
                                                    effects);
                          },
                          [&](const EvidenceMessage& message) {
                            rollouts.OnMessage(now, from, message, effects);
                          },
                          [](const GatewayMessage&) {
                            // Hosts of a gateway fleet talk among themselves.
                          }},
               arrived.message);
  }

  auto On(Instant now, const HostListRead& list, Effects& /*effects*/) -> void {
    membership.OnHostList(now, list);
  }

  auto On(Instant now, const LoadPolled& polled, Effects& effects) -> void {
    credits.OnLoadPolled(now, polled, effects);
  }

  auto On(Instant now, const OrderAnswered& answered, Effects& effects)
      -> void {
    credits.OnOrderAnswered(now, answered, effects);
  }

  auto On(Instant /*now*/, const AnswerRated& rated, Effects& /*effects*/)
      -> void {
    requests.OnRated(rated);
  }

  auto Heed(Instant now, const ClaimDecided& notice, Effects& effects) -> void {
    requests.OnClaimDecided(now, notice, effects);
  }

  auto Heed(Instant now, const CreditDecided& notice, Effects& effects)
      -> void {
    requests.OnCreditDecided(now, notice, effects);
  }

  auto Heed(Instant now, const BillSecured& notice, Effects& effects) -> void {
    requests.OnBillSecured(now, notice, effects);
  }

  auto Heed(Instant /*now*/, const HostJoined& notice, Effects& effects)
      -> void {
    effects.Log("host_joined", {{"host", notice.host.text()}});
  }

  auto Heed(Instant now, const HostLost& notice, Effects& effects) -> void {
    effects.Log("host_lost", {{"host", notice.host.text()}});
    claims.OnHostLost(now, notice.incarnation, effects);
    bills.OnHostLost(now, notice.incarnation, effects);
  }

  auto Heed(Instant /*now*/,
            const ConfigurationChanged& /*notice*/,
            Effects& /*effects*/) -> void {
    accounts.OnConfigurationChanged();
  }

  auto Heed(Instant /*now*/, const AssignmentChanged& notice, Effects& effects)
      -> void {
    effects.Log("assignment_changed", {{"domain", notice.domain.text()}});
  }

  auto Heed(Instant /*now*/, const VersionAlarmed& notice, Effects& effects)
      -> void {
    effects.Log("version_alarmed", {{"version", ToString(notice.version)},
                                    {"reason", notice.reason}});
  }

  // Dispatches notices until there are none, then returns the actions.
  auto Settle(Instant now, Effects& effects) -> std::vector<Action> {
    for (auto notices = effects.TakeNotices(); !notices.empty();
         notices = effects.TakeNotices()) {
      for (const Notice& notice : notices) {
        std::visit([&](const auto& typed) { this->Heed(now, typed, effects); },
                   notice);
      }
    }
    return FillAddresses(effects.TakeActions());
  }

  [[nodiscard]] auto WhyNoNewWork(Instant now) const -> std::optional<Refusal> {
    if (shutdown.begun()) {
      return RefusedDraining();
    }
    if (!configuration.HasNews(now)) {
      return RefusedWithoutNews();
    }
    return std::nullopt;
  }

 private:
  auto Propose(Instant now, const RolloutProposal& proposal, Effects& effects)
      -> void {
    const auto document =
        configuration.snapshot().documents.find(proposal.team);
    if (document == configuration.snapshot().documents.end()) {
      return;
    }
    auto changed = ApplyProposal(document->second, proposal);
    if (!changed.has_value()) {
      return;
    }
    effects.Log("rollout_decision", {{"rollout", proposal.rollout.text()},
                                     {"kind", ToString(proposal.kind)},
                                     {"version", ToString(proposal.version)},
                                     {"reason", proposal.reason}});
    const absl::Status status =
        configuration.ProposeDocument(now, std::move(*changed), effects);
    if (!status.ok()) {
      effects.Log("rollout_proposal_refused",
                  {{"rollout", proposal.rollout.text()},
                   {"reason", std::string(status.message().data(),
                                          status.message().size())}});
    }
  }

  auto CheckShutdown(Instant now, Effects& effects) -> void {
    if (shutdown.MustEndRequests(now)) {
      effects.Log("shutdown_ends_requests",
                  {{"open_requests", std::to_string(requests.open())}});
      requests.EndAll(now, effects);
    }
    const OpenWork open{requests.open(), claims.open_reports(),
                        bills.unflushed()};
    if (shutdown.IsOver(now, open)) {
      effects.Log("shutdown_complete",
                  {{"open_requests", std::to_string(open.requests)},
                   {"unflushed_bills", std::to_string(open.bills)}});
      effects.Do(ShutdownComplete{});
    }
  }

  [[nodiscard]] auto FillAddresses(std::vector<Action> actions) const
      -> std::vector<Action> {
    for (Action& action : actions) {
      auto* send = std::get_if<SendToPeer>(&action);
      if (send == nullptr || !send->address.empty()) {
        continue;
      }
      if (const HostIdentity* host = membership.Find(send->to)) {
        send->address = host->peer_address;
      }
    }
    return actions;
  }
};

Node::Node(HostIdentity self, NodeOptions options, std::uint64_t seed)
    : parts_(
          std::make_unique<Parts>(std::move(self), std::move(options), seed)) {}

Node::~Node() = default;

auto Node::Handle(Instant now, const Event& event) -> std::vector<Action> {
  Effects effects;
  std::visit([&](const auto& typed) { parts_->On(now, typed, effects); },
             event);
  return parts_->Settle(now, effects);
}

auto Node::Addresses() const -> AddressAdvice {
  AddressAdvice advice;
  advice.addresses =
      CallerAddresses(parts_->membership, parts_->self,
                      parts_->shutdown.begun(), parts_->options.most_addresses);
  advice.time_to_live = parts_->options.address_time_to_live;
  if (!parts_->shutdown.begun()) {
    advice.key_prefix = parts_->claims.key_prefix();
  }
  return advice;
}

auto Node::Models(std::string_view key_digest) const -> ModelAdvice {
  const Account* account = parts_->accounts.Authenticate(key_digest);
  if (account == nullptr) {
    return {};
  }
  return {true, parts_->accounts.ListModels(*account)};
}

auto Node::State(Instant now) const -> NodeState {
  NodeState state;
  state.self = parts_->self;
  state.ready = IsReady(now);
  state.draining = parts_->shutdown.begun();
  state.has_news = parts_->configuration.HasNews(now);
  state.open_requests = parts_->requests.open();
  state.unflushed_bills = parts_->bills.unflushed();
  state.exposed_bills = parts_->bills.exposed();
  state.members = parts_->membership.live_hosts();
  const ConfigurationSnapshot& snapshot = parts_->configuration.snapshot();
  for (const auto& [team, document] : snapshot.documents) {
    state.configuration.push_back(
        {ObjectPath("config/" + team.text()), document.generation});
  }
  state.configuration.push_back(
      {ObjectPath("topology/domains"), snapshot.domains.generation});
  for (const auto& [domain, roster] : snapshot.rosters) {
    state.configuration.push_back(
        {ObjectPath("topology/servers/" + domain.text()), roster.generation});
  }
  return state;
}

auto Node::Explain(const RequestId& request) const -> std::string {
  return DecisionsAsJson(parts_->decisions.Find(request));
}

auto Node::IsReady(Instant now) const -> bool {
  return !parts_->WhyNoNewWork(now).has_value() &&
         !parts_->configuration.snapshot().documents.empty() &&
         parts_->assignment.HasTables();
}

}  // namespace zinniastep
