#include "libzinniastep/assignment/assignment_table.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

using Json = nlohmann::json;

auto ToJson(const Holder& holder) -> Json {
  return Json{{"host", holder.host.text()},
              {"incarnation", holder.incarnation},
              {"epoch", holder.epoch}};
}

auto HolderFrom(const Json& json) -> Holder {
  return Holder{HostId(json.at("host").get<std::string>()),
                json.at("incarnation").get<Incarnation>(),
                WholeOrThrow(json.at("epoch"))};
}

auto SlotFrom(const Json& json) -> AssignmentSlot {
  AssignmentSlot slot;
  slot.holder = HolderFrom(json.at("holder"));
  for (const Json& former : json.at("former")) {
    slot.former.push_back(HolderFrom(former));
  }
  return slot;
}

}  // namespace

auto EncodeTable(const AssignmentTable& table) -> std::string {
  Json slots = Json::array();
  for (const AssignmentSlot& slot : table.slots) {
    Json former = Json::array();
    for (const Holder& holder : slot.former) {
      former.push_back(ToJson(holder));
    }
    slots.push_back(Json{{"holder", ToJson(slot.holder)}, {"former", former}});
  }
  return Json{{"generation", table.generation},
              {"last_epoch", table.last_epoch},
              {"slots", slots}}
      .dump();
}

auto DecodeTable(std::string_view value) -> absl::StatusOr<AssignmentTable> {
  try {
    const Json json = JsonOrThrow(value);
    AssignmentTable table;
    table.generation = WholeOrThrow(json.at("generation"));
    table.last_epoch = WholeOrThrow(json.at("last_epoch"));
    for (const Json& slot : json.at("slots")) {
      table.slots.push_back(SlotFrom(slot));
    }
    return table;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

auto CellOfServer(const BackendServerId& server, std::uint32_t cells)
    -> std::uint32_t {
  std::uint32_t best = 0;
  std::uint64_t best_score = 0;
  for (std::uint32_t cell = 0; cell < cells; ++cell) {
    const std::uint64_t score = StableHash(server.text(), cell + 1);
    if (score > best_score) {
      best_score = score;
      best = cell;
    }
  }
  return best;
}

auto CellCount(std::size_t servers) -> std::uint32_t {
  const std::size_t cells = (servers + kServersPerCell - 1) / kServersPerCell;
  return static_cast<std::uint32_t>(std::max<std::size_t>(cells, 1));
}

}  // namespace zinniastep
