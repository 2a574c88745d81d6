#ifndef LIBZINNIASTEP_RUNTIME_STREAM_WRITER_H_
#define LIBZINNIASTEP_RUNTIME_STREAM_WRITER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include "libzinniastep/runtime/http_header.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
namespace Pistache::Tcp {
class Peer;
}

namespace zinniastep {

// The answer to one HTTP request, written from any thread: either one whole
// message or a head followed by chunks. It must not outlive the server that
// accepted the connection. Calls that write return false once the caller is
// gone or the answer is finished.
class StreamWriter : public std::enable_shared_from_this<StreamWriter> {
 public:
  explicit StreamWriter(std::weak_ptr<Pistache::Tcp::Peer> peer);

  StreamWriter(const StreamWriter&) = delete;
  auto operator=(const StreamWriter&) -> StreamWriter& = delete;

  // Writes a whole answer with its length.
  auto Send(int status,
            std::span<const HttpHeader> headers,
            std::string_view body) -> bool;

  // Writes the head of an answer with chunked transfer coding.
  auto Begin(int status, std::span<const HttpHeader> headers) -> bool;

  // Writes one chunk; an empty one writes nothing.
  auto Write(std::string_view data) -> bool;

  // Writes the last chunk.
  auto End() -> bool;

  // Breaks an answer off so that the caller can't take it for a whole one, and
  // closes the connection.
  auto Abort() -> void;

  // Announces in the head that the connection closes after this answer, and
  // closes it then. Call it before Send() or Begin().
  auto CloseAfterwards() -> void;

  // Whether the caller is still there and the answer unfinished.
  auto alive() const -> bool;

  // Whether a head was written.
  auto begun() const -> bool;

  // Whether the answer was written to its end or broken off.
  auto finished() const -> bool;

  // Bytes handed to the connection and not yet written to its socket.
  auto outstanding_bytes() const -> std::size_t;

  // Sets what runs once when the caller goes away before the answer is
  // finished; it runs at once when that has happened already. It must not
  // block.
  auto SetGoneCallback(std::function<void()> callback) -> void;

  // Reports that the connection is lost. The server calls it.
  auto MarkGone() -> void;

 private:
  enum class Stage { kNew, kStreaming, kFinished };
  enum class AfterWrite { kKeep, kClose };

  auto Enqueue(std::string bytes, AfterWrite after) -> bool;
  auto Head(int status, std::span<const HttpHeader> headers) const
      -> std::string;
  auto AfterLast() const -> AfterWrite;

  const std::weak_ptr<Pistache::Tcp::Peer> peer_;
  // Held from the look at gone_ until the bytes are queued, so that they can't
  // reach a later connection with the same descriptor.
  mutable std::mutex mutex_;
  Stage stage_ = Stage::kNew;
  bool gone_ = false;
  bool close_afterwards_ = false;
  std::function<void()> gone_callback_;
  const std::shared_ptr<std::atomic<std::size_t>> outstanding_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_STREAM_WRITER_H_
