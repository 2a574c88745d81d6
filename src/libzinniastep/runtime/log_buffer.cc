#include "libzinniastep/runtime/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

namespace zinniastep {

namespace {

// Some thousand lines: seconds of a busy host.
constexpr std::size_t kMostPending = std::size_t{512} << 10U;

}  // namespace

LogBuffer::LogBuffer(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

auto LogBuffer::Add(std::string_view line) -> void {
  const std::lock_guard lock(mutex_);
  if (pending_.size() + line.size() + 1 > kMostPending) {
    ++dropped_;
    return;
  }
  if (dropped_ > dropped_told_) {
    pending_.append("event=log_lines_dropped count=" +
                    std::to_string(dropped_ - dropped_told_) + "\n");
    dropped_told_ = dropped_;
  }
  pending_.append(line);
  pending_.push_back('\n');
}

auto LogBuffer::Flush() -> void {
  const std::lock_guard lock(mutex_);
  while (!pending_.empty()) {
    const ssize_t written =
        write(descriptor_, pending_.data(), pending_.size());
    if (written <= 0) {
      return;
    }
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

auto LogBuffer::dropped() const -> std::uint64_t {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace zinniastep
