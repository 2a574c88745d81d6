#ifndef LIBZINNIASTEP_RUNTIME_CONTROL_LOOP_H_
#define LIBZINNIASTEP_RUNTIME_CONTROL_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"

namespace zinniastep {

class Node;

// The one thread that owns the node: it hands events to it in order, with the
// time, and its actions to the daemon.
class ControlLoop {
 public:
  using ActionHandler = std::function<void(Action)>;
  // Looks at the node between two events.
  using Question = std::function<void(Instant now, const Node& node)>;

  ControlLoop(Node& node, ActionHandler handler);
  ControlLoop(const ControlLoop&) = delete;
  auto operator=(const ControlLoop&) -> ControlLoop& = delete;
  // Stops without handling what is left.
  ~ControlLoop();

  // Begins to run.
  auto Start() -> void;

  // Adds an event; any thread may call it.
  auto Post(Event event) -> void;

  // Runs a question on the control thread and waits for it. Returns false when
  // the loop has stopped.
  auto Ask(const Question& question) -> bool;

  // Returns the events that wait.
  [[nodiscard]] auto backlog() const -> std::size_t;

 private:
  struct PendingQuestion {
    const Question* question = nullptr;
    bool* done = nullptr;
  };
  using Item = std::variant<Event, PendingQuestion>;

  auto Run() -> void;
  auto Handle(Item item) -> void;
  auto HandleEvent(const Event& event) -> void;

  Node& node_;
  ActionHandler handler_;
  mutable std::mutex mutex_;
  std::condition_variable arrived_;
  std::condition_variable answered_;
  std::deque<Item> items_;
  bool stopping_ = false;
  // Set when the thread looks at no further item.
  bool stopped_ = false;
  std::thread thread_;
};

// Returns the time on the control core's clock.
[[nodiscard]] auto SteadyNow() -> Instant;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_CONTROL_LOOP_H_
