#include "libzinniastep/traffic/held_share.h"

#include <utility>

namespace zinniastep {

HeldShare::HeldShare(std::shared_ptr<HeldBytes> all, std::function<void()> end)
    : all_(std::move(all)), end_(std::move(end)) {
  all_->Add(this);
}

HeldShare::~HeldShare() {
  all_->Change(bytes_, 0);
  all_->Remove(this);
}

auto HeldShare::Set(std::size_t bytes) -> void {
  all_->Change(std::exchange(bytes_, bytes), bytes);
}

auto HeldShare::End() -> void {
  Set(0);
  ready_until_ = {};
  end_();
}

}  // namespace zinniastep
