#include "libzinniastep/traffic/held_bytes.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "libzinniastep/traffic/held_share.h"

namespace zinniastep {

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
    const auto largest =
        std::ranges::max_element(shares_, {}, &HeldShare::bytes);
    ++ended_;
    (*largest)->End();
  }
}

}  // namespace zinniastep
