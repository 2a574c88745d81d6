// Starts the project's gateway as a process, with settings as the deploy
// file's template gives them.
#ifndef REVIEW_STANDINS_GATEWAY_H_
#define REVIEW_STANDINS_GATEWAY_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

// Bounds of the sites, as the settings of a process state them.
struct Bounds {
  std::int64_t contact_ms = 3000;
  std::int64_t drain_ms = 2500;
  std::int64_t config_apply_ms = 2500;
  std::int64_t grace_s = 8;
};

struct GatewayPlan {
  std::string name;
  std::string zone;
  std::string region;
  std::string ip;
  int front_port = 0;
  int ready_port = 0;
  int directory_port = 0;
  int peer_port = 0;
  int metrics_port = 0;
  std::string store_address;
  std::vector<std::string> seeds;
  nlohmann::json regions;
};

class Gateway {
 public:
  // `program` is the path of zinniastep-gateway, `folder` a temporary folder.
  Gateway(std::string program, std::string folder, GatewayPlan plan);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  auto Start() -> bool;
  // Whether a check of the platform finds it ready in time.
  auto WaitUntilReady(int timeout_ms) -> bool;
  auto Signal(int number) const -> void;
  // The exit status, as waitpid gives it, if it ended in time.
  auto WaitForEnd(int timeout_ms) -> std::optional<int>;
  [[nodiscard]] auto plan() const -> const GatewayPlan& { return plan_; }

 private:
  std::string program_;
  std::string folder_;
  GatewayPlan plan_;
  pid_t pid_ = -1;
};

}  // namespace review

#endif  // REVIEW_STANDINS_GATEWAY_H_
