// Case 10: the two gateways of a region are stopped and started in turn. Callers
// of the region ask the directory where to send requests whose route has the
// region as its home.

#include <random>

#include "deployment.h"

namespace review {
namespace {

constexpr int kCallers = 6;
constexpr int kRunMs = 32000;
constexpr int kGraceMs = 8000;
// The first two are perth's, the others bunbury's.
constexpr std::size_t kHomeGateways = 2;

// Returns the addresses that a directory names, if it answers in a second.
auto LookUp(const std::string& ip) -> std::vector<std::string> {
  std::vector<std::string> addresses;
  Socket socket = Connect(ip, 8224);
  if (!socket.open() ||
      !socket.Write("GET /v1/lookup?Name=x.example&Region=perth&"
                    "Zone=perth-north HTTP/1.1\r\nHost: directory\r\n"
                    "Connection: close\r\n\r\n")) {
    return addresses;
  }
  Reader reader(socket);
  const Message answer = reader.Next(1000, true);
  if (!answer.is_whole || answer.Status() != 200) {
    return addresses;
  }
  const auto begin = answer.body.find('[');
  const std::string list =
      answer.body.substr(begin + 1, answer.body.find(']') - begin - 1);
  for (std::size_t at = list.find('"'); at != std::string::npos;) {
    const auto end = list.find('"', at + 1);
    const std::string address = list.substr(at + 1, end - at - 1);
    addresses.push_back(address.substr(0, address.find(':')));
    at = list.find('"', end + 1);
  }
  return addresses;
}

auto Main(const CaseArguments& arguments) -> void {
  Record record(arguments.record);
  const std::string network = FreeNetwork();
  Store store(network + "200", record);
  Server one("i-one", "coop-desk", network + "101", record);
  Server two("i-two", "coop-desk", network + "102", record);
  store.Put("servers", "i-one", one.Spec("ready", "perth-north"));
  store.Put("servers", "i-two", two.Spec("ready", "bunbury-a"));
  std::string route = RouteText("look", "idempotent", "coop-desk", 2000, 2);
  const std::string anywhere = R"("AllowedRegions":[])";
  route.replace(route.find(anywhere), anywhere.size(),
                R"("AllowedRegions":["perth"])");
  store.Put("config", "main",
            ConfigText(3, route,
                       R"({"Name":"coop-desk","HealthPath":"/health",)"
                       R"("MaxConns":110,"Protocol":"h1","Tls":false,)"
                       R"("ColdStartS":0.0,"ColdPerS":0.0})",
                       R"([{"Name":"hens","ApiKeys":["key-of-hens"],)"
                       R"("Priority":1,"AllowedRegions":[]}])"));
  Fleet fleet(arguments, network, store.address(),
              {"perth-north", "perth-south", "bunbury-a", "bunbury-a"}, 4,
              4100);
  if (!fleet.Start()) {
    fleet.End(record, kCouldNotRun);
  }

  std::atomic<int> sent = 0;
  std::atomic<int> sent_away = 0;
  std::atomic<int> served = 0;
  const auto end = Clock::now() + milliseconds(kRunMs);
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      std::mt19937 random(static_cast<unsigned>(caller) + 1);
      std::vector<std::string> addresses;
      auto looked_up = Clock::now() - std::chrono::hours(1);
      for (int request = 0; Clock::now() < end; ++request) {
        if (Clock::now() - looked_up > std::chrono::seconds(2)) {
          // The nearest directories first, three at most.
          for (std::size_t i = 0; i < kHomeGateways + 1; ++i) {
            auto found = LookUp(fleet[i].ip());
            if (!found.empty()) {
              addresses = std::move(found);
              looked_up = Clock::now();
              break;
            }
          }
        }
        if (!addresses.empty()) {
          const std::string ip = addresses[random() % addresses.size()];
          const bool is_home =
              ip == fleet[0].ip() || ip == fleet[1].ip();
          const std::string attempt =
              "c" + std::to_string(caller) + "-" + std::to_string(request);
          ++sent;
          sent_away += is_home ? 0 : 1;
          record.Line("caller sends attempt=%s to %s in %s", attempt.c_str(),
                      ip == fleet[0].ip()   ? "front-1"
                      : ip == fleet[1].ip() ? "front-2"
                      : ip == fleet[2].ip() ? "front-3"
                                            : "front-4",
                      is_home ? "perth" : "bunbury");
          served += Ask(record, ip,
                        RequestText("GET", "/look/1", attempt, "key-of-hens",
                                    2000),
                        attempt, 2500)
                                .Status() == 200
                        ? 1
                        : 0;
        }
        SleepMs(200);
      }
    });
  }
  SleepMs(4000);
  if (arguments.has_trouble) {
    for (std::size_t i = 0; i < kHomeGateways; ++i) {
      record.Line("platform: SIGTERM to %s", fleet[i].name().c_str());
      fleet[i].Signal(SIGTERM);
      const int status = fleet[i].Wait(kGraceMs);
      record.Line("platform: %s ended with status %d and is started again",
                  fleet[i].name().c_str(), status);
      SleepMs(500);
      fleet[i].Start();
      if (!fleet[i].WaitUntilReady(10000)) {
        fleet.End(record, kCouldNotRun);
      }
      SleepMs(3000);
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Line("HOME: of %d requests of perth's callers on a route with the home "
              "perth, the directory sent %d to bunbury; %d were served",
              sent.load(), sent_away.load(), served.load());
  if (sent == 0 || served == 0) {
    fleet.End(record, kCouldNotRun);
  }
  fleet.End(record, sent_away * 20 > sent ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  review::Main(review::ReadArguments(argc, argv));
}
