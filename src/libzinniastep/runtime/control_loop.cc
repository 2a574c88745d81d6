#include "libzinniastep/runtime/control_loop.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/node/node.h"

namespace zinniastep {

namespace {

constexpr std::chrono::milliseconds kTick{10};

auto MinutesSince1970() -> std::uint64_t {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::minutes>(since).count());
}

}  // namespace

auto SteadyNow() -> Instant {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

ControlLoop::ControlLoop(Node& node, ActionHandler handler)
    : node_(node), handler_(std::move(handler)) {}

ControlLoop::~ControlLoop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  arrived_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto ControlLoop::Start() -> void {
  thread_ = std::thread([this] { Run(); });
}

auto ControlLoop::Post(Event event) -> void {
  {
    const std::lock_guard lock(mutex_);
    items_.emplace_back(std::move(event));
  }
  arrived_.notify_one();
}

auto ControlLoop::Ask(const Question& question) -> bool {
  bool done = false;
  std::unique_lock lock(mutex_);
  if (stopping_ || stopped_) {
    return false;
  }
  items_.emplace_back(PendingQuestion{&question, &done});
  arrived_.notify_one();
  answered_.wait(lock, [&] { return done || stopped_; });
  return done;
}

auto ControlLoop::backlog() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return items_.size();
}

auto ControlLoop::Run() -> void {
  auto next_tick = std::chrono::steady_clock::now();
  while (true) {
    std::deque<Item> items;
    {
      std::unique_lock lock(mutex_);
      arrived_.wait_until(lock, next_tick,
                          [this] { return stopping_ || !items_.empty(); });
      if (stopping_) {
        stopped_ = true;
        answered_.notify_all();
        return;
      }
      items.swap(items_);
    }
    for (Item& item : items) {
      Handle(std::move(item));
    }
    if (std::chrono::steady_clock::now() >= next_tick) {
      HandleEvent(TimePassed{MinutesSince1970()});
      next_tick = std::chrono::steady_clock::now() + kTick;
    }
  }
}

auto ControlLoop::Handle(Item item) -> void {
  std::visit(Overloaded{[this](const Event& event) { HandleEvent(event); },
                        [this](const PendingQuestion& pending) {
                          (*pending.question)(SteadyNow(), node_);
                          {
                            const std::lock_guard lock(mutex_);
                            *pending.done = true;
                          }
                          answered_.notify_all();
                        }},
             item);
}

auto ControlLoop::HandleEvent(const Event& event) -> void {
  for (Action& action : node_.Handle(SteadyNow(), event)) {
    handler_(std::move(action));
  }
}

}  // namespace zinniastep
