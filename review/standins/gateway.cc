#include "gateway.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace review {

using nlohmann::json;

Gateway::Gateway(std::string program, std::string folder, GatewayPlan plan)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      plan_(std::move(plan)) {}

Gateway::~Gateway() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

auto Gateway::Start() -> bool {
  const auto address = [this](int port) {
    return plan_.ip + ":" + std::to_string(port);
  };
  const Bounds bounds;
  const json settings = {{"host", plan_.name},
                         {"failure_domain", plan_.zone},
                         {"region", plan_.region},
                         {"regions", plan_.regions},
                         {"caller_address", address(plan_.front_port)},
                         {"ready_address", address(plan_.ready_port)},
                         {"directory_address", address(plan_.directory_port)},
                         {"metrics_address", address(plan_.metrics_port)},
                         {"peer_address", address(plan_.peer_port)},
                         {"seeds", plan_.seeds},
                         {"store_address", plan_.store_address},
                         {"signing_keys", {"zinniastep-gateway-fleet"}},
                         {"shutdown_s", bounds.grace_s},
                         {"leaving_ms", bounds.drain_ms},
                         {"address_lifetime_s", 5},
                         {"repeat_share", 0.9},
                         {"repeat_slack", 56},
                         {"repeat_window_s", 10},
                         {"most_descriptors", 4100}};
  const std::string file = folder_ + "/" + plan_.name + ".json";
  std::ofstream(file) << settings.dump(1);
  const std::string log = folder_ + "/" + plan_.name + ".log";
  const std::string option = "--settings=" + file;
  pid_ = fork();
  if (pid_ == 0) {
    // The gateway must not outlive a case that is ended.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program_.c_str(), program_.c_str(), option.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  return pid_ > 0;
}

auto Gateway::WaitUntilReady(int timeout_ms) -> bool {
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (const auto check = Connection::Open(plan_.ip, plan_.ready_port, 200)) {
      check->Write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      const auto answer = check->Read(NowMs() + 500);
      if (answer.has_value() && answer->Status() == 200) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

auto Gateway::Signal(int number) const -> void {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

auto Gateway::WaitForEnd(int timeout_ms) -> std::optional<int> {
  const std::int64_t until = NowMs() + timeout_ms;
  while (pid_ > 0 && NowMs() < until) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return status;
    }
    SleepMs(10);
  }
  return std::nullopt;
}

}  // namespace review
