#ifndef ZINNIASTEP_STANDIN_EVENT_LOOP_H_
#define ZINNIASTEP_STANDIN_EVENT_LOOP_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

#include "libzinniastep/base/time.h"

namespace zinniastep::standin {

// Runs tasks one after the other on one thread, at once or at a later time.
// All of the stand-in's state belongs to this thread.
class EventLoop {
 public:
  using Clock = std::chrono::steady_clock;

  EventLoop();
  EventLoop(const EventLoop&) = delete;
  auto operator=(const EventLoop&) -> EventLoop& = delete;
  ~EventLoop();

  // Ends the thread; what has not run by then never does.
  auto Stop() -> void;

  // Runs the task soon; may be called from any thread.
  auto Post(std::function<void()> task) -> void;

  // Runs the task after the delay; may be called from any thread.
  auto After(Duration delay, std::function<void()> task) -> void;

 private:
  struct Timer {
    Clock::time_point at;
    std::uint64_t order = 0;
    std::function<void()> task;
  };
  struct Later {
    auto operator()(const Timer& a, const Timer& b) const -> bool {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  auto Run() -> void;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::priority_queue<Timer, std::vector<Timer>, Later> timers_;
  std::uint64_t last_order_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_EVENT_LOOP_H_
