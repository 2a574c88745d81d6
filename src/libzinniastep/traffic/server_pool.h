#ifndef LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_
#define LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/traffic/server_connection.h"

namespace zinniastep {

// Whether a request may go out on a connection that was used before.
enum class Reuse : std::uint8_t {
  kAllowed,
  // A used connection may prove dead after bytes left, which a request that
  // must run once does not survive.
  kForbidden,
};

// Connections to backend servers that wait for their next request. Each belongs
// to one incarnation of a server: its address may be another's later.
class ServerPool {
 public:
  // Called with the head of each answer that comes from a server.
  using ServerHeadObserver =
      std::function<void(const BackendEntry& server, const AnswerHead& head)>;

  // Requests that a server does not take are dropped after
  // `undelivered_limit`. At most `most_idle` connections are kept: requests
  // that must run once bring a new one each, so that a crowd of them would
  // otherwise take all descriptors within the time that idle ones are kept.
  ServerPool(boost::asio::io_context& io,
             std::string attempt_id_header,
             Duration undelivered_limit,
             std::size_t most_idle,
             ServerHeadObserver on_any_head);

  // Returns a connection to a server for an attempt, or null if its address is
  // malformed. A used connection has not carried the attempt.
  auto Take(const BackendEntry& server,
            Reuse reuse,
            std::string_view attempt_id) -> std::shared_ptr<ServerConnection>;

  // Keeps a connection for the next request if it can carry one.
  auto Return(const BackendEntry& server,
              std::shared_ptr<ServerConnection> connection) -> void;

  // Closes the idle connections to a server.
  auto CloseIdle(const BackendEntry& server) -> void;

  // Closes idle connections that are past their time.
  auto Sweep() -> void;

  // Connections that wait for a request.
  [[nodiscard]] auto idle() const -> std::size_t { return idle_count_; }

  // Connections made since the start.
  [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }

 private:
  // Name and start of an incarnation, and its address.
  using Key = std::tuple<BackendServerId, std::uint64_t, std::string>;

  static auto KeyOf(const BackendEntry& server) -> Key;

  boost::asio::io_context& io_;
  std::string attempt_id_header_;
  Duration undelivered_limit_;
  std::size_t most_idle_;
  ServerHeadObserver on_any_head_;
  std::map<Key, std::vector<std::shared_ptr<ServerConnection>>> idle_;
  // Connections in `idle_`.
  std::size_t idle_count_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_
