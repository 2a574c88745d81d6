#ifndef ZINNIASTEP_STANDIN_PLATFORM_H_
#define ZINNIASTEP_STANDIN_PLATFORM_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libzinniastep/runtime/http_server.h"
#include "zinniastep-standin/account.h"
#include "zinniastep-standin/backend_server.h"
#include "zinniastep-standin/event_loop.h"
#include "zinniastep-standin/object_api.h"
#include "zinniastep-standin/quality.h"
#include "zinniastep-standin/settings.h"

namespace zinniastep::standin {

// All that stands around the entry hosts: object API, host list, rating
// service and backend servers, each backend server on its own port.
class Platform {
 public:
  // Binds all ports and serves.
  static auto Start(const Settings& settings)
      -> absl::StatusOr<std::unique_ptr<Platform>>;

  Platform(const Platform&) = delete;
  auto operator=(const Platform&) -> Platform& = delete;
  ~Platform();

  // The bound addresses as JSON.
  auto Addresses() const -> nlohmann::json;

 private:
  explicit Platform(const Settings& settings);

  auto Serve() -> absl::Status;
  auto PutObjects() -> void;
  auto Handle(const Request& request) -> void;
  auto SetFaults(const Request& request) -> void;
  auto SetFault(const nlohmann::json& fault) -> void;
  auto Rate(const Request& request) -> void;
  auto PutHosts(const Request& request) -> void;

  const Settings settings_;
  Account account_;
  Quality quality_;
  Random random_;
  bool rating_down_ = false;
  nlohmann::json hosts_;
  Duration host_list_lag_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  EventLoop loop_;
  ObjectApi objects_;
  std::unique_ptr<HttpServer> main_;
  std::vector<std::unique_ptr<HttpServer>> endpoints_;
};

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_PLATFORM_H_
