#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libzinniastep/base/bounded_json.h"
#include "platform/record_list.h"
#include "platform/record_reader.h"

namespace {

using zinniastep::RecordPage;
using zinniastep::StoredRecord;

constexpr std::string_view kBefore =
    R"({"At":9,"HasMore":false,"Entries":[{"Metadata":{"Name":"a","Revision":1},)"
    R"("Spec":{"Service":"p","Address":"10.0.0.1:80","Zone":"z","Version":"v",)"
    R"("Slots":4,"State":"ready","Seq":1,"born":1}},)";
constexpr std::string_view kAfter =
    R"(,{"Metadata":{"Name":"b","Revision":2},"Spec":{"Service":"p",)"
    R"("Address":"10.0.0.2:80","Zone":"z","Version":"v","Slots":4,)"
    R"("State":"ready","Seq":1,"born":1}}]})";

auto NamesServer(const RecordPage& page, std::string_view name) -> bool {
  for (const StoredRecord& record : page.records) {
    if (record.name == name && zinniastep::platform::ReadBackend(record).ok()) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Reads the bytes as an answer of the store, and as one entry between two sound
// ones, which must still be read.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  namespace platform = zinniastep::platform;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  (void)platform::ReadRecordPage(bytes);
  (void)platform::ReadRecordChanges(bytes);
  (void)platform::ReadHostList(bytes);
  const StoredRecord record{"r", 1, bytes};
  (void)platform::ReadBackend(record);
  (void)platform::ReadRollout(record);
  if (const auto policy = platform::ReadPolicy(record); policy.ok()) {
    (void)(*policy)->WithLastSound(policy->get());
  }
  const auto items = zinniastep::SplitJsonArray("[" + bytes + "]");
  if (!items.has_value() || items->size() != 1) {
    return 0;
  }
  const auto result = platform::ReadRecordPage(std::string(kBefore) + bytes +
                                               std::string(kAfter));
  const auto* page = std::get_if<RecordPage>(&result);
  if (page == nullptr || !NamesServer(*page, "a") || !NamesServer(*page, "b")) {
    __builtin_trap();
  }
  return 0;
}
