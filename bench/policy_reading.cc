#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>

#include "platform/policy_reader.h"
#include "platform/record_reader.h"

namespace zinniastep::platform {
namespace {

constexpr int kReads = 30;

// A configuration of about 200 bytes a route.
auto Configuration(std::size_t routes) -> StoredRecord {
  std::string list;
  for (std::size_t index = 0; index < routes; ++index) {
    const std::string number = std::to_string(index);
    list += (index == 0 ? "" : ",");
    list += R"({"Name":"route-)";
    list += number;
    list += R"(","Host":"shop.example","PathPrefix":"/service/)";
    list += number;
    list += R"(/","Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,)"
            R"("Priority":1,"Service":"p","Attempts":3,"Public":false,)"
            R"("AllowedRegions":["north","south"]})";
  }
  std::string content = R"({"Spec":{"Version":1,"Routes":[)";
  content += list;
  content += R"(],"Services":[{"Name":"p"}]}})";
  return {"c", routes, content};
}

// Prints how long it takes to read configurations that grow by one route.
template <class Read>
auto Measure(const char* way, std::size_t routes, Read read) -> void {
  if (!read(Configuration(routes)).ok()) {
    std::printf("the configuration cannot be read\n");
  }
  std::chrono::duration<double, std::milli> taken{0};
  for (int reads = 1; reads <= kReads; ++reads) {
    const StoredRecord record = Configuration(routes + reads);
    const auto begin = std::chrono::steady_clock::now();
    const auto policy = read(record);
    taken += std::chrono::steady_clock::now() - begin;
  }
  std::printf("%zu routes, %s: %.2f ms a change\n", routes, way,
              taken.count() / kReads);
}

// Measures both ways of reading.
auto MeasureBoth(std::size_t routes) -> void {
  Measure("whole", routes,
          [](const StoredRecord& record) { return ReadPolicy(record); });
  PolicyReader reader;
  Measure(
      "changed routes alone", routes,
      [&reader](const StoredRecord& record) { return reader.Read(record); });
}

}  // namespace
}  // namespace zinniastep::platform

auto main() -> int {
  for (const std::size_t routes : {100U, 1400U, 4800U}) {
    zinniastep::platform::MeasureBoth(routes);
  }
  return 0;
}
