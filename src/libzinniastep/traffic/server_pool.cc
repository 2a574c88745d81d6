#include "libzinniastep/traffic/server_pool.h"

#include <chrono>
#include <utility>

#include "libzinniastep/traffic/socket_address.h"

namespace zinniastep {

ServerPool::ServerPool(boost::asio::io_context& io,
                       std::string attempt_id_header,
                       Duration undelivered_limit,
                       std::size_t most_idle,
                       ServerHeadObserver on_any_head)
    : io_(io),
      attempt_id_header_(std::move(attempt_id_header)),
      undelivered_limit_(undelivered_limit),
      most_idle_(most_idle),
      on_any_head_(std::move(on_any_head)) {}

auto ServerPool::KeyOf(const BackendEntry& server) -> Key {
  return {server.id, server.started, server.address};
}

auto ServerPool::Take(const BackendEntry& server,
                      Reuse reuse,
                      std::string_view attempt_id)
    -> std::shared_ptr<ServerConnection> {
  const auto now = std::chrono::steady_clock::now();
  if (reuse == Reuse::kAllowed) {
    auto& idle = idle_[KeyOf(server)];
    // The one used last is the least likely to be closed by now.
    for (std::size_t index = idle.size(); index-- > 0;) {
      if (idle[index]->IsReusable(now) &&
          !idle[index]->CanTellApart(attempt_id)) {
        continue;
      }
      std::shared_ptr<ServerConnection> connection = std::move(idle[index]);
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
      --idle_count_;
      if (connection->IsReusable(now)) {
        return connection;
      }
      connection->Cancel();
    }
  }
  const auto endpoint = ParseEndpoint(server.address);
  if (!endpoint.ok()) {
    return nullptr;
  }
  ++opened_;
  return std::make_shared<ServerConnection>(
      io_, *endpoint, attempt_id_header_, undelivered_limit_,
      [this, server](const AnswerHead& head) { on_any_head_(server, head); });
}

auto ServerPool::Return(const BackendEntry& server,
                        std::shared_ptr<ServerConnection> connection) -> void {
  if (idle_count_ >= most_idle_ ||
      !connection->IsReusable(std::chrono::steady_clock::now())) {
    connection->Cancel();
    return;
  }
  connection->BecomeIdle();
  ++idle_count_;
  idle_[KeyOf(server)].push_back(std::move(connection));
}

auto ServerPool::CloseIdle(const BackendEntry& server) -> void {
  const auto idle = idle_.extract(KeyOf(server));
  if (idle.empty()) {
    return;
  }
  idle_count_ -= idle.mapped().size();
  for (const auto& connection : idle.mapped()) {
    connection->Cancel();
  }
}

auto ServerPool::Sweep() -> void {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [server, idle] : idle_) {
    idle_count_ -= std::erase_if(idle, [now](const auto& connection) {
      if (connection->IsReusable(now)) {
        return false;
      }
      connection->Cancel();
      return true;
    });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace zinniastep
