// A key is withdrawn and a route is moved. Then two gateways are restarted in
// turn, as planned, while the store comes back from a copy that is some seconds
// old.

#include "deployment.h"

namespace review {
namespace {

constexpr int kContactMs = 3000;
constexpr int kConfigApplyMs = 2500;
constexpr int kGraceMs = 8000;
constexpr int kAwayMs = 1000;
constexpr int kGapMs = 3600;
constexpr int kGateways = 3;
constexpr std::size_t kRestarted = 2;
// The operator writes again what the store lost this long after its return.
constexpr int kRewriteAfterMs = 11000;

auto Config(int version, const std::string& service, const std::string& keys)
    -> std::string {
  return ConfigText(
      version, RouteText("look", "idempotent", service, 2000, 2),
      R"({"Name":"old-desk","HealthPath":"/health","MaxConns":110,)"
      R"("Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0},)"
      R"({"Name":"new-desk","HealthPath":"/health","MaxConns":110,)"
      R"("Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0})",
      R"([{"Name":"hens","ApiKeys":[)" + keys +
          R"(],"Priority":1,"AllowedRegions":[]}])");
}

// How far the restart of one gateway is.
struct Stage {
  bool is_signalled = false;
  std::optional<Clock::time_point> ended;
  std::optional<Clock::time_point> started;
};

auto Main(const CaseArguments& arguments) -> void {
  Record record(arguments.record);
  const std::string network = FreeNetwork();
  Store store(network + "200", record);
  Server old_desk("i-old", "old-desk", network + "101", record);
  Server new_desk("i-new", "new-desk", network + "102", record);
  store.Put("servers", "i-old", old_desk.Spec());
  store.Put("servers", "i-new", new_desk.Spec());
  store.Put("config", "main",
            Config(3, "old-desk", R"("key-withdrawn","key-kept")"));
  // The seeds are stale: machines that are gone.
  Fleet fleet(arguments, network, store.address(),
              {"perth-north", "perth-south"}, kGateways, 4100,
              "\"" + network + "21:8229\",\"" + network + "22:8229\",\"" +
                  network + "23:8229\"");
  if (!fleet.Start()) {
    fleet.End(record, kCouldNotRun);
  }

  struct Seen {
    bool withdrawn_ran = false;
    bool ran_at_old_service = false;
  };
  int number = 0;
  const auto ask = [&](Gateway& gateway, const std::string& key) {
    const std::string attempt = gateway.name() + "-" + std::to_string(++number);
    record.Line("caller sends attempt=%s with %s", attempt.c_str(),
                key.c_str());
    Ask(record, gateway.ip(), RequestText("GET", "/look/1", attempt, key, 2000),
        attempt, 2500);
    const bool ran_old = old_desk.runs(attempt) > 0;
    const bool ran = ran_old || new_desk.runs(attempt) > 0;
    return Seen{ran && key == "key-withdrawn", ran_old};
  };
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (!ask(fleet[i], "key-withdrawn").ran_at_old_service) {
      fleet.End(record, kCouldNotRun);
    }
  }

  store.TakeCopy();
  SleepMs(1000);
  const std::string last = Config(5, "new-desk", R"("key-kept")");
  store.Put("config", "main", last);
  record.Line(
      "operator: version 5 withdraws a key and moves the route; "
      "acknowledged");
  SleepMs(kConfigApplyMs + 1000);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const Seen kept = ask(fleet[i], "key-kept");
    const Seen withdrawn = ask(fleet[i], "key-withdrawn");
    if (kept.ran_at_old_service || withdrawn.withdrawn_ran) {
      record.Line("version 5 is not in force in time without any disruption");
      fleet.End(record, kCouldNotRun);
    }
  }

  // The store goes away while the first gateway stops.
  std::thread drill([&] {
    if (arguments.has_trouble) {
      store.RestoreCopy(kAwayMs);
    }
  });
  const auto begin = Clock::now();
  std::vector<Stage> stages(kRestarted);
  while (std::ranges::any_of(
      stages, [](const Stage& stage) { return !stage.started.has_value(); })) {
    for (std::size_t i = 0; i < kRestarted; ++i) {
      Stage& stage = stages[i];
      const auto due = begin + milliseconds(kGapMs) * static_cast<int>(i);
      if (!stage.is_signalled && Clock::now() >= due) {
        stage.is_signalled = true;
        record.Line("platform: SIGTERM to %s", fleet[i].name().c_str());
        fleet[i].Signal(SIGTERM);
      } else if (stage.is_signalled && !stage.ended.has_value() &&
                 fleet[i].Wait(1) == 0) {
        stage.ended = Clock::now();
      } else if (stage.ended.has_value() && !stage.started.has_value() &&
                 Clock::now() >= *stage.ended + milliseconds(500)) {
        stage.started = Clock::now();
        fleet[i].Start();
        record.Line("platform: %s is started again", fleet[i].name().c_str());
      } else if (Clock::now() > due + milliseconds(kGraceMs + 2000)) {
        fleet.End(record, kCouldNotRun);
      }
    }
    SleepMs(10);
  }
  drill.join();
  for (std::size_t i = 0; i < kRestarted; ++i) {
    if (!fleet[i].WaitUntilReady(10000)) {
      fleet.End(record, kCouldNotRun);
    }
  }
  const auto back = begin + milliseconds(kAwayMs);
  int withdrawn_runs = 0;
  int old_service_runs = 0;
  int requests = 0;
  while (Clock::now() < back + milliseconds(kRewriteAfterMs)) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      // A machine is in touch when neither the store nor the machine was
      // disturbed for ContactMs; half a second more is allowed here.
      if (Clock::now() <
          std::max(back, i < kRestarted ? *stages[i].started : back) +
              milliseconds(kContactMs + 500)) {
        continue;
      }
      for (const char* key : {"key-withdrawn", "key-kept"}) {
        const Seen seen = ask(fleet[i], key);
        ++requests;
        withdrawn_runs += seen.withdrawn_ran ? 1 : 0;
        old_service_runs += seen.ran_at_old_service ? 1 : 0;
      }
    }
    SleepMs(200);
  }
  if (arguments.has_trouble) {
    store.Put("config", "main", last);
    record.Line("operator: writes version 5 again");
    SleepMs(kConfigApplyMs + 500);
    const Seen after = ask(fleet[0], "key-withdrawn");
    record.Line("after that the withdrawn key %s",
                after.withdrawn_ran ? "still runs" : "runs no more");
  }
  record.Line(
      "CONFIG: of %d requests sent by machines in touch, later than "
      "ConfigApplyMs after the acknowledgement, %d ran with the "
      "withdrawn key and %d at the old service",
      requests, withdrawn_runs, old_service_runs);
  fleet.End(record, withdrawn_runs + old_service_runs > 0 ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  review::Main(review::ReadArguments(argc, argv));
}
