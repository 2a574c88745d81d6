#include "libzinniastep/traffic/forwarder.h"

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <utility>
#include <variant>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/gateway/request_signature.h"
#include "libzinniastep/gateway/service_split.h"
#include "libzinniastep/traffic/forwarded_request.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

// A server that is reachable accepts within a round trip; a lost opening
// packet is sent again after a second, which another server need not wait for.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);

auto RegionNames(std::span<const RegionId> regions) -> std::string {
  std::string text;
  for (const RegionId& region : regions) {
    text += (text.empty() ? "" : ",") + region.text();
  }
  return text;
}

}  // namespace

Forwarder::Forwarder(TrafficEngine& engine,
                     std::shared_ptr<CallerConnection> caller,
                     CallerRequest request)
    : engine_(engine),
      caller_(std::move(caller)),
      request_(std::move(request)),
      timer_(engine.io()),
      clocks_(engine.answer_clock()) {}

auto Forwarder::Header(std::string_view name) const -> std::string_view {
  return HeaderValue(request_, name).value_or(std::string_view());
}

auto Forwarder::TimeLeft() const -> Duration {
  return std::max(Duration(0), progress_.deadline - engine_.Now());
}

auto Forwarder::Begin() -> void {
  began_ = engine_.Now();
  attempt_id_ = std::string(Header(engine_.headers().attempt_id));
  request_id_ = attempt_id_.empty() ? engine_.DrawRequestId() : attempt_id_;
  engine_.OnRequestBegun(shared_from_this());
  caller_->Watch(
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnCallerGone();
        }
      },
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr) {
          self->OnCallerDrained();
        }
      },
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->EndForExcess();
        }
      });
  UpdateHeld();
  if (const unsigned status = FindPlace(); status != 0) {
    if (status == 503) {
      if (engine_.is_refusing()) {
        Refuse("shutting_down", kReturnElsewhere);
      } else {
        Refuse("no_configuration");
      }
    } else {
      Fail(status, status == 404 ? "no_route" : "unknown_key");
    }
    return;
  }
  SetDeadline();
  if (!engine_.CanFinish(route_->name, progress_)) {
    Refuse("shutting_down", kReturnElsewhere);
    return;
  }
  prompt_ = ReadPromptShape(Header(engine_.headers().prompt_parts),
                            Header(engine_.headers().token_counts));
  signature_ = Signature();
  crash_parts_ = prompt_.shared_parts;
  crash_parts_.insert(crash_parts_.begin(), signature_);
  session_ = prompt_.session != 0 ? prompt_.session : StableHash(request_id_);
  if (!ChooseService()) {
    Refuse("no_service");
    return;
  }
  engine_.BudgetFor(service_).OnRequest(began_);
  ArmTimer();
  Dispatch();
}

auto Forwarder::FindPlace() -> unsigned {
  policy_ = engine_.view().policy;
  if (policy_ == nullptr || engine_.is_refusing()) {
    return 503;
  }
  const std::string_view target = ToView(request_.target());
  const std::string_view path = target.substr(0, target.find('?'));
  std::string_view host = Header("Host");
  route_ = policy_->FindRoute(host, path);
  if (route_ == nullptr) {
    host = host.substr(0, host.rfind(':'));
    route_ = policy_->FindRoute(host, path);
  }
  if (route_ == nullptr) {
    return 404;
  }
  return std::visit(Overloaded{[](const AnonymousCaller&) { return 0U; },
                               [this](const AccountCaller& caller) {
                                 account_ = caller.account;
                                 return 0U;
                               },
                               [](const UnknownCaller&) { return 401U; }},
                    policy_->access().Identify(Key(), route_->is_public));
}

auto Forwarder::Key() const -> std::optional<std::string_view> {
  const std::string_view credentials = Header("Authorization");
  const std::string& scheme = engine_.headers().key_scheme;
  return credentials.starts_with(scheme)
             ? std::optional(credentials.substr(scheme.size()))
             : std::nullopt;
}

auto Forwarder::SetDeadline() -> void {
  Duration wait = route_->timeout;
  const auto stated = WholeNumber(Header(engine_.headers().time_remaining));
  if (stated.has_value()) {
    wait = std::min<Duration>(wait, std::chrono::milliseconds(*stated));
  }
  progress_.deadline = began_ + wait;
  progress_.repeat_rule = route_->repeat_rule;
  progress_.resumable = route_->resumable;
  progress_.most_servers = std::max(route_->most_servers, 1U);
}

auto Forwarder::ChooseService() -> bool {
  // Requests of a session stay together.
  const double position =
      static_cast<double>(StableHash(route_->name, session_) >> 11U) *
      0x1.0p-53;
  const ServiceId* service = ServiceAt(route_->split, position);
  if (service == nullptr) {
    return false;
  }
  service_ = *service;
  names_model_ =
      !route_->models.empty() && Header(engine_.headers().model) == "*";
  if (names_model_) {
    ChooseFirstModel();
  }
  return true;
}

auto Forwarder::Signature() const -> PromptPartId {
  const ForwardingHeaders& names = engine_.headers();
  const std::array<std::string_view, 8> fields = {
      ToView(request_.method_string()),
      ToView(request_.target()),
      account_ == nullptr ? std::string_view() : account_->id.text(),
      Header(names.model),
      Header(names.token_counts),
      Header(names.prompt_parts),
      Header(names.last_event_id),
      request_.body()};
  return RequestSignature(fields);
}

auto Forwarder::Need() const -> ServerNeed {
  ServerNeed need;
  need.service = service_;
  if (prompt_.shared != 0) {
    need.affinity =
        StableHash(names_model_ ? std::string_view(route_->models[model_])
                                : Header(engine_.headers().model),
                   prompt_.shared);
    need.affinity_gain_ms = prompt_.shared_tokens / kPromptTokensPerMs;
  }
  need.work_ms =
      std::chrono::duration<double, std::milli>(ExpectedDelay()).count();
  need.tokens = Tokens();
  need.session = session_;
  need.regions = route_->home_regions;
  if (account_ != nullptr) {
    need.account_regions = account_->home_regions;
  }
  need.avoid_target = server_failed_before_;
  need.tried = tried_;
  return need;
}

auto Forwarder::ChooseServer(Instant now) -> const UsableBackend* {
  const UsableBackend* backend = nullptr;
  ServerNeed need = Need();
  if (progress_.servers_used < progress_.most_servers) {
    backend = engine_.chooser().Choose(now, need);
  }
  if (backend != nullptr || left_.empty()) {
    return backend;
  }
  need.tried = {};
  need.among = left_;
  backend = engine_.chooser().Choose(now, need);
  if (backend != nullptr) {
    std::erase(left_, backend->entry.id);
    progress_.may_return = !left_.empty();
  }
  return backend;
}

auto Forwarder::Dispatch() -> void {
  if (EndIfHeld()) {
    return;
  }
  if (!MaySend()) {
    return;
  }
  const Instant now = engine_.Now();
  if (const UsableBackend* backend = ChooseServer(now); backend != nullptr) {
    waiting_for_server_ = false;
    Send(*backend);
    return;
  }
  if (!waiting_for_server_) {
    waiting_for_server_ = true;
    no_server_since_ = now;
  }
  WaitForServer();
}

auto Forwarder::EndIfHeld() -> bool {
  if (progress_.is_trial) {
    return false;
  }
  return std::visit(
      Overloaded{[](const PartsAdmitted&) { return false; },
                 [this](const PartsOnTrial&) {
                   progress_.is_trial = true;
                   engine_.metrics().Count("part_trials");
                   engine_.Log({"part_trial",
                                {{"request", request_id_},
                                 {"parts", ToText(crash_parts_)}}});
                   return false;
                 },
                 [this](const PartsHeld& held) {
                   EndHeld(held);
                   return true;
                 }},
      engine_.quarantine().Admit(engine_.Now(), crash_parts_));
}

auto Forwarder::EndHeld(const PartsHeld& held) -> void {
  engine_.Log(
      {"request_held",
       {{"request", request_id_},
        {"parts", ToText(held.parts)},
        {"endings", std::to_string(held.endings)},
        {"last_ended_ms", std::to_string(Milliseconds(held.last_ended_ago))},
        {"retry_ms", std::to_string(Milliseconds(held.retry_after))},
        {"may_have_run", progress_.may_have_run ? "yes" : "no"}}});
  waiting_for_server_ = false;
  if (answer_begun_) {
    TakeStep(AbortAnswer{});
  } else if (progress_.may_have_run) {
    Fail(502, "held_parts");
  } else {
    RefuseFor("held_parts", held.retry_after);
  }
}

auto Forwarder::OnHeldPartsChanged() -> void {
  // A part of the answer shows that the request ended no server.
  if (over_ || !server_.has_value() || answer_begun_ || !body_.empty() ||
      progress_.is_trial || !engine_.quarantine().IsHeld(crash_parts_)) {
    return;
  }
  const bool may_run_again =
      progress_.resumable || progress_.repeat_rule == RepeatRule::kIdempotent;
  if (!may_run_again) {
    return;
  }
  progress_.may_have_run = progress_.may_have_run || connection_->is_sent();
  DropAttempt(true);
  Dispatch();
}

auto Forwarder::DropAttempt(bool was_given_up) -> void {
  OnSendLeft(engine_.Now());
  EndClocks(engine_.Now(), was_given_up);
  engine_.chooser().OnEnd(engine_.Now(), server_->id, Tokens());
  connection_->Cancel();
  connection_ = nullptr;
  server_.reset();
}

auto Forwarder::WaitForServer() -> void {
  const Instant now = engine_.Now();
  // Without any server to wait for, the caller's own retry has more to choose
  // from, since this request uses no server twice.
  const bool may_be_late =
      MayBeLate(progress_) &&
      engine_.chooser().reason() != NoServerReason::kNoEligibleServer &&
      engine_.chooser().reason() != NoServerReason::kLeaving;
  // Leaving servers do not come back before a later incarnation is listed.
  const bool is_hopeless =
      !answer_begun_ && left_.empty() &&
      engine_.chooser().reason() == NoServerReason::kLeaving;
  const Duration longest =
      is_hopeless   ? Duration(0)
      : may_be_late ? progress_.deadline - no_server_since_
                    : std::min<Duration>(
                          route_->target_latency / kServerWaitPart, TimeLeft());
  if (now - no_server_since_ < longest) {
    ArmTimer();
    return;
  }
  waiting_for_server_ = false;
  // A server that is not reached may also drop out of the list for a while.
  if (MayBeLate(progress_) && (pauses_ > 0 || !unreached_.empty())) {
    PauseSending();
    return;
  }
  if (!answer_begun_ && !progress_.may_have_run) {
    Refuse(is_hopeless ? "servers_leaving" : "no_server");
    return;
  }
  engine_.Log(
      {"server_wait_over",
       {{"request", request_id_},
        {"service", service_.text()},
        {"cause", std::string(ToString(engine_.chooser().reason()))},
        {"waited_ms", std::to_string(Milliseconds(now - no_server_since_))},
        {"events", std::to_string(events_passed_)}}});
  TakeStep(answer_begun_ ? NextStep(AbortAnswer{}) : NextStep(ReportUnknown{}));
}

auto Forwarder::ResumeSending() -> void {
  retry_at_.reset();
  // One more send that reaches no server leads to the next pause.
  progress_.undelivered_sends =
      std::min(progress_.undelivered_sends, kMaxUndeliveredSends - 1);
  const Instant now = engine_.Now();
  const NextStep step =
      DecideNext(now, progress_, last_outcome_, engine_.MayRepeat(service_));
  if (std::holds_alternative<TryAnother>(step) &&
      last_outcome_ != SendOutcome::kNotSent) {
    engine_.BudgetFor(service_).OnRepeat(now);
  }
  TakeStep(step);
}

auto Forwarder::RequestText(const UsableBackend& backend) const -> std::string {
  ForwardedFields fields;
  fields.time_left = TimeLeft();
  fields.expected_server = backend.entry.id.text();
  if (account_ != nullptr) {
    fields.account = account_->id.text();
  }
  if (names_model_) {
    fields.model = route_->models[model_];
  }
  fields.last_event = last_event_;
  if (prompt_.prompt_tokens > 0.0) {
    fields.urgency =
        EngineUrgency(account_ != nullptr && account_->priority.has_value()
                          ? *account_->priority
                          : route_->priority);
  }
  return ForwardedRequestText(request_, engine_.headers(), fields);
}

auto Forwarder::Send(const UsableBackend& backend) -> void {
  // An answer to an earlier send of the request has the same id.
  const bool is_return =
      std::ranges::find(asked_, backend.entry.id) != asked_.end();
  const bool may_reuse =
      !is_return &&
      (progress_.resumable || progress_.repeat_rule == RepeatRule::kIdempotent);
  const Reuse reuse = may_reuse ? Reuse::kAllowed : Reuse::kForbidden;
  connection_ = engine_.pool().Take(backend.entry, reuse, attempt_id_);
  if (connection_ == nullptr) {
    engine_.Log({"address_malformed",
                 {{"request", request_id_},
                  {"server", backend.entry.id.text()},
                  {"address", backend.entry.address}}});
    tried_.push_back(backend.entry.id);
    progress_.undelivered_sends += 1;
    TakeStep(DecideNext(engine_.Now(), progress_, SendOutcome::kNotSent, true));
    return;
  }
  server_ = backend.entry;
  tried_.push_back(server_->id);
  asked_.push_back(server_->id);
  sent_at_ = engine_.Now();
  last_bytes_ = sent_at_;
  last_event_at_ = sent_at_;
  head_at_.reset();
  not_run_ = misdirected_ = server_failed_ = is_stream_ = false;
  kept_overdue_ = false;
  body_.clear();
  events_.Reset();
  engine_.chooser().OnBegin(server_->id, Tokens());
  clocks_.Begin(sent_at_, {service_, server_->version, route_->name},
                ExpectedDelay());
  engine_.Log(
      {"request_sent",
       {{"request", request_id_},
        {"route", route_->name},
        {"server", server_->id.text()},
        {"server_version", server_->version},
        {"session", std::to_string(session_)},
        {"model", names_model_ ? route_->models[model_] : ""},
        {"policy", std::to_string(policy_->version())},
        {"region", engine_.chooser().RegionOf(server_->domain).text()},
        {"homes", RegionNames(route_->home_regions)},
        {"account_homes",
         account_ == nullptr ? "" : RegionNames(account_->home_regions)},
        {"send", std::to_string(asked_.size())},
        {"left_ms", std::to_string(Milliseconds(TimeLeft()))}}});
  connection_->Send(RequestText(backend), attempt_id_, kConnectTimeout,
                    shared_from_this());
  ArmTimer();
}

}  // namespace zinniastep
