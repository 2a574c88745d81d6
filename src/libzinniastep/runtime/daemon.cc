#include "libzinniastep/runtime/daemon.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

#include "libzinniastep/node/node.h"
#include "libzinniastep/runtime/log_writer.h"
#include "libzinniastep/runtime/node_json.h"

namespace zinniastep {

namespace {

constexpr std::size_t kEnvelopeBytes = 16U << 10U;

struct IpAndPort {
  std::string ip;
  std::uint16_t port = 0;
};

// Splits an address that the settings' reader has checked.
auto SplitAddress(std::string_view address) -> IpAndPort {
  const auto colon = address.rfind(':');
  IpAndPort split;
  split.ip = std::string(address.substr(0, colon));
  const std::string_view port = address.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), split.port);
  return split;
}

auto OptionsFor(const NodeSettings& settings) -> NodeOptions {
  NodeOptions options;
  options.membership.seeds = settings.seeds;
  options.session_keys = settings.session_keys;
  options.address_time_to_live =
      std::chrono::seconds(settings.address_ttl_seconds);
  options.admission.most_running = settings.limits.max_calls_in_flight;
  options.admission.most_queued = settings.limits.max_calls_in_flight;
  return options;
}

// Reads "incarnation-sequence" in hexadecimal.
auto ParseRequestId(std::string_view text) -> std::optional<RequestId> {
  constexpr int kHexadecimal = 16;
  const auto dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto read = [](std::string_view digits, std::uint64_t& number) {
    const char* end = digits.data() + digits.size();
    const auto result =
        std::from_chars(digits.data(), end, number, kHexadecimal);
    return result.ec == std::errc() && result.ptr == end;
  };
  RequestId request;
  if (!read(text.substr(0, dash), request.incarnation) ||
      !read(text.substr(dash + 1), request.sequence)) {
    return std::nullopt;
  }
  return request;
}

}  // namespace

auto Daemon::Start(const NodeSettings& settings, Incarnation incarnation)
    -> absl::StatusOr<std::unique_ptr<Daemon>> {
  std::unique_ptr<Daemon> daemon(new Daemon(settings, incarnation));
  if (const absl::Status status = daemon->Listen(settings); !status.ok()) {
    return status;
  }
  return daemon;
}

Daemon::Daemon(const NodeSettings& settings, Incarnation incarnation)
    : codec_(settings.wire_keys) {
  self_.host = settings.host;
  self_.incarnation = incarnation;
  self_.domain = settings.domain;
  self_.region = settings.region;
}

Daemon::~Daemon() {
  // No thread may post to, or be asked by, what is already gone.
  server_.reset();
  peers_.reset();
  traffic_loop_.reset();
  platform_loop_.reset();
  control_.reset();
}

auto Daemon::Listen(const NodeSettings& settings) -> absl::Status {
  auto peers = PeerTransport::Listen(
      settings.peer_address,
      [this](std::string_view bytes) { OnPeerBytes(bytes); });
  if (!peers.ok()) {
    return peers.status();
  }
  self_.peer_address = (*peers)->address();
  const IpAndPort caller = SplitAddress(settings.caller_address);
  HttpServerOptions options;
  options.ip = caller.ip;
  options.port = caller.port;
  options.threads = static_cast<int>(settings.limits.caller_threads);
  options.max_request_bytes = settings.limits.max_body_bytes + kEnvelopeBytes;
  // The transport may deliver before the node stands; such messages are lost.
  peers_ = *std::move(peers);
  auto server = HttpServer::Start(
      options, [this](const HttpRequestView& request,
                      const std::shared_ptr<StreamWriter>& writer) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return front_ != nullptr; });
        lock.unlock();
        front_->Handle(request, writer);
      });
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  self_.caller_address = server_->address();
  StartNode(settings);
  return absl::OkStatus();
}

auto Daemon::StartNode(const NodeSettings& settings) -> void {
  node_ =
      std::make_unique<Node>(self_, OptionsFor(settings), self_.incarnation);
  auto control = std::make_unique<ControlLoop>(*node_, [this](Action action) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  });
  traffic_loop_ = std::make_unique<HttpLoop>();
  platform_loop_ = std::make_unique<HttpLoop>();
  attempts_ = std::make_unique<AttemptRunner>(
      calls_, *traffic_loop_, metrics_,
      [this](Event event) { Post(std::move(event)); });
  platform_ = std::make_unique<PlatformClient>(
      PlatformAddresses{settings.store_address, settings.host_list_address,
                        settings.rating_address},
      *platform_loop_, metrics_,
      [this](Event event) { Post(std::move(event)); });
  auto front = std::make_unique<CallerFront>(
      CallerFrontOptions{settings.operator_key_digest,
                         settings.limits.max_calls_in_flight},
      Hooks(), calls_, metrics_);
  control->Start();
  {
    const std::lock_guard lock(mutex_);
    control_ = std::move(control);
    front_ = std::move(front);
  }
  changed_.notify_all();
}

auto Daemon::Hooks() -> CallerFrontHooks {
  CallerFrontHooks hooks;
  hooks.post = [this](Event event) { Post(std::move(event)); };
  hooks.addresses = [this] {
    AddressAdvice advice;
    control_->Ask(
        [&](Instant, const Node& node) { advice = node.Addresses(); });
    return AddressesAsJson(advice);
  };
  hooks.state = [this] {
    NodeState state;
    control_->Ask(
        [&](Instant now, const Node& node) { state = node.State(now); });
    return StateAsJson(state, peers_->counts());
  };
  hooks.explain = [this](std::string_view text) {
    std::string explained = "[]";
    if (const auto request = ParseRequestId(text)) {
      control_->Ask([&](Instant, const Node& node) {
        explained = node.Explain(*request);
      });
    }
    return explained;
  };
  hooks.models = [this](std::string_view digest) -> std::optional<std::string> {
    ModelAdvice advice;
    control_->Ask(
        [&](Instant, const Node& node) { advice = node.Models(digest); });
    if (!advice.authenticated) {
      return std::nullopt;
    }
    return ModelsAsJson(advice);
  };
  hooks.ready = [this] {
    bool ready = false;
    control_->Ask(
        [&](Instant now, const Node& node) { ready = node.IsReady(now); });
    return ready;
  };
  return hooks;
}

auto Daemon::Post(Event event) -> void {
  control_->Post(std::move(event));
}

auto Daemon::OnPeerBytes(std::string_view bytes) -> void {
  {
    const std::lock_guard lock(mutex_);
    if (control_ == nullptr) {
      return;
    }
  }
  auto envelope = codec_.Decode(bytes);
  if (!envelope.ok()) {
    metrics_.Count("peer_messages_dropped");
    return;
  }
  PeerMessageArrived arrived;
  arrived.from = std::move(envelope->from);
  arrived.from_incarnation = envelope->incarnation;
  arrived.from_address = std::move(envelope->address);
  arrived.message = std::move(envelope->message);
  Post(std::move(arrived));
}

auto Daemon::Execute(const SendToPeer& action) -> void {
  if (action.address.empty()) {
    metrics_.Count("peer_messages_without_address");
    return;
  }
  const Envelope envelope{self_.host, self_.incarnation, self_.peer_address,
                          action.message};
  peers_->Send(action.address, codec_.Encode(envelope));
}

auto Daemon::Execute(const StartAttempt& action) -> void {
  attempts_->Start(action);
}

auto Daemon::Execute(const CancelAttempt& action) -> void {
  attempts_->Cancel(action);
}

auto Daemon::Execute(const CompleteCall& action) -> void {
  metrics_.Count("calls_completed");
  attempts_->Complete(action);
}

auto Daemon::Execute(const RefuseCall& action) -> void {
  metrics_.Count("calls_refused");
  attempts_->Refuse(action);
}

auto Daemon::Execute(const LogEvent& action) -> void {
  WriteLog(action);
}

auto Daemon::Execute(const ShutdownComplete& /*action*/) -> void {
  {
    const std::lock_guard lock(mutex_);
    shut_down_ = true;
  }
  changed_.notify_all();
}

auto Daemon::RequestShutdown() -> void {
  Post(ShutdownRequested{});
}

auto Daemon::WaitForShutdown() -> void {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return shut_down_; });
}

}  // namespace zinniastep
