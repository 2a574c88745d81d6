#ifndef LIBZINNIASTEP_RUNTIME_DAEMON_H_
#define LIBZINNIASTEP_RUNTIME_DAEMON_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include "libzinniastep/configuration/node_settings.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/runtime/attempt_runner.h"
#include "libzinniastep/runtime/call_table.h"
#include "libzinniastep/runtime/caller_front.h"
#include "libzinniastep/runtime/control_loop.h"
#include "libzinniastep/runtime/http_loop.h"
#include "libzinniastep/runtime/http_server.h"
#include "libzinniastep/runtime/metrics.h"
#include "libzinniastep/runtime/peer_transport.h"
#include "libzinniastep/runtime/platform_client.h"
#include "libzinniastep/wire/codec.h"

namespace zinniastep {

class Node;

// One entry host's process: the control core with sockets, clocks and threads
// around it.
class Daemon {
 public:
  // Binds the addresses and starts to serve. The incarnation must be new.
  static auto Start(const NodeSettings& settings, Incarnation incarnation)
      -> absl::StatusOr<std::unique_ptr<Daemon>>;

  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;
  ~Daemon();

  // Begins a graceful shutdown; any thread may call it.
  auto RequestShutdown() -> void;

  // Waits until a graceful shutdown is complete.
  auto WaitForShutdown() -> void;

  // Returns who this process is, with the bound addresses.
  [[nodiscard]] auto identity() const -> const HostIdentity& { return self_; }

 private:
  Daemon(const NodeSettings& settings, Incarnation incarnation);

  auto Listen(const NodeSettings& settings) -> absl::Status;
  auto StartNode(const NodeSettings& settings) -> void;
  auto Hooks() -> CallerFrontHooks;
  auto OnPeerBytes(std::string_view bytes) -> void;
  auto Post(Event event) -> void;

  auto Execute(const SendToPeer& action) -> void;
  auto Execute(const StartAttempt& action) -> void;
  auto Execute(const CancelAttempt& action) -> void;
  auto Execute(const CompleteCall& action) -> void;
  auto Execute(const RefuseCall& action) -> void;
  auto Execute(const LogEvent& action) -> void;
  auto Execute(const ShutdownComplete& action) -> void;
  // All others go to the platform.
  template <class A>
  auto Execute(const A& action) -> void {
    platform_->Do(action);
  }

  HostIdentity self_;
  Codec codec_;
  Metrics metrics_;
  CallTable calls_;
  // The members below are destroyed in reverse order: first what brings events
  // in, then the control thread, then what carries actions out.
  std::unique_ptr<Node> node_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<AttemptRunner> attempts_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<HttpLoop> traffic_loop_;
  std::unique_ptr<HttpLoop> platform_loop_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<CallerFront> front_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool shut_down_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_DAEMON_H_
