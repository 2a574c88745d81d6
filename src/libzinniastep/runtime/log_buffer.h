#ifndef LIBZINNIASTEP_RUNTIME_LOG_BUFFER_H_
#define LIBZINNIASTEP_RUNTIME_LOG_BUFFER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace zinniastep {

// Log lines that wait to be written. Writers never wait: what does not fit is
// dropped and counted, and a later line says how many were.
class LogBuffer {
 public:
  // Writes to a file descriptor, which becomes non-blocking.
  explicit LogBuffer(int descriptor);

  // Adds a line, without its end; any thread may call it.
  auto Add(std::string_view line) -> void;

  // Writes what the descriptor takes now.
  auto Flush() -> void;

  // Lines dropped since the start.
  [[nodiscard]] auto dropped() const -> std::uint64_t;

 private:
  int descriptor_;
  mutable std::mutex mutex_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_LOG_BUFFER_H_
