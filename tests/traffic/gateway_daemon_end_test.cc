#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <utility>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/traffic/gateway_daemon.h"
#include "platform/binding.h"
#include "tests/process/child_process.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

// What a test and the control thread tell each other.
struct EndOfDaemon {
  std::promise<void> store_entered;
  std::promise<void> daemon_ends;
  std::atomic<bool> loop_ended = false;
  std::promise<bool> loop_ended_in_use;
};

// A store whose first read is under way on the control thread when the daemon
// ends.
class StoreInUse : public RecordStore {
 public:
  StoreInUse(HttpLoop& loop, std::string address, EndOfDaemon& end)
      : loop_(loop), address_(std::move(address)), end_(end) {}

  auto List(const ListRecords& /*read*/, ReadDone /*done*/) -> void override {
    if (std::exchange(entered_, true)) {
      return;
    }
    HttpRequest request;
    request.url = "http://" + address_ + "/";
    loop_.Submit(std::move(request),
                 [this](const HttpResult&) { end_.loop_ended = true; });
    end_.store_entered.set_value();
    end_.daemon_ends.get_future().wait();
    end_.loop_ended_in_use.set_value(Eventually(
        [this] { return end_.loop_ended.load(); }, std::chrono::seconds(1)));
  }
  auto Watch(const WatchRecords& /*read*/, ReadDone /*done*/) -> void override {
  }
  auto WriteStatus(const RolloutStatusWrite& /*write*/, WriteDone /*done*/)
      -> void override {}
  auto Register(const HostIdentity& /*host*/, WriteDone /*done*/)
      -> void override {}
  auto ReadHosts(HostsDone /*done*/) -> void override {}

 private:
  HttpLoop& loop_;
  std::string address_;
  EndOfDaemon& end_;
  bool entered_ = false;
};

auto Settings() -> GatewaySettings {
  GatewaySettings settings;
  settings.host = HostId("h");
  settings.domain = FailureDomainId("north");
  settings.region = RegionId("here");
  settings.caller_address = "127.0.0.1:0";
  settings.ready_address = "127.0.0.1:0";
  settings.directory_address = "127.0.0.1:0";
  settings.peer_address = "127.0.0.1:0";
  settings.signing_keys = {"key"};
  return settings;
}

TEST(GatewayDaemonEnd, TheStoresLoopOutlastsTheThreadThatUsesIt) {
  ScriptedServer silent([](const std::string&) {
    return ScriptedAnswer{"", false, true};
  });
  EndOfDaemon end;
  PlatformBinding binding = platform::MakeBinding();
  binding.make_store = [&](const GatewaySettings&, HttpLoop& loop) {
    return std::make_unique<StoreInUse>(loop, silent.address(), end);
  };
  auto daemon = GatewayDaemon::Start(Settings(), std::move(binding), 1,
                                     std::make_shared<LogBuffer>(-1));
  ASSERT_TRUE(daemon.ok()) << daemon.status();
  end.store_entered.get_future().wait();
  end.daemon_ends.set_value();
  daemon->reset();
  EXPECT_TRUE(end.loop_ended);
  EXPECT_FALSE(end.loop_ended_in_use.get_future().get());
}

}  // namespace
}  // namespace zinniastep::testing
