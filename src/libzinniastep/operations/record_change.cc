#include "libzinniastep/operations/record_change.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

using nlohmann::json;

// Times that an edit is made anew after a conflict, and that a lost answer is
// read back.
constexpr int kMostTries = 5;

auto SetGeneration(RecordValue& value, std::uint64_t generation) -> void {
  std::visit([generation](auto& held) { held.generation = generation; }, value);
}

auto Unreachable(const absl::Status& status) -> ChangeResult {
  return {ChangeEnd::kUnreachable, 0, std::string(status.message()), {}};
}

}  // namespace

auto ListDifferences(std::string_view older, std::string_view newer)
    -> std::vector<std::string> {
  std::vector<std::string> differences;
  const json before = JsonOrDiscarded(older);
  const json after = JsonOrDiscarded(newer);
  for (const json& step : json::diff(before, after)) {
    const auto path = step["path"].get<std::string>();
    if (path != "/generation") {
      differences.push_back(step["op"].get<std::string>() + " " + path);
    }
  }
  return differences;
}

RecordChanger::RecordChanger(
    ObjectClient& client,
    std::function<std::uint64_t(const ObjectPath&)> in_force)
    : client_(client), in_force_(std::move(in_force)) {}

auto RecordChanger::ReadCurrent(const ObjectPath& path)
    -> absl::StatusOr<Current> {
  const auto object = client_.Read(path);
  if (!object.ok()) {
    return object.status();
  }
  Current current;
  current.in_force = in_force_(path);
  if (!object->has_value()) {
    return current;
  }
  current.version = (*object)->version;
  current.text = (*object)->value;
  current.value = ReadRecord(path, current.text).value;
  current.generation = current.value ? GenerationOf(*current.value) : 0;
  return current;
}

auto RecordChanger::Replace(const ObjectPath& path, RecordValue value)
    -> ChangeResult {
  const auto current = ReadCurrent(path);
  if (!current.ok()) {
    return Unreachable(current.status());
  }
  const std::uint64_t newest = std::max(current->generation, current->in_force);
  const std::string old_text =
      current->value ? WriteRecord(*current->value) : "{}";
  auto differences = ListDifferences(old_text, WriteRecord(value));
  if (current->value && current->generation == newest && differences.empty()) {
    return {ChangeEnd::kUnchanged, newest, "", {}};
  }
  if (newest != 0 && GenerationOf(value) != newest) {
    return {ChangeEnd::kConflict, newest,
            "made from generation " + std::to_string(GenerationOf(value)) +
                ", but the newest is " + std::to_string(newest),
            std::move(differences)};
  }
  ChangeResult result = Write(path, *current, std::move(value));
  if (result.end == ChangeEnd::kAccepted) {
    result.differences = std::move(differences);
  }
  return result;
}

auto RecordChanger::Edit(const ObjectPath& path, const RecordEdit& edit)
    -> ChangeResult {
  ChangeResult result;
  for (int i = 0; i < kMostTries; ++i) {
    const auto current = ReadCurrent(path);
    if (!current.ok()) {
      return Unreachable(current.status());
    }
    if (!current->value) {
      return {ChangeEnd::kConflict, 0, "no valid object at " + path.text(), {}};
    }
    if (current->in_force > current->generation) {
      return {ChangeEnd::kConflict,
              current->in_force,
              "the object API holds generation " +
                  std::to_string(current->generation) +
                  ", which is older than what is in force: apply the newest "
                  "file instead",
              {}};
    }
    auto wanted = edit(*current->value);
    if (!wanted.ok()) {
      return {ChangeEnd::kConflict,
              current->generation,
              std::string(wanted.status().message()),
              {}};
    }
    auto differences =
        ListDifferences(WriteRecord(*current->value), WriteRecord(*wanted));
    if (differences.empty()) {
      return {ChangeEnd::kUnchanged, current->generation, "", {}};
    }
    result = Write(path, *current, std::move(*wanted));
    if (result.end == ChangeEnd::kAccepted) {
      result.differences = std::move(differences);
    }
    if (result.end != ChangeEnd::kConflict) {
      return result;
    }
  }
  return result;
}

auto RecordChanger::Write(const ObjectPath& path,
                          const Current& current,
                          RecordValue value) -> ChangeResult {
  const std::uint64_t generation =
      std::max(current.generation, current.in_force) + 1;
  SetGeneration(value, generation);
  const std::string text = WriteRecord(value);
  const WriteResult written = client_.Write(path, current.version, text);
  if (std::holds_alternative<StoreWritten>(written)) {
    return {ChangeEnd::kAccepted, generation, "", {}};
  }
  const bool silent = std::holds_alternative<StoreSilent>(written);
  return Settle(path, current, text, generation, silent);
}

auto RecordChanger::Settle(const ObjectPath& path,
                           const Current& before,
                           const std::string& text,
                           std::uint64_t generation,
                           bool silent) -> ChangeResult {
  for (int i = 0; i < kMostTries; ++i) {
    const auto now = ReadCurrent(path);
    if (!now.ok()) {
      continue;
    }
    if (now->text == text) {
      return {ChangeEnd::kAccepted, generation, "", {}};
    }
    if (now->version != before.version && silent &&
        now->generation > generation) {
      return {ChangeEnd::kUnknown,
              now->generation,
              "no answer, and the object has changed again since",
              {}};
    }
    if (now->version != before.version) {
      return {
          ChangeEnd::kConflict, now->generation,
          "somebody else changed the object meanwhile",
          ListDifferences(before.text.empty() ? "{}" : before.text, now->text)};
    }
    // Unchanged for now: the write is conditional on this version, so doing it
    // again cannot do it twice.
    const WriteResult again = client_.Write(path, before.version, text);
    silent = silent || std::holds_alternative<StoreSilent>(again);
    if (std::holds_alternative<StoreWritten>(again)) {
      return {ChangeEnd::kAccepted, generation, "", {}};
    }
  }
  return {ChangeEnd::kUnknown,
          generation,
          "no answer; the change may still have been accepted",
          {}};
}

}  // namespace zinniastep
