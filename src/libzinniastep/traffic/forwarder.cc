#include "libzinniastep/traffic/forwarder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/gateway/model_choice.h"
#include "libzinniastep/gateway/request_signature.h"
#include "libzinniastep/traffic/forwarded_request.h"
#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

// A server that is reachable accepts within a round trip; a lost opening
// packet is sent again after a second, which another server need not wait for.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
// A request that no server may take now waits for this part of its target.
constexpr int kServerWaitPart = 8;
constexpr Duration kServerPoll = std::chrono::milliseconds(20);
// The same for an answer that has begun, after a while without a server.
constexpr Duration kLongServerPoll = std::chrono::milliseconds(100);
constexpr Duration kSilencePoll = std::chrono::milliseconds(250);
// An idempotent request is sent elsewhere when its answer has not begun after
// this part of the target.
constexpr double kSecondSendPart = 0.75;
// Bytes of an answer that wait for a slow caller before the server is paused.
constexpr std::size_t kMostUnsent = 65536;
// Plain answers up to this size are kept whole until complete, so that a
// broken one can be asked for again.
constexpr std::size_t kMostHeldBody = std::size_t{1} << 20U;
// Longest plain answer that is passed on, in bytes: sixteen times the longest
// body that callers may send by default. A server that goes on is broken.
constexpr std::size_t kLongestAnswer = std::size_t{64} << 20U;
// Tokens of a prompt that an engine reads in a millisecond, for what a cached
// part saves and what a prompt is expected to take.
constexpr double kPromptTokensPerMs = 20.0;
constexpr double kFirstEventMs = 40.0;
// Callers that find another host ready to take them.
constexpr ReturnTime kReturnElsewhere{Duration(0),
                                      std::chrono::milliseconds(100)};

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ParseLoad(std::string_view text) -> std::optional<ServerLoad> {
  std::array<std::uint32_t, 3> numbers{};
  for (std::uint32_t& number : numbers) {
    const auto comma = text.find(',');
    const auto value = WholeNumber(text.substr(0, comma));
    if (!value.has_value()) {
      return std::nullopt;
    }
    number = *value;
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
  }
  return ServerLoad{numbers[0], numbers[1], numbers[2]};
}

// Whether callers read the status as "not run".
auto PromisesNotRun(unsigned status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
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
  ChooseService();
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
  if (!policy_->has_accounts()) {
    return 0;
  }
  std::string_view key = Header("Authorization");
  const std::string& scheme = engine_.headers().key_scheme;
  if (key.starts_with(scheme)) {
    account_ = policy_->FindAccount(key.substr(scheme.size()));
  }
  return account_ == nullptr && !route_->is_public ? 401 : 0;
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

auto Forwarder::ChooseService() -> void {
  double total = 0.0;
  for (const ServiceShare& share : route_->split) {
    total += share.weight;
  }
  // Requests of a session stay together.
  double draw = static_cast<double>(StableHash(route_->name, session_) >> 11U) *
                0x1.0p-53 * total;
  for (const ServiceShare& share : route_->split) {
    service_ = share.service;
    draw -= share.weight;
    if (draw < 0.0) {
      break;
    }
  }
  names_model_ =
      !route_->models.empty() && Header(engine_.headers().model) == "*";
  if (names_model_) {
    model_ = FirstModel(
        {route_->models.size(), engine_.chooser().Utilization(began_, service_),
         engine_.DelayOf(service_).lateness(), progress_.most_servers});
  }
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
  engine_.chooser().OnEnd(engine_.Now(), server_->id);
  connection_->Cancel();
  connection_ = nullptr;
  server_.reset();
}

auto Forwarder::WaitForServer() -> void {
  const Instant now = engine_.Now();
  // A late answer that has begun is worth more to its caller than a broken one,
  // and one whose server this host left is worth more than none.
  // Without any server to wait for, the caller's own retry has more to choose
  // from, since this request uses no server twice.
  const bool may_be_late =
      (answer_begun_ || progress_.may_return) &&
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
  engine_.chooser().OnBegin(server_->id);
  clocks_.Begin(sent_at_, {service_, server_->version, route_->name},
                ExpectedDelay());
  engine_.Log({"request_sent",
               {{"request", request_id_},
                {"route", route_->name},
                {"server", server_->id.text()},
                {"server_version", server_->version},
                {"session", std::to_string(session_)},
                {"model", names_model_ ? route_->models[model_] : ""},
                {"policy", std::to_string(policy_->version())},
                {"send", std::to_string(tried_.size())},
                {"left_ms", std::to_string(Milliseconds(TimeLeft()))}}});
  connection_->Send(RequestText(backend), attempt_id_, kConnectTimeout,
                    shared_from_this());
  ArmTimer();
}

auto Forwarder::OnHead(const AnswerHead& head) -> void {
  const Instant now = engine_.Now();
  head_at_ = now;
  last_bytes_ = now;
  head_ = head;
  engine_.chooser().OnProgress(now, server_->id);
  const ForwardingHeaders& names = engine_.headers();
  if (const auto load = HeaderValue(head, names.server_load)) {
    if (const auto parsed = ParseLoad(*load)) {
      engine_.chooser().OnLoad(now, server_->id, *parsed);
    }
  }
  const unsigned status = head.result_int();
  misdirected_ = status == 421;
  not_run_ =
      misdirected_ || (HeaderValue(head, names.not_executed).has_value() &&
                       PromisesNotRun(status));
  server_failed_ = !not_run_ && (status >= 500 || PromisesNotRun(status));
  if (!not_run_ && !server_failed_) {
    clocks_.OnHead(now);
  }
  answer_bytes_ = 0;
  const auto type = HeaderValue(head, "Content-Type");
  is_stream_ = route_->streaming && status == 200 &&
               type.value_or("").starts_with("text/event-stream");
  if (!not_run_) {
    progress_.may_have_run = true;
  }
  if (answer_begun_ && !is_stream_ && !not_run_) {
    // Nothing but events can go on where the caller's stream stopped.
    server_failed_ = true;
  }
  if (is_stream_) {
    // Long streams end much later than a roll-out's judge wants to know.
    CountEvidence(false);
  }
  if (is_stream_ && names_model_ && !answer_begun_) {
    engine_.DelayOf(service_).RecordAnswerStart(
        std::chrono::duration<double>(now - sent_at_) /
        std::chrono::duration<double>(
            std::max<Duration>(route_->target_latency, Duration(1))));
    Escalate();
  }
}

auto Forwarder::Escalate() -> bool {
  const auto opinion = HeaderValue(head_, engine_.headers().confidence);
  const auto confidence = WholeNumber(opinion.value_or(""));
  const Instant now = engine_.Now();
  const Instant in_time =
      std::min(progress_.deadline, began_ + route_->target_latency);
  if (!confidence.has_value() ||
      progress_.servers_used + 1 >= progress_.most_servers ||
      progress_.is_trial || engine_.quarantine().IsHeld(crash_parts_) ||
      !LeavesTimeForAnother(now - sent_at_, in_time - now)) {
    return false;
  }
  const ModelChoiceInputs state{
      route_->models.size(),
      engine_.chooser().Utilization(engine_.Now(), service_),
      engine_.DelayOf(service_).lateness(),
      progress_.most_servers - progress_.servers_used - 1};
  const auto next = NextModel(state, model_, *confidence);
  if (!next.has_value()) {
    return false;
  }
  if (!engine_.MayRepeat(service_)) {
    engine_.metrics().Count("escalations_over_budget");
    return false;
  }
  const std::size_t model = std::exchange(model_, *next);
  ServerNeed need = Need();
  need.tried = {};
  const UsableBackend* backend = engine_.chooser().Choose(now, need);
  if (backend == nullptr) {
    model_ = model;
    engine_.metrics().Count("escalations_without_server");
    return false;
  }
  engine_.BudgetFor(service_).OnRepeat(now);
  engine_.Log({"request_escalated",
               {{"request", request_id_},
                {"model", route_->models[model]},
                {"confidence", std::to_string(*confidence)},
                {"next", route_->models[model_]}}});
  left_.push_back(server_->id);
  progress_.may_return = true;
  OnSendLeft(now);
  FinishAttempt(SendOutcome::kAnswered);
  progress_.servers_used += 1;
  tried_.clear();
  Send(*backend);
  return true;
}

auto Forwarder::OnBody(std::string_view bytes) -> void {
  if (over_ || server_ == std::nullopt) {
    return;
  }
  last_bytes_ = engine_.Now();
  engine_.chooser().OnProgress(last_bytes_, server_->id);
  if (is_stream_) {
    TakeEvents(bytes);
  } else {
    TakeBody(bytes);
  }
  if (!over_) {
    UpdateHeld();
  }
}

auto Forwarder::UpdateHeld() -> void {
  // A connection has a copy of the request's body while it sends it.
  caller_->SetRequestBytes(2 * request_.body().size() + body_.size() +
                           events_.size());
}

auto Forwarder::MostKept() const -> std::size_t {
  return engine_.held()->is_scarce() ? kMostUnsent : kMostHeldBody;
}

auto Forwarder::TakeBody(std::string_view bytes) -> void {
  answer_bytes_ += bytes.size();
  if (answer_bytes_ > kLongestAnswer ||
      (answer_bytes_ > MostKept() && (not_run_ || server_failed_))) {
    EndOverlongAnswer();
    return;
  }
  if (not_run_ || server_failed_ || !answer_begun_) {
    body_.append(bytes);
  } else {
    caller_->Write(bytes);
  }
  if (!not_run_ && !server_failed_ && !answer_begun_ &&
      body_.size() > MostKept()) {
    answer_begun_ = true;
    progress_.caller_has_bytes = true;
    // Nothing can be joined to it.
    progress_.resumable = false;
    caller_->BeginAnswer(CallerHead());
    caller_->Write(std::exchange(body_, {}));
  }
  if (connection_ != nullptr && caller_->unsent() > kMostUnsent) {
    connection_->Pause();
  }
}

auto Forwarder::EndOverlongAnswer() -> void {
  engine_.Log({"answer_overlong",
               {{"request", request_id_},
                {"server", server_->id.text()},
                {"status", std::to_string(head_.result_int())}}});
  engine_.metrics().Count("answers_overlong");
  connection_->Cancel();
  // What the head said of a request that was not run holds without its body.
  OnAttemptOver(misdirected_ ? SendOutcome::kMisdirected
                : not_run_   ? SendOutcome::kDeclined
                             : SendOutcome::kBroken);
}

auto Forwarder::EndUnnumberedStream() -> void {
  engine_.Log({"stream_unnumbered",
               {{"request", request_id_}, {"server", server_->id.text()}}});
  connection_->Cancel();
  OnAttemptOver(SendOutcome::kBroken);
}

auto Forwarder::TakeEvents(std::string_view bytes) -> void {
  events_.Add(bytes);
  while (auto event = events_.Next()) {
    if (event->id.has_value() && last_event_.has_value() &&
        *event->id <= *last_event_) {
      continue;
    }
    if (event->has_data && !event->id.has_value()) {
      // Another server could not tell where to go on.
      if (clocks_.events() < events_passed_) {
        EndUnnumberedStream();
        return;
      }
      progress_.resumable = false;
    }
    if (!answer_begun_) {
      answer_begun_ = true;
      progress_.caller_has_bytes = true;
      AnswerHead head = CallerHead();
      head.erase(http::field::content_length);
      caller_->BeginAnswer(std::move(head));
      engine_.metrics().Observe("first_event", engine_.Now() - began_);
    }
    caller_->Write(event->text);
    ++events_passed_;
    clocks_.OnEvent(last_bytes_);
    if (clocks_.events() == 1) {
      engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
    }
    if (event->id.has_value()) {
      last_event_ = event->id;
    }
    last_event_at_ = last_bytes_;
  }
  if (events_.is_overlong()) {
    EndOverlongAnswer();
    return;
  }
  if (connection_ != nullptr && caller_->unsent() > kMostUnsent) {
    connection_->Pause();
  }
}

auto Forwarder::OnEnd(ExchangeEnd end) -> void {
  if (over_ || !server_.has_value()) {
    return;
  }
  switch (end) {
    case ExchangeEnd::kNotSent:
      OnAttemptOver(SendOutcome::kNotSent);
      return;
    case ExchangeEnd::kBroken:
      OnAttemptOver(SendOutcome::kBroken);
      return;
    case ExchangeEnd::kWhole:
      break;
  }
  if (misdirected_) {
    OnAttemptOver(SendOutcome::kMisdirected);
  } else if (not_run_) {
    OnAttemptOver(SendOutcome::kDeclined);
  } else if (server_failed_) {
    OnAttemptOver(SendOutcome::kServerFailure);
  } else if (is_stream_) {
    OnStreamEnd();
  } else {
    AnswerWhole();
  }
}

auto Forwarder::OnStreamEnd() -> void {
  if (events_.has_part()) {
    OnAttemptOver(SendOutcome::kBroken);
    return;
  }
  FinishAttempt(SendOutcome::kAnswered);
  if (!answer_begun_) {
    AnswerHead head = CallerHead();
    head.erase(http::field::content_length);
    caller_->BeginAnswer(std::move(head));
  }
  caller_->Finish();
  Over("answered", head_.result_int());
}

auto Forwarder::AnswerWhole() -> void {
  CountEvidence(false);
  engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
  FinishAttempt(SendOutcome::kAnswered);
  if (answer_begun_) {
    caller_->Finish();
  } else {
    AnswerHead head = CallerHead();
    head.erase(http::field::content_length);
    WholeAnswer answer(std::move(head));
    answer.body() = std::move(body_);
    caller_->Answer(std::move(answer));
  }
  Over("answered", head_.result_int());
}

auto Forwarder::FinishAttempt(SendOutcome outcome) -> void {
  const Instant now = engine_.Now();
  EndClocks(now, outcome == SendOutcome::kSilent);
  engine_.chooser().OnEnd(now, server_->id);
  engine_.chooser().OnOutcome(now, server_->id, outcome);
  if (connection_ != nullptr) {
    if (engine_.chooser().IsUsable(server_->id)) {
      engine_.pool().Return(*server_, std::move(connection_));
    } else {
      connection_->Cancel();
    }
    connection_ = nullptr;
  }
  server_.reset();
}

auto Forwarder::OnAttemptOver(SendOutcome outcome) -> void {
  if (outcome == SendOutcome::kServerFailure) {
    server_failed_before_ = true;
    CountEvidence(true);
    engine_.OnPromptAnswered(signature_, prompt_.shared_parts);
  }
  const bool reached =
      outcome != SendOutcome::kNotSent && outcome != SendOutcome::kMisdirected;
  if (reached) {
    progress_.servers_used += 1;
  } else {
    progress_.undelivered_sends += 1;
  }
  if (reached && outcome != SendOutcome::kDeclined) {
    progress_.may_have_run = true;
  }
  const Instant now = engine_.Now();
  arrived_ = arrived_ || outcome != SendOutcome::kNotSent;
  const bool may_repeat =
      progress_.servers_used == 0 || engine_.MayRepeat(service_);
  const auto obstacle = RetryObstacle(now, progress_, may_repeat);
  const NextStep step = DecideNext(now, progress_, outcome, may_repeat);
  const bool tries_another = std::holds_alternative<TryAnother>(step);
  if (tries_another && arrived_) {
    engine_.BudgetFor(service_).OnRepeat(now);
  }
  engine_.Log(
      {"send_failed",
       {{"request", request_id_},
        {"server", server_->id.text()},
        {"outcome", std::string(ToString(outcome))},
        {"status", std::to_string(head_at_ ? head_.result_int() : 0)},
        {"after_ms", std::to_string(Milliseconds(now - sent_at_))},
        {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
        {"events", std::to_string(events_passed_)},
        {"parts", outcome == SendOutcome::kBroken ? ToText(crash_parts_)
                                                  : std::string()},
        {"next", tries_another ? "another" : "give_up"},
        {"reason", std::string(obstacle.has_value() ? ToString(*obstacle)
                                                    : std::string_view())}}});
  if (outcome == SendOutcome::kBroken) {
    engine_.OnSendBroken(*server_, Unanswered(now));
  }
  FinishAttempt(outcome);
  TakeStep(step);
}

auto Forwarder::Unanswered(Instant now) const -> std::optional<UnansweredSend> {
  if (clocks_.events() > 0 || !body_.empty()) {
    return std::nullopt;
  }
  // Callers may use an id again.
  const auto began =
      static_cast<std::uint64_t>(began_.time_since_epoch().count());
  return UnansweredSend{StableHash(request_id_, began), prompt_.shared_parts,
                        sent_at_, now, signature_};
}

auto Forwarder::OnSendLeft(Instant now) -> void {
  if (const auto unanswered = Unanswered(now)) {
    engine_.quarantine().OnLeft(server_->id, *unanswered);
  }
}

auto Forwarder::TakeStep(const NextStep& step) -> void {
  std::visit(
      Overloaded{[this](const TryAnother&) { Dispatch(); },
                 [this](const PassServerFailure&) {
                   if (PromisesNotRun(head_.result_int())) {
                     // It ran, which the status would deny.
                     Fail(502, "server_failure");
                     return;
                   }
                   AnswerHead head = CallerHead();
                   head.erase(http::field::content_length);
                   WholeAnswer answer(std::move(head));
                   answer.body() = std::move(body_);
                   caller_->Answer(std::move(answer));
                   Over("server_failure", head_.result_int());
                 },
                 [this](const RefuseNotRun&) { Refuse("servers_declined"); },
                 [this](const ReportUnknown& unknown) {
                   Fail(unknown.timed_out ? 504 : 502,
                        unknown.timed_out ? "timed_out" : "outcome_unknown");
                 },
                 [this](const AbortAnswer&) {
                   caller_->BreakOff();
                   Over("broken_off", 0);
                 }},
      step);
}

auto Forwarder::CallerHead() const -> AnswerHead {
  AnswerHead head = head_;
  EraseHopByHop(head);
  Identify(head);
  return head;
}

auto Forwarder::Identify(AnswerHead& head) const -> void {
  if (attempt_id_.empty()) {
    head.set(engine_.headers().attempt_id, request_id_);
  }
}

auto Forwarder::Refuse(std::string_view reason, ReturnTime time) -> void {
  const Duration longest =
      route_ == nullptr ? time.least + time.spread : TimeLeft() / 3;
  RefuseFor(reason,
            std::min(longest, time.least + std::chrono::duration_cast<Duration>(
                                               time.spread * engine_.Draw())));
}

auto Forwarder::RefuseFor(std::string_view reason, Duration wait) -> void {
  WholeAnswer answer(http::status::service_unavailable, 11);
  Identify(answer.base());
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                std::chrono::duration<double>(wait).count());
  answer.set(http::field::retry_after, text);
  caller_->Answer(std::move(answer));
  Over(reason, 503);
}

auto Forwarder::Fail(unsigned status, std::string_view reason) -> void {
  WholeAnswer answer(static_cast<http::status>(status), 11);
  Identify(answer.base());
  caller_->Answer(std::move(answer));
  Over(reason, status);
}

auto Forwarder::EndForShutdown() -> void {
  if (over_) {
    return;
  }
  const bool is_sent = connection_ != nullptr && connection_->is_sent();
  engine_.Log({"request_cut_by_shutdown",
               {{"request", request_id_},
                {"server", server_.has_value() ? server_->id.text() : ""},
                {"sent", is_sent ? "yes" : "no"},
                {"events", std::to_string(events_passed_)},
                {"left_ms", std::to_string(Milliseconds(TimeLeft()))}}});
  if (server_.has_value()) {
    DropAttempt(false);
  }
  EndUnanswered(is_sent, "shutting_down", kReturnElsewhere, "cut_by_shutdown");
}

auto Forwarder::EndForExcess() -> void {
  if (over_) {
    return;
  }
  const bool is_sent = connection_ != nullptr && connection_->is_sent();
  engine_.metrics().Count("requests_cut_for_memory");
  engine_.Log({"request_cut_for_memory",
               {{"request", request_id_},
                {"server", server_.has_value() ? server_->id.text() : ""},
                {"sent", is_sent ? "yes" : "no"},
                {"request_bytes", std::to_string(request_.body().size())},
                {"answer_bytes", std::to_string(body_.size() + events_.size())},
                {"unsent", std::to_string(caller_->unsent())},
                {"all_bytes", std::to_string(engine_.held()->total())}}});
  if (server_.has_value()) {
    DropAttempt(false);
  }
  caller_->SetRequestBytes(0);
  EndUnanswered(is_sent, "no_memory", {}, "cut_for_memory");
}

auto Forwarder::EndUnanswered(bool is_sent,
                              std::string_view refusal,
                              ReturnTime time,
                              std::string_view cut) -> void {
  std::visit(Overloaded{[&](const RefuseNotRun&) { Refuse(refusal, time); },
                        [&](const AbortAnswer&) {
                          caller_->BreakOff();
                          Over(cut, 0);
                        },
                        [&](const auto&) { Fail(502, cut); }},
             EndUnfinished(progress_, is_sent));
}

auto Forwarder::OnServersChanged() -> void {
  if (connection_ != nullptr && !engine_.chooser().IsUsable(server_->id)) {
    connection_->LimitDelivery();
  }
}

auto Forwarder::Abandon() -> void {
  over_ = true;
  timer_.cancel();
  if (connection_ != nullptr) {
    connection_->Cancel();
    connection_ = nullptr;
  }
}

auto Forwarder::OnCallerGone() -> void {
  if (over_) {
    return;
  }
  if (server_.has_value()) {
    DropAttempt(true);
  }
  Over("caller_left", 0);
}

auto Forwarder::OnCallerDrained() -> void {
  if (connection_ == nullptr || !connection_->is_paused()) {
    return;
  }
  // Nothing was read meanwhile, whatever the server sent.
  last_bytes_ = engine_.Now();
  last_event_at_ = last_bytes_;
  engine_.chooser().OnProgress(last_bytes_, server_->id);
  connection_->Resume();
}

auto Forwarder::ArmTimer() -> void {
  const Instant now = engine_.Now();
  Instant next = progress_.deadline;
  if (waiting_for_server_) {
    const bool is_new_wait =
        now - no_server_since_ < route_->target_latency / kServerWaitPart;
    next = std::min(next, now + (is_new_wait ? kServerPoll : kLongServerPoll));
  } else if (server_.has_value() && progress_.resumable) {
    next = std::min(next, now + kSilencePoll);
  } else if (server_.has_value() && !head_at_.has_value() &&
             progress_.repeat_rule == RepeatRule::kIdempotent) {
    const Instant second_send =
        sent_at_ + std::chrono::duration_cast<Duration>(route_->target_latency *
                                                        kSecondSendPart);
    next = std::min(next, std::max(second_send, now + kSilencePoll));
  }
  timer_.expires_after(std::max(next - now, Duration(1000)));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->over_) {
      self->OnTimer();
    }
  });
}

auto Forwarder::OnTimer() -> void {
  const Instant now = engine_.Now();
  if (now >= progress_.deadline) {
    if (server_.has_value()) {
      progress_.may_have_run = true;
      OnAttemptOver(SendOutcome::kSilent);
    } else {
      waiting_for_server_ = false;
      TakeStep(answer_begun_            ? NextStep(AbortAnswer{})
               : progress_.may_have_run ? NextStep(ReportUnknown{true})
                                        : NextStep(RefuseNotRun{}));
    }
    return;
  }
  if (waiting_for_server_) {
    Dispatch();
    return;
  }
  const auto overdue = OverdueFor(now);
  if (overdue.has_value() && LeaveServer(now, *overdue)) {
    return;
  }
  ArmTimer();
}

auto Forwarder::OverdueFor(Instant now) const -> std::optional<Overdue> {
  if (!server_.has_value() || connection_->is_paused()) {
    return std::nullopt;
  }
  if (!progress_.resumable) {
    const bool is_late =
        !head_at_.has_value() &&
        progress_.repeat_rule == RepeatRule::kIdempotent &&
        now - sent_at_ >= std::chrono::duration_cast<Duration>(
                              route_->target_latency * kSecondSendPart);
    return is_late ? std::optional(Overdue::kAnswer) : std::nullopt;
  }
  const Duration patience =
      MaxServerSilence(*route_, head_at_.has_value(), prompt_.prompt_tokens);
  if (now - last_bytes_ >= patience &&
      engine_.chooser().IsSilent(now, server_->id, patience)) {
    return Overdue::kBytes;
  }
  if (is_stream_ && last_bytes_ > last_event_at_ &&
      now - last_event_at_ >= MaxStreamStall(*route_, prompt_.prompt_tokens)) {
    return Overdue::kEvent;
  }
  return std::nullopt;
}

auto Forwarder::LeaveServer(Instant now, Overdue overdue) -> bool {
  const ForwardProgress after = AfterLeavingServer(progress_);
  auto obstacle = RetryObstacle(now, after, engine_.MayRepeat(service_));
  if (engine_.quarantine().IsHeld(crash_parts_)) {
    obstacle = GiveUpReason::kHeldParts;
  }
  const UsableBackend* next =
      obstacle.has_value() ? nullptr : engine_.chooser().Choose(now, Need());
  if (next == nullptr) {
    if (!std::exchange(kept_overdue_, true)) {
      engine_.metrics().Count("overdue_attempts_kept");
      engine_.Log(
          {"overdue_attempt_kept",
           {{"request", request_id_},
            {"server", server_->id.text()},
            {"overdue", std::string(ToString(overdue))},
            {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
            {"reason", std::string(ToString(
                           obstacle.value_or(GiveUpReason::kNoServer)))}}});
    }
    return false;
  }
  engine_.metrics().Count("overdue_attempts_moved");
  engine_.Log({"overdue_attempt_moved",
               {{"request", request_id_},
                {"server", server_->id.text()},
                {"overdue", std::string(ToString(overdue))},
                {"silent_ms", std::to_string(Milliseconds(now - last_bytes_))},
                {"after_ms", std::to_string(Milliseconds(now - sent_at_))},
                {"events", std::to_string(events_passed_)},
                {"next_server", next->entry.id.text()}}});
  left_.push_back(server_->id);
  progress_ = after;
  progress_.may_return = true;
  arrived_ = true;
  engine_.BudgetFor(service_).OnRepeat(now);
  connection_->Cancel();
  OnSendLeft(now);
  FinishAttempt(SendOutcome::kSilent);
  Send(*next);
  return true;
}

auto Forwarder::CountEvidence(bool failed) -> void {
  VersionCounts counts;
  counts.answers = 1;
  counts.failures = failed ? 1 : 0;
  if (!failed && head_at_.has_value()) {
    const double took = static_cast<double>(Milliseconds(*head_at_ - sent_at_));
    const auto expected = static_cast<double>(Milliseconds(ExpectedDelay()));
    counts.timed = 1;
    counts.log_slowness = std::log((took + 1.0) / expected);
  }
  engine_.AddEvidence({service_, server_->version, route_->name}, counts);
}

auto Forwarder::ExpectedDelay() const -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          kFirstEventMs + prompt_.prompt_tokens / kPromptTokensPerMs));
}

auto Forwarder::EndClocks(Instant now, bool was_given_up) -> void {
  // A server that was not heard of since may be cut off rather than slow.
  const bool was_slow = was_given_up && !engine_.chooser().IsSilent(
                                            now, server_->id, now - sent_at_);
  clocks_.End(now,
              was_slow ? UnansweredEnd::kTooSlow : UnansweredEnd::kNoEvidence);
}

auto Forwarder::Over(std::string_view outcome, unsigned status) -> void {
  over_ = true;
  timer_.cancel();
  caller_->SetRequestBytes(0);
  const Duration total = engine_.Now() - began_;
  engine_.metrics().Count("requests_" + std::string(outcome));
  engine_.metrics().Observe("request", total);
  if (outcome == "answered") {
    engine_.RecordDuration(route_->name, total);
  }
  engine_.Log(
      {"request_over",
       {{"request", request_id_},
        {"route", route_ == nullptr ? "" : route_->name},
        {"account", account_ == nullptr ? "" : account_->id.text()},
        {"outcome", std::string(outcome)},
        {"status", std::to_string(status)},
        {"sends", std::to_string(tried_.size())},
        {"model", names_model_ ? route_->models[model_] : ""},
        {"confidence",
         std::string(
             HeaderValue(head_, engine_.headers().confidence).value_or(""))},
        {"events", std::to_string(events_passed_)},
        {"took_ms", std::to_string(Milliseconds(total))}}});
  engine_.OnRequestOver(shared_from_this());
}

}  // namespace zinniastep
