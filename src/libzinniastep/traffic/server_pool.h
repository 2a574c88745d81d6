#ifndef LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_
#define LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libzinniastep/traffic/server_connection.h"

namespace zinniastep {

// Whether a request may go out on a connection that was used before.
enum class Reuse : std::uint8_t {
  kAllowed,
  // A used connection may prove dead after bytes left, which a request that
  // must run once does not survive.
  kForbidden,
};

// Connections to backend servers that wait for their next request.
class ServerPool {
 public:
  // Requests that a server does not take are dropped after
  // `undelivered_limit`.
  ServerPool(boost::asio::io_context& io,
             std::string attempt_id_header,
             Duration undelivered_limit);

  // Returns a connection to a numeric "address:port" for an attempt, or null
  // for a malformed address. A used connection has not carried the attempt.
  auto Take(const std::string& address,
            Reuse reuse,
            std::string_view attempt_id) -> std::shared_ptr<ServerConnection>;

  // Keeps a connection for the next request if it can carry one.
  auto Return(const std::string& address,
              std::shared_ptr<ServerConnection> connection) -> void;

  // Closes idle connections that are past their time.
  auto Sweep() -> void;

  // Connections made since the start.
  [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }

 private:
  boost::asio::io_context& io_;
  std::string attempt_id_header_;
  Duration undelivered_limit_;
  std::map<std::string, std::vector<std::shared_ptr<ServerConnection>>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SERVER_POOL_H_
