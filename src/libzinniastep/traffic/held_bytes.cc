#include "libzinniastep/traffic/held_bytes.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/post.hpp>

#include "libzinniastep/traffic/held_share.h"

namespace zinniastep {

namespace {

// Smaller shares than this, in bytes, are not ended to keep a ready answer.
constexpr std::size_t kWorthEnding = 16384;

}  // namespace

HeldBytes::HeldBytes(boost::asio::io_context& io, std::size_t limit)
    : io_(io), limit_(limit) {}

auto HeldBytes::Change(std::size_t before, std::size_t after) -> void {
  total_ = total_ - before + after;
  peak_ = std::max(peak_, total_);
  if (total_ <= limit_ || is_ending_) {
    return;
  }
  // The one that changes may be the largest, in the middle of its work.
  is_ending_ = true;
  boost::asio::post(io_, [self = shared_from_this()] {
    self->is_ending_ = false;
    self->EndLargest();
  });
}

auto HeldBytes::EndLargest() -> void {
  while (total_ > limit_) {
    ++ended_;
    reports_.Add(kEndedForMemory);
    Largest()->End();
  }
}

auto HeldBytes::Largest() const -> HeldShare* {
  const auto now = std::chrono::steady_clock::now();
  HeldShare* largest = nullptr;
  HeldShare* largest_ready = nullptr;
  for (HeldShare* share : shares_) {
    HeldShare*& kind = share->IsReady(now) ? largest_ready : largest;
    if (kind == nullptr || share->bytes() > kind->bytes()) {
      kind = share;
    }
  }
  if (largest_ready == nullptr) {
    return largest;
  }
  return largest == nullptr || largest->bytes() < kWorthEnding ? largest_ready
                                                               : largest;
}

}  // namespace zinniastep
