#ifndef LIBZINNIASTEP_TRAFFIC_HELD_SHARE_H_
#define LIBZINNIASTEP_TRAFFIC_HELD_SHARE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "libzinniastep/traffic/held_bytes.h"

namespace zinniastep {

// What a host holds for one caller's connection, as a part of all held bytes.
class HeldShare {
 public:
  // `end` must drop what is held; it is called when too much is held in all.
  HeldShare(std::shared_ptr<HeldBytes> all, std::function<void()> end);
  HeldShare(const HeldShare&) = delete;
  auto operator=(const HeldShare&) -> HeldShare& = delete;
  ~HeldShare();

  auto Set(std::size_t bytes) -> void;
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

  // States that the rest of what is held is an answer that the caller is
  // taking, which counts as ready until a time.
  auto SetReady(std::chrono::steady_clock::time_point until) -> void {
    ready_until_ = until;
  }
  [[nodiscard]] auto IsReady(std::chrono::steady_clock::time_point now) const
      -> bool {
    return now < ready_until_;
  }

  // Has the owner drop what is held, and counts it as dropped.
  auto End() -> void;

  [[nodiscard]] auto all() const -> HeldBytes& { return *all_; }

 private:
  std::shared_ptr<HeldBytes> all_;
  std::function<void()> end_;
  std::size_t bytes_ = 0;
  std::chrono::steady_clock::time_point ready_until_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HELD_SHARE_H_
