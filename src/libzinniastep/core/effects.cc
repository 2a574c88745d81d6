#include "libzinniastep/core/effects.h"

namespace zinniastep {

auto Effects::Log(std::string event, std::initializer_list<LogField> fields)
    -> void {
  actions_.emplace_back(
      LogEvent{std::move(event), std::vector<LogField>(fields)});
}

auto Effects::TakeActions() -> std::vector<Action> {
  return std::exchange(actions_, {});
}

auto Effects::TakeNotices() -> std::vector<Notice> {
  return std::exchange(notices_, {});
}

}  // namespace zinniastep
