#include "zinniastep-standin/event_loop.h"

#include <utility>

namespace zinniastep::standin {

EventLoop::EventLoop() : thread_([this] { Run(); }) {}

EventLoop::~EventLoop() {
  Stop();
}

auto EventLoop::Stop() -> void {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto EventLoop::Post(std::function<void()> task) -> void {
  After(Duration(0), std::move(task));
}

auto EventLoop::After(Duration delay, std::function<void()> task) -> void {
  {
    const std::lock_guard lock(mutex_);
    timers_.push({Clock::now() + delay, ++last_order_, std::move(task)});
  }
  changed_.notify_one();
}

auto EventLoop::Run() -> void {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (timers_.empty()) {
      changed_.wait(lock);
      continue;
    }
    if (const auto at = timers_.top().at; at > Clock::now()) {
      changed_.wait_until(lock, at);
      continue;
    }
    const auto task = timers_.top().task;
    timers_.pop();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace zinniastep::standin
