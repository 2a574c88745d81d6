#include "libzinniastep/traffic/traffic_engine.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>

#include "libzinniastep/traffic/delivery_watch.h"
#include "libzinniastep/traffic/forwarder.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/server_probe.h"

namespace zinniastep {

namespace {

// Part of the fleet's bound on repeats that hosts use; the rest is for requests
// that callers sent and that reached no host.
constexpr double kBudgetUsed = 0.9;
// Idle connections to servers take this part of the descriptors at most.
constexpr std::size_t kIdleServerPart = 16;
// How a server says in its answers that it leaves.
constexpr std::string_view kLeaves = "1";
// A server that listens, and a machine on which nothing does, answer within a
// round trip.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(350);

}  // namespace

TrafficEngine::TrafficEngine(boost::asio::io_context& io,
                             const GatewaySettings& settings,
                             ForwardingHeaders headers,
                             Metrics& metrics,
                             LogSink log,
                             std::uint64_t seed)
    : io_(io),
      settings_(settings),
      headers_(std::move(headers)),
      metrics_(metrics),
      log_(std::move(log)),
      random_(seed),
      view_(std::make_shared<TrafficView>()),
      chooser_(settings.host, settings.domain, settings.region),
      pool_(io,
            headers_.attempt_id,
            UndeliveredLimit(settings.leaving_time),
            settings.most_descriptors / kIdleServerPart,
            [this](const BackendEntry& server, const AnswerHead& head) {
              OnServerHead(server, head);
            }),
      held_bytes_(std::make_shared<HeldBytes>(io, settings.most_held_bytes)),
      quarantine_(random_.Next()) {}

TrafficEngine::~TrafficEngine() {
  // A forwarder and its connection keep each other until one of them ends.
  for (const auto& forwarder : active_) {
    forwarder->Abandon();
  }
}

auto TrafficEngine::Now() const -> Instant {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

auto TrafficEngine::SetView(std::shared_ptr<const TrafficView> view) -> void {
  const bool has_new_routes = view->policy != view_->policy;
  view_ = std::move(view);
  for (const LeavingServers::Ended& ended : chooser_.SetView(Now(), view_)) {
    Log({"server_leaving_over",
         {{"server", ended.server.text()},
          {"age_ms", std::to_string(Milliseconds(ended.age))},
          {"reason", ended.was_replaced ? "replaced" : "no_room"}}});
  }
  metrics_.Set("leaving_servers", chooser_.leaving().size());
  quarantine_.SetHosts(view_->sharing_hosts);
  for (const auto& forwarder : active_) {
    forwarder->OnServersChanged();
  }
  for (auto& [service, admission] : admissions_) {
    UpdateServers(service, admission);
  }
  if (!has_new_routes || view_->policy == nullptr) {
    return;
  }
  std::set<std::string_view> names;
  for (const ForwardingRoute& route : view_->policy->routes()) {
    names.insert(route.name);
  }
  const auto is_known = [&names](const std::string& name) {
    return names.contains(name);
  };
  durations_.KeepIf(is_known);
  model_ladder_.KeepIf(is_known);
}

auto TrafficEngine::CanFinish(const std::string& route,
                              const ForwardProgress& progress) const -> bool {
  return !shutdown_end_.has_value() ||
         CanFinishBy(*shutdown_end_, Now(), progress, durations_.Find(route));
}

auto TrafficEngine::Sweep() -> void {
  pool_.Sweep();
  metrics_.Set("idle_server_connections", pool_.idle());
  metrics_.Set("held_bytes", held_bytes_->total());
  metrics_.Set("held_bytes_peak", held_bytes_->peak());
  for (const auto& [limit, count] : held_bytes_->reports().Take()) {
    metrics_.Count(limit, count);
    Log({"caller_limit",
         {{"limit", std::string(limit)},
          {"count", std::to_string(count)},
          {"all_bytes", std::to_string(held_bytes_->total())}}});
  }
}

auto TrafficEngine::EndRequests() -> void {
  const std::vector<std::shared_ptr<Forwarder>> unfinished(active_.begin(),
                                                           active_.end());
  for (const auto& forwarder : unfinished) {
    forwarder->EndForShutdown();
  }
}

auto TrafficEngine::DrawRequestId() -> std::string {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(random_.Next()));
  return digits.data();
}

auto TrafficEngine::OnRequest(std::shared_ptr<CallerConnection> caller,
                              CallerRequest request) -> void {
  std::make_shared<Forwarder>(*this, std::move(caller), std::move(request))
      ->Begin();
}

auto TrafficEngine::TakeEvidence() -> std::vector<VersionRow> {
  answer_clock_.Advance(Now());
  std::vector<VersionRow> rows;
  for (const auto& [key, counts] : evidence_) {
    rows.push_back({key, counts});
  }
  evidence_.clear();
  return rows;
}

auto TrafficEngine::Limits() const -> CallerLimits {
  CallerLimits limits =
      view_->policy == nullptr ? CallerLimits() : view_->policy->limits();
  limits.answer_stall = settings_.answer_stall;
  return limits;
}

auto TrafficEngine::BudgetFor(const ServiceId& service) -> RepeatBudget& {
  return budgets_
      .try_emplace(service, settings_.repeat_window,
                   settings_.repeat_share * kBudgetUsed)
      .first->second;
}

auto TrafficEngine::MayRepeat(const ServiceId& service) -> bool {
  const auto hosts =
      static_cast<double>(std::max<std::size_t>(view_->sharing_hosts, 1));
  return BudgetFor(service).MayRepeat(
      Now(), settings_.repeat_slack * kBudgetUsed / hosts);
}

auto TrafficEngine::AdmissionOf(const ServiceId& service) -> ServiceAdmission& {
  const auto [it, is_new] = admissions_.try_emplace(service);
  if (is_new) {
    UpdateServers(service, it->second);
  }
  return it->second;
}

auto TrafficEngine::UpdateServers(const ServiceId& service,
                                  ServiceAdmission& admission) -> void {
  std::size_t servers = 0;
  double slots = 0.0;
  for (const UsableBackend& backend : view_->backends) {
    if (backend.entry.service == service &&
        !view_->evacuated.contains(backend.entry.domain) &&
        !chooser_.leaving().Contains(backend.entry.id, backend.entry.started)) {
      ++servers;
      slots += backend.entry.slots;
    }
  }
  Deliver(admission.OnServers(Now(), servers, slots));
}

auto TrafficEngine::OnAdmissionWait(const RequestId& request,
                                    std::weak_ptr<Forwarder> forwarder)
    -> void {
  awaiting_admission_[request] = std::move(forwarder);
  metrics_.Set("admission_waiting", awaiting_admission_.size());
}

auto TrafficEngine::OnAdmissionWaitOver(const RequestId& request) -> void {
  awaiting_admission_.erase(request);
  metrics_.Set("admission_waiting", awaiting_admission_.size());
}

auto TrafficEngine::Deliver(const AdmissionVerdicts& verdicts) -> void {
  for (const AdmissionVerdict& verdict : verdicts) {
    const auto found = awaiting_admission_.find(RequestOf(verdict));
    if (found == awaiting_admission_.end()) {
      continue;
    }
    boost::asio::post(io_, [waiting = found->second, verdict] {
      if (const auto forwarder = waiting.lock()) {
        forwarder->OnVerdict(verdict);
      }
    });
  }
}

auto TrafficEngine::AddEvidence(const VersionKey& key,
                                const VersionCounts& counts) -> void {
  evidence_[key].Add(counts);
}

auto TrafficEngine::OnServerHead(const BackendEntry& server,
                                 const AnswerHead& head) -> void {
  // Another server than the one that was asked declines with 421.
  if (head.result() != boost::beast::http::status::misdirected_request &&
      HasValue(head, headers_.server_leaving, kLeaves) &&
      chooser_.OnLeaving(Now(), server)) {
    OnServerLeaves(server, head);
  }
}

auto TrafficEngine::OnServerLeaves(const BackendEntry& server,
                                   const AnswerHead& head) -> void {
  metrics_.Count("servers_leaving");
  metrics_.Set("leaving_servers", chooser_.leaving().size());
  Log({"server_leaving",
       {{"server", server.id.text()},
        {"service", server.service.text()},
        {"started", std::to_string(server.started)},
        {"request", std::string(HeaderValue(head, headers_.attempt_id)
                                    .value_or(std::string_view()))},
        {"status", std::to_string(head.result_int())}}});
  pool_.CloseIdle(server);
  if (const auto found = admissions_.find(server.service);
      found != admissions_.end()) {
    UpdateServers(found->first, found->second);
  }
  for (const auto& forwarder : active_) {
    forwarder->OnServersChanged();
  }
}

auto TrafficEngine::OnSendBroken(const BackendEntry& server,
                                 std::optional<UnansweredSend> unanswered)
    -> void {
  if (!endings_.OnBroken(server.id, std::move(unanswered))) {
    return;
  }
  ProbeServer(
      io_, server.address, kProbeTimeout, [this, server](ProbeResult result) {
        metrics_.Count("server_probes_" + std::string(ToString(result)));
        if (const auto broken = endings_.OnProbe(server.id, result)) {
          OnServerEnded(server, *broken);
        }
      });
}

auto TrafficEngine::OnServerEnded(const BackendEntry& server,
                                  const BrokenSends& broken) -> void {
  metrics_.Count("servers_ended");
  Log({"server_ended",
       {{"server", server.id.text()},
        {"service", server.service.text()},
        {"answered", std::to_string(broken.answered)},
        {"unanswered", std::to_string(broken.unanswered.size())}}});
  quarantine_.OnEnding(Now(), server.id, broken.unanswered);
  OnHeldParts();
}

auto TrafficEngine::OnPromptAnswered(PromptPartId signature,
                                     std::span<const PromptPartId> parts)
    -> void {
  quarantine_.OnRequestAnswered(Now(), signature);
  quarantine_.OnAnswered(Now(), parts);
}

auto TrafficEngine::TakeCrashNews() -> std::optional<CrashReport> {
  quarantine_.Update(Now());
  OnHeldParts();
  return quarantine_.TakeNews(Now());
}

auto TrafficEngine::CrashSummary() const -> std::optional<CrashReport> {
  return quarantine_.Summary(Now());
}

auto TrafficEngine::OnCrashReport(const CrashReport& report) -> void {
  quarantine_.Merge(Now(), report);
}

auto TrafficEngine::ReleasePart(PromptPartId part) -> bool {
  const bool was_held = quarantine_.Release(Now(), part);
  Log({"parts_released_by_operator",
       {{"part", ToText(part)}, {"held", was_held ? "yes" : "no"}}});
  OnHeldParts();
  return was_held;
}

auto TrafficEngine::OnHeldParts() -> void {
  if (quarantine_.revision() == held_revision_) {
    return;
  }
  held_revision_ = quarantine_.revision();
  const Instant now = Now();
  const std::vector<HeldParts> before = std::exchange(
      held_, {quarantine_.held().begin(), quarantine_.held().end()});
  const auto is_in = [](const std::vector<HeldParts>& list,
                        const HeldParts& held) {
    return std::ranges::find(list, held.parts, &HeldParts::parts) != list.end();
  };
  for (const HeldParts& held : held_) {
    if (!is_in(before, held)) {
      metrics_.Count("parts_held");
      Log({"parts_held",
           {{"parts", ToText(held.parts)},
            {"endings", std::to_string(held.endings)},
            {"requests", std::to_string(held.requests)},
            {"last_ended_ms",
             std::to_string(Milliseconds(now - held.last_ended_at))}}});
    }
  }
  for (const HeldParts& held : before) {
    if (!is_in(held_, held)) {
      metrics_.Count("parts_released");
      Log({"parts_released",
           {{"parts", ToText(held.parts)},
            {"held_ms", std::to_string(Milliseconds(now - held.held_since))},
            {"trials", std::to_string(held.trials)}}});
    }
  }
  metrics_.Set("held_parts", held_.size());
  const std::vector<std::shared_ptr<Forwarder>> active(active_.begin(),
                                                       active_.end());
  for (const auto& forwarder : active) {
    forwarder->OnHeldPartsChanged();
  }
}

auto TrafficEngine::OnRequestBegun(std::shared_ptr<Forwarder> forwarder)
    -> void {
  active_.insert(std::move(forwarder));
}

auto TrafficEngine::OnRequestOver(const std::shared_ptr<Forwarder>& forwarder)
    -> void {
  active_.erase(forwarder);
}

}  // namespace zinniastep
