#ifndef LIBZINNIASTEP_TRAFFIC_GATEWAY_DAEMON_H_
#define LIBZINNIASTEP_TRAFFIC_GATEWAY_DAEMON_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/gateway_core.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/runtime/http_loop.h"
#include "libzinniastep/runtime/log_buffer.h"
#include "libzinniastep/runtime/metrics.h"
#include "libzinniastep/runtime/peer_transport.h"
#include "libzinniastep/traffic/http_listener.h"
#include "libzinniastep/traffic/operator_page.h"
#include "libzinniastep/traffic/record_store.h"
#include "libzinniastep/traffic/traffic_engine.h"
#include "libzinniastep/wire/codec.h"

namespace zinniastep {

// What a deployment's platform adds to the gateway.
struct PlatformBinding {
  ForwardingHeaders headers;
  RecordDecoders decoders;
  // Makes the store's client; the loop outlives it.
  std::function<std::unique_ptr<RecordStore>(const GatewaySettings& settings,
                                             HttpLoop& loop)>
      make_store;
  // Answers who asks whether this host is ready.
  std::function<WholeAnswer(const CallerRequest& request, bool ready)>
      answer_ready;
  // Answers who asks for addresses.
  std::function<WholeAnswer(const CallerRequest& request,
                            const TrafficView& view,
                            Duration longest_lifetime)>
      answer_directory;
};

// One gateway host: the control thread with its core, the traffic thread with
// its engine, and what they share.
class GatewayDaemon {
 public:
  static auto Start(const GatewaySettings& settings,
                    PlatformBinding binding,
                    Incarnation incarnation,
                    std::shared_ptr<LogBuffer> log)
      -> absl::StatusOr<std::unique_ptr<GatewayDaemon>>;

  GatewayDaemon(const GatewaySettings& settings,
                PlatformBinding binding,
                Incarnation incarnation,
                std::shared_ptr<LogBuffer> log);
  GatewayDaemon(const GatewayDaemon&) = delete;
  auto operator=(const GatewayDaemon&) -> GatewayDaemon& = delete;
  ~GatewayDaemon();

  // Shuts down gracefully: hands over new requests that would take too long,
  // waits for the others, and ends what is unfinished shortly before the time
  // is over. Returns when the callers have their answers, or at that time.
  auto ShutDown() -> void;

  // Notes that the settings file was read again.
  auto OnReload(const GatewaySettings& settings) -> void;

 private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  auto Listen() -> absl::Status;
  auto Run() -> void;
  // Logs a tick that comes late. `last` is the time of the tick before.
  auto NoteTick(std::string_view thread, Duration period, Instant& last)
      -> void;
  auto TickControl() -> void;
  auto TickTraffic() -> void;
  auto TickReports() -> void;
  auto Do(const std::vector<GatewayAction>& actions) -> void;
  auto OnPeerBytes(std::string_view bytes) -> void;
  auto Write(const LogEvent& event) -> void;
  // Runs a function on the traffic thread again and again until it returns
  // true or the time is over.
  auto PollTraffic(std::chrono::steady_clock::time_point until,
                   const std::function<bool()>& is_done) -> void;

  auto Execute(const ListRecords& action) -> void;
  auto Execute(const WatchRecords& action) -> void;
  auto Execute(const RolloutStatusWrite& action) -> void;
  auto Execute(const RegisterHost& action) -> void;
  auto Execute(const ReadHostList& action) -> void;
  auto Execute(const PublishView& action) -> void;
  auto Execute(const DeliverCrashReport& action) -> void;
  auto Execute(const SendToPeer& action) -> void;
  auto Execute(const LogEvent& action) -> void;

  GatewaySettings settings_;
  PlatformBinding binding_;
  HostIdentity self_;
  std::shared_ptr<LogBuffer> log_;
  Metrics metrics_;
  Codec codec_;
  boost::asio::io_context control_io_;
  boost::asio::io_context traffic_io_;
  WorkGuard control_work_;
  WorkGuard traffic_work_;
  boost::asio::steady_timer control_timer_;
  boost::asio::steady_timer traffic_timer_;
  boost::asio::steady_timer report_timer_;
  std::chrono::steady_clock::time_point next_crash_summary_;
  Instant last_control_tick_;
  Instant last_traffic_tick_;
  GatewayCore core_;
  TrafficEngine engine_;
  OperatorPage operator_page_;
  std::unique_ptr<HttpLoop> store_loop_;
  std::unique_ptr<RecordStore> store_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> ready_;
  std::unique_ptr<HttpListener> directory_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
  std::atomic<bool> leaving_ = false;
  std::thread control_thread_;
  std::thread traffic_thread_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_GATEWAY_DAEMON_H_
