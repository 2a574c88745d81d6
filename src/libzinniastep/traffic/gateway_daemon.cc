#include "libzinniastep/traffic/gateway_daemon.h"

#include <chrono>
#include <ctime>
#include <future>
#include <utility>

#include <boost/asio/post.hpp>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/runtime/log_writer.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;

// The control core's clock. Its periods are several times as long.
constexpr Duration kControlTick = std::chrono::milliseconds(100);
// A host that starts lets callers' connections wait for its first view, which
// takes some 0.4 s. Without one by then callers are refused: those that wait
// for a second without being read give the host up.
constexpr Duration kLongestUnready = std::chrono::milliseconds(800);
constexpr Duration kTrafficTick = std::chrono::milliseconds(250);
constexpr Duration kReportTick = std::chrono::milliseconds(100);
// A tick that is late by more than this shows that the thread or the whole
// process was held up.
constexpr Duration kLateTick = std::chrono::milliseconds(200);
constexpr Duration kCrashSummaryPeriod = std::chrono::seconds(1);
// After the signal callers learn from the directory that this host leaves;
// until then it takes new connections.
constexpr Duration kAcceptAfterSignal = std::chrono::milliseconds(2500);
// Requests are ended this long before the process's time is over, so that
// callers are told.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(500);
// The process ends this long before its time is over.
constexpr Duration kExitReserve = std::chrono::milliseconds(100);
constexpr Duration kShutdownPoll = std::chrono::milliseconds(50);

auto SteadyInstant() -> Instant {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

auto IdentityOf(const GatewaySettings& settings, Incarnation incarnation)
    -> HostIdentity {
  return {settings.host,           incarnation,     settings.peer_address,
          settings.caller_address, settings.domain, settings.region};
}

}  // namespace

auto GatewayDaemon::Start(const GatewaySettings& settings,
                          PlatformBinding binding,
                          Incarnation incarnation,
                          std::shared_ptr<LogBuffer> log)
    -> absl::StatusOr<std::unique_ptr<GatewayDaemon>> {
  auto daemon = std::make_unique<GatewayDaemon>(settings, std::move(binding),
                                                incarnation, std::move(log));
  if (const absl::Status status = daemon->Listen(); !status.ok()) {
    return status;
  }
  daemon->Run();
  return daemon;
}

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings,
                             PlatformBinding binding,
                             Incarnation incarnation,
                             std::shared_ptr<LogBuffer> log)
    : settings_(settings),
      binding_(std::move(binding)),
      self_(IdentityOf(settings, incarnation)),
      log_(std::move(log)),
      codec_(settings.signing_keys),
      control_work_(control_io_.get_executor()),
      traffic_work_(traffic_io_.get_executor()),
      control_timer_(control_io_),
      traffic_timer_(traffic_io_),
      report_timer_(traffic_io_),
      core_(self_, settings, binding_.decoders, incarnation),
      engine_(
          traffic_io_,
          settings,
          binding_.headers,
          metrics_,
          [this](const LogEvent& event) { Write(event); },
          StableHash(settings.host.text(), incarnation)),
      operator_page_(engine_, metrics_, settings.signing_keys) {}

GatewayDaemon::~GatewayDaemon() {
  // The threads use the peers and the store's loop, which may still post to
  // them until they end themselves.
  control_work_.reset();
  traffic_work_.reset();
  control_io_.stop();
  traffic_io_.stop();
  if (control_thread_.joinable()) {
    control_thread_.join();
  }
  if (traffic_thread_.joinable()) {
    traffic_thread_.join();
  }
  peers_.reset();
  store_loop_.reset();
}

auto GatewayDaemon::Listen() -> absl::Status {
  const auto limits = [this] { return engine_.Limits(); };
  const auto listen = [&](std::unique_ptr<HttpListener>& listener,
                          const std::string& address,
                          std::size_t most_connections,
                          CallerConnection::Handler handler) -> absl::Status {
    auto started =
        HttpListener::Start(traffic_io_, address, limits, std::move(handler),
                            engine_.held(), most_connections);
    if (!started.ok()) {
      return absl::UnavailableError(address + ": " +
                                    std::string(started.status().message()));
    }
    listener = *std::move(started);
    return absl::OkStatus();
  };
  absl::Status status = listen(
      callers_, settings_.caller_address, MostCallers(settings_),
      [this](std::shared_ptr<CallerConnection> caller, CallerRequest request) {
        engine_.OnRequest(std::move(caller), std::move(request));
      });
  status.Update(listen(ready_, settings_.ready_address, MostAskers(settings_),
                       [this](const std::shared_ptr<CallerConnection>& caller,
                              const CallerRequest& request) {
                         caller->Answer(binding_.answer_ready(
                             request, engine_.is_ready() && !leaving_));
                       }));
  status.Update(listen(
      directory_, settings_.directory_address, MostAskers(settings_),
      [this](const std::shared_ptr<CallerConnection>& caller,
             const CallerRequest& request) {
        caller->Answer(binding_.answer_directory(
            request, engine_.view(), settings_.longest_address_lifetime));
      }));
  if (!settings_.metrics_address.empty()) {
    status.Update(listen(
        metrics_listener_, settings_.metrics_address, MostAskers(settings_),
        [this](const std::shared_ptr<CallerConnection>& caller,
               const CallerRequest& request) {
          caller->Answer(operator_page_.Answer(request, std::time(nullptr)));
        }));
  }
  if (!status.ok()) {
    return status;
  }
  auto peers = PeerTransport::Listen(
      settings_.peer_address,
      [this](std::string_view bytes) { OnPeerBytes(bytes); });
  if (!peers.ok()) {
    return peers.status();
  }
  peers_ = *std::move(peers);
  ready_->BeginAccept();
  directory_->BeginAccept();
  if (metrics_listener_ != nullptr) {
    metrics_listener_->BeginAccept();
  }
  return absl::OkStatus();
}

auto GatewayDaemon::Run() -> void {
  store_loop_ = std::make_unique<HttpLoop>();
  store_ = binding_.make_store(settings_, *store_loop_);
  asio::post(control_io_, [this] { TickControl(); });
  asio::post(traffic_io_, [this] { TickTraffic(); });
  asio::post(traffic_io_, [this] { TickReports(); });
  control_thread_ = std::thread([this] { control_io_.run(); });
  traffic_thread_ = std::thread([this] { traffic_io_.run(); });
}

auto GatewayDaemon::NoteTick(std::string_view thread,
                             Duration period,
                             Instant& last) -> void {
  const Instant now = SteadyInstant();
  const Duration late = now - last - period;
  if (last != Instant() && late > kLateTick) {
    const TransportCounts counts = peers_->counts();
    Write(
        {"thread_held_up",
         {{"thread", std::string(thread)},
          {"late_ms",
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(late)
                   .count())},
          {"peer_bytes_sent", std::to_string(counts.sent_bytes)},
          {"peer_bytes_received", std::to_string(counts.received_bytes)},
          {"peer_connections_lost", std::to_string(counts.lost_connections)}}});
  }
  last = now;
}

auto GatewayDaemon::TickControl() -> void {
  NoteTick("control", kControlTick, last_control_tick_);
  control_timer_.expires_after(kControlTick);
  control_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      TickControl();
    }
  });
  Do(core_.OnTime(SteadyInstant()));
  log_->Flush();
}

auto GatewayDaemon::TickTraffic() -> void {
  NoteTick("traffic", kTrafficTick, last_traffic_tick_);
  traffic_timer_.expires_after(kTrafficTick);
  traffic_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      TickTraffic();
    }
  });
  engine_.Sweep();
  if (std::chrono::steady_clock::now() - started_ >= kLongestUnready) {
    callers_->BeginAccept();
  }
  auto rows = engine_.TakeEvidence();
  if (!rows.empty()) {
    asio::post(control_io_, [this, rows = std::move(rows)] {
      Do(core_.OnEvidence(SteadyInstant(), rows));
    });
  }
}

auto GatewayDaemon::TickReports() -> void {
  report_timer_.expires_after(kReportTick);
  report_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      TickReports();
    }
  });
  const auto spread = [this](std::optional<CrashReport> report,
                             CrashReportKind kind) {
    if (report.has_value()) {
      asio::post(control_io_, [this, kind, report = *std::move(report)] {
        Do(core_.SpreadCrashReport(report, kind));
      });
    }
  };
  spread(engine_.TakeCrashNews(), CrashReportKind::kNews);
  const auto now = std::chrono::steady_clock::now();
  if (now >= next_crash_summary_) {
    next_crash_summary_ = now + kCrashSummaryPeriod;
    spread(engine_.CrashSummary(), CrashReportKind::kSummary);
  }
}

auto GatewayDaemon::OnPeerBytes(std::string_view bytes) -> void {
  auto envelope = codec_.Decode(bytes);
  if (!envelope.ok()) {
    metrics_.Count("peer_messages_rejected");
    return;
  }
  asio::post(control_io_, [this, message = *std::move(envelope)] {
    Do(core_.OnPeerMessage(
        SteadyInstant(),
        PeerRef{message.from, message.incarnation, message.address},
        message.message));
  });
}

auto GatewayDaemon::Write(const LogEvent& event) -> void {
  WriteLog(event);
}

auto GatewayDaemon::Do(const std::vector<GatewayAction>& actions) -> void {
  for (const GatewayAction& action : actions) {
    std::visit([this](const auto& specific) { Execute(specific); }, action);
  }
}

auto GatewayDaemon::Execute(const ListRecords& action) -> void {
  metrics_.Count("store_lists");
  store_->List(action, [this, kind = action.kind](RecordReadResult result) {
    asio::post(control_io_, [this, kind, result = std::move(result)] {
      Do(core_.OnRead(SteadyInstant(), kind, result));
    });
  });
}

auto GatewayDaemon::Execute(const WatchRecords& action) -> void {
  metrics_.Count("store_watches");
  store_->Watch(action, [this, kind = action.kind](RecordReadResult result) {
    asio::post(control_io_, [this, kind, result = std::move(result)] {
      Do(core_.OnRead(SteadyInstant(), kind, result));
    });
  });
}

auto GatewayDaemon::Execute(const RolloutStatusWrite& action) -> void {
  metrics_.Count("store_writes");
  store_->WriteStatus(action, [this, name = action.name](WriteOutcome outcome) {
    asio::post(control_io_, [this, name, outcome] {
      Do(core_.OnStatusWritten(SteadyInstant(), name, outcome));
    });
  });
}

auto GatewayDaemon::Execute(const RegisterHost& action) -> void {
  metrics_.Count("store_writes");
  store_->Register(action.identity, [this](WriteOutcome outcome) {
    asio::post(control_io_, [this, outcome] {
      Do(core_.OnRegistered(SteadyInstant(), outcome));
    });
  });
}

auto GatewayDaemon::Execute(const ReadHostList& /*action*/) -> void {
  metrics_.Count("store_lists");
  store_->ReadHosts([this](HostListRead list) {
    asio::post(control_io_, [this, list = std::move(list)] {
      Do(core_.OnHostList(SteadyInstant(), list));
    });
  });
}

auto GatewayDaemon::Execute(const PublishView& action) -> void {
  asio::post(traffic_io_, [this, view = action.view] {
    engine_.SetView(view);
    if (engine_.is_ready()) {
      callers_->BeginAccept();
    }
  });
}

auto GatewayDaemon::Execute(const DeliverCrashReport& action) -> void {
  asio::post(traffic_io_,
             [this, report = action.report] { engine_.OnCrashReport(report); });
}

auto GatewayDaemon::Execute(const SendToPeer& action) -> void {
  metrics_.Count("peer_messages_sent");
  peers_->Send(action.address,
               codec_.Encode({self_.host, self_.incarnation, self_.peer_address,
                              action.message}));
}

auto GatewayDaemon::Execute(const LogEvent& action) -> void {
  if (action.event.ends_with("_unreadable") ||
      action.event.starts_with("store_era_") ||
      action.event.starts_with("restored_")) {
    metrics_.Count(action.event);
  }
  Write(action);
}

auto GatewayDaemon::OnReload(const GatewaySettings& settings) -> void {
  Write({"settings_read", {{"host", settings.host.text()}}});
}

auto GatewayDaemon::PollTraffic(std::chrono::steady_clock::time_point until,
                                const std::function<bool()>& is_done) -> void {
  for (;;) {
    std::promise<bool> done;
    asio::post(traffic_io_, [&] { done.set_value(is_done()); });
    if (done.get_future().get() ||
        std::chrono::steady_clock::now() + kShutdownPoll >= until) {
      return;
    }
    std::this_thread::sleep_for(kShutdownPoll);
  }
}

auto GatewayDaemon::ShutDown() -> void {
  const auto signalled = std::chrono::steady_clock::now();
  const auto end = signalled + settings_.shutdown_time;
  const auto answer_by = end - kAnswerReserve;
  leaving_ = true;
  Write({"shutdown_begins", {{"host", self_.host.text()}}});
  asio::post(control_io_, [this] { Do(core_.BeginShutdown(SteadyInstant())); });
  asio::post(traffic_io_, [this, answer_by] {
    callers_->BeginShutdown();
    engine_.BeginShutdown(Instant(
        std::chrono::duration_cast<Duration>(answer_by.time_since_epoch())));
  });
  std::this_thread::sleep_for(
      std::min<Duration>(kAcceptAfterSignal, settings_.shutdown_time / 3));
  asio::post(traffic_io_, [this] {
    callers_->Close();
    engine_.RefuseNew();
  });
  PollTraffic(answer_by, [this] {
    callers_->RefuseUnread();
    callers_->CloseIdle();
    return engine_.active() == 0;
  });
  PollTraffic(end - kExitReserve, [this] {
    engine_.EndRequests();
    callers_->RefuseUnread();
    callers_->CloseIdle();
    // A process that ends with unread bytes resets the connection, which can
    // take the answer from its caller.
    return callers_->open() == 0;
  });
  Write({"shutdown_complete",
         {{"took_ms",
           std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::steady_clock::now() - signalled)
                              .count())}}});
  log_->Flush();
}

}  // namespace zinniastep
