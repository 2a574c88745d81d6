#ifndef LIBZINNIASTEP_CORE_EFFECTS_H_
#define LIBZINNIASTEP_CORE_EFFECTS_H_

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/notice.h"

namespace zinniastep {

// Collects what an aggregate wants done (actions, carried out by the daemon)
// and what it tells the other aggregates (notices, dispatched by the node).
class Effects {
 public:
  // Adds an action.
  template <class A>
  auto Do(A action) -> void {
    actions_.emplace_back(std::move(action));
  }

  // Adds a notice.
  template <class N>
  auto Tell(N notice) -> void {
    notices_.emplace_back(std::move(notice));
  }

  // Adds a log line.
  auto Log(std::string event, std::initializer_list<LogField> fields) -> void;

  // Returns and forgets the actions so far.
  [[nodiscard]] auto TakeActions() -> std::vector<Action>;

  // Returns and forgets the notices so far.
  [[nodiscard]] auto TakeNotices() -> std::vector<Notice>;

 private:
  std::vector<Action> actions_;
  std::vector<Notice> notices_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_EFFECTS_H_
