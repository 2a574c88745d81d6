#include "libzinniastep/request/intake.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/request/refusals.h"

namespace zinniastep {

namespace {

// How long a request may take when its caller sets no deadline.
constexpr Duration kDefaultDeadline = std::chrono::seconds(60);
constexpr Duration kLongestDeadline = std::chrono::minutes(10);
constexpr std::string_view kAnyModel = "auto";

auto DeadlineOf(const CallArrived& arrival) -> Duration {
  if (arrival.deadline <= Duration(0)) {
    return kDefaultDeadline;
  }
  return std::min(arrival.deadline, kLongestDeadline);
}

}  // namespace

Intake::Intake(const ConfigurationSnapshot& configuration,
               const AccountDirectory& accounts,
               const SessionTokens& sessions,
               const Rollouts& rollouts,
               const CascadePlanner& planner)
    : configuration_(configuration),
      accounts_(accounts),
      sessions_(sessions),
      rollouts_(rollouts),
      planner_(planner) {}

auto Intake::Accept(Instant now,
                    const CallArrived& arrival,
                    const RequestId& id) const
    -> std::variant<Request, Refusal> {
  const Account* account = accounts_.Authenticate(arrival.key_digest);
  if (account == nullptr) {
    return RefusedUnauthenticated();
  }
  Request request;
  request.id = id;
  request.arrival = arrival;
  request.team = account->team;
  request.account = account->rule.id;
  request.share = account->rule.share;
  request.arrived = now;
  request.deadline = now + DeadlineOf(arrival);
  if (const auto* call = std::get_if<ServiceCall>(&arrival.target)) {
    const ServiceRule* service = configuration_.FindService(call->service);
    if (service == nullptr) {
      return RefusedUnknownService();
    }
    if (!accounts_.Allows(*account, call->service)) {
      return RefusedNotAllowed();
    }
    request.at_most_once = !service->idempotent;
    return request;
  }
  request.pins = sessions_.Verify(arrival.session_token, arrival.session)
                     .value_or(SessionPins{arrival.session, {}});
  if (auto refusal = Plan(request); refusal.has_value()) {
    return *refusal;
  }
  return request;
}

auto Intake::Plan(Request& request) const -> std::optional<Refusal> {
  const ChatCall* call = request.chat();
  const Account* account = accounts_.Find(request.account);
  const Document* document =
      account == nullptr ? nullptr : DocumentOf(*account);
  if (call == nullptr || document == nullptr) {
    return RefusedNotAllowed();
  }
  const Candidates candidates =
      CandidatesFor(request, *account, *document, *call);
  if (const auto* refusal = std::get_if<Refusal>(&candidates)) {
    return *refusal;
  }
  request.plan = planner_.Plan(account->rule, *document, *call,
                               std::get<std::vector<ModelVersion>>(candidates),
                               request.id);
  request.step = 0;
  return std::nullopt;
}

auto Intake::MayRun(const ClientAccountId& account,
                    const Workload& workload) const -> bool {
  const Account* known = accounts_.Find(account);
  if (known == nullptr) {
    return false;
  }
  return std::visit(Overloaded{[&](const ModelVersion& version) {
                                 return configuration_.IsServing(version) &&
                                        accounts_.Allows(*known, version);
                               },
                               [&](const ServiceId& service) {
                                 return configuration_.FindService(service) !=
                                            nullptr &&
                                        accounts_.Allows(*known, service);
                               }},
                    workload);
}

auto Intake::DocumentOf(const Account& account) const -> const Document* {
  const auto found = configuration_.documents.find(account.team);
  return found == configuration_.documents.end() ? nullptr : &found->second;
}

auto Intake::CandidatesFor(const Request& request,
                           const Account& account,
                           const Document& document,
                           const ChatCall& call) const -> Candidates {
  const auto is_named = [&call](const VersionRule& rule) {
    return ToString(rule.id) == call.model;
  };
  const auto exact = std::ranges::find_if(document.versions, is_named);
  if (exact != document.versions.end()) {
    return ExactCandidate(account, exact->id);
  }
  const auto cascade = std::ranges::find(
      document.cascades, CascadeId(call.model), &CascadeRule::id);
  if (cascade != document.cascades.end()) {
    if (!accounts_.Allows(account, cascade->id)) {
      return RefusedNotAllowed();
    }
    return ResolveAll(request, account, cascade->models);
  }
  std::set<std::string> models;
  for (const VersionRule& rule : document.versions) {
    const bool wanted = call.model == kAnyModel
                            ? accounts_.Allows(account, rule.id)
                            : rule.id.model == call.model;
    if (wanted) {
      models.insert(rule.id.model);
    }
  }
  if (models.empty()) {
    return RefusedUnknownModel();
  }
  return ResolveAll(request, account,
                    std::vector<std::string>(models.begin(), models.end()));
}

auto Intake::ExactCandidate(const Account& account,
                            const ModelVersion& version) const -> Candidates {
  if (!accounts_.AllowsByName(account, version)) {
    return RefusedNotAllowed();
  }
  if (!configuration_.IsServing(version)) {
    return RefusedWithdrawn();
  }
  return std::vector<ModelVersion>{version};
}

auto Intake::ResolveAll(const Request& request,
                        const Account& account,
                        std::span<const std::string> models) const
    -> Candidates {
  std::vector<ModelVersion> candidates;
  bool any_serves = false;
  for (const std::string& model : models) {
    const auto version = Resolve(request, model);
    any_serves = any_serves || version.has_value();
    if (version.has_value() && accounts_.Allows(account, *version)) {
      candidates.push_back(*version);
    }
  }
  if (candidates.empty()) {
    return any_serves ? RefusedNotAllowed() : RefusedWithdrawn();
  }
  // A session stays on the version that answered it last.
  const auto& pinned = request.pins.versions;
  for (auto pin = pinned.rbegin(); pin != pinned.rend(); ++pin) {
    if (std::ranges::find(candidates, *pin) != candidates.end()) {
      return std::vector<ModelVersion>{*pin};
    }
  }
  return candidates;
}

auto Intake::Resolve(const Request& request, const std::string& model) const
    -> std::optional<ModelVersion> {
  VersionQuery query;
  query.model = model;
  query.account = request.account;
  query.task_class = request.chat()->task_class;
  query.request = request.id;
  query.session = request.pins.session;
  query.session_version = request.pins.Find(model);
  return rollouts_.ResolveVersion(query);
}

}  // namespace zinniastep
