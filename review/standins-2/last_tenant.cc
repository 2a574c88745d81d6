// The operator takes the last tenant, and with it the last key, out of the
// configuration.

#include "deployment.h"

namespace review {
namespace {

constexpr int kConfigApplyMs = 2500;
constexpr int kRequests = 5;

auto Config(int version, const std::string& tenants) -> std::string {
  return ConfigText(version,
                    RouteText("book", "non_idempotent", "coop-desk", 2000, 1) +
                        "," +
                        RouteText("look", "idempotent", "coop-desk", 2000, 2),
                    R"({"Name":"coop-desk","HealthPath":"/health",)"
                    R"("MaxConns":110,"Protocol":"h1","Tls":false,)"
                    R"("ColdStartS":0.0,"ColdPerS":0.0})",
                    tenants);
}

auto Main(const CaseArguments& arguments) -> void {
  Record record(arguments.record);
  const std::string network = FreeNetwork();
  Store store(network + "200", record);
  Server one("i-one", "coop-desk", network + "101", record);
  Server two("i-two", "coop-desk", network + "102", record);
  store.Put("servers", "i-one", one.Spec("ready", "perth-north"));
  store.Put("servers", "i-two", two.Spec("ready", "perth-south"));
  store.Put("config", "main",
            Config(3, R"([{"Name":"hens","ApiKeys":["key-of-hens"],)"
                      R"("Priority":1,"AllowedRegions":[]}])"));
  Fleet fleet(arguments, network, store.address(), 2);
  if (!fleet.Start()) {
    fleet.End(record, kCouldNotRun);
  }

  int number = 0;
  const auto send = [&](Gateway& gateway, const char* what,
                        const std::string& key) {
    const std::string attempt = "a" + std::to_string(++number);
    record.Line("caller sends attempt=%s to %s with %s \"%s\"", attempt.c_str(),
                gateway.name().c_str(), what, key.c_str());
    const bool reads = number % 2 == 0;
    const Message answer =
        Ask(record, gateway.ip(),
            RequestText(reads ? "GET" : "POST", reads ? "/look/1" : "/book/1",
                        attempt, key, 2000, "", reads ? "" : "one coop"),
            attempt, 3000);
    return std::pair(answer.Status(), one.runs(attempt) + two.runs(attempt));
  };

  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto known = send(fleet[i], "the tenant's key", "key-of-hens");
    const auto unknown = send(fleet[i], "a key of nobody", "key-of-nobody");
    if (known != std::pair(200, 1) || unknown != std::pair(401, 0)) {
      record.Line("the deployment does not work before the change");
      fleet.End(record, kCouldNotRun);
    }
  }
  if (arguments.has_trouble) {
    const long revision = store.Put("config", "main", Config(5, "[]"));
    record.Line("operator: version 5 without the tenant, acknowledged at %ld",
                revision);
  }
  SleepMs(kConfigApplyMs + 1000);

  int dropped_ran = 0;
  int foreign_ran = 0;
  // Beside the rules, which speak of keys.
  int keyless_ran = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    for (int request = 0; request < kRequests; ++request) {
      if (arguments.has_trouble) {
        dropped_ran += send(fleet[i], "the dropped key", "key-of-hens").second;
      } else {
        send(fleet[i], "the tenant's key", "key-of-hens");
      }
      foreign_ran += send(fleet[i], "a key of nobody", "key-of-nobody").second;
      keyless_ran += send(fleet[i], "no key", "").second;
    }
  }
  record.Line(
      "CONFIG: runs with the dropped key, sent later than ConfigApplyMs "
      "after the acknowledgement: %d",
      dropped_ran);
  record.Line("ROUTE: runs with a key that no configuration ever held: %d",
              foreign_ran);
  record.Line("not judged: runs without a key: %d", keyless_ran);
  fleet.End(record, dropped_ran + foreign_ran > 0 ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  review::Main(review::ReadArguments(argc, argv));
}
