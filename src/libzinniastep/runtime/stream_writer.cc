#include "libzinniastep/runtime/stream_writer.h"

#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniastep {
namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Not a chunk size, so that a reader fails instead of waiting for more.
constexpr std::string_view kBrokenChunk = "broken\r\n";

auto HasNoBody(int status) -> bool {
  return status == 204 || status == 304;
}

auto Reason(int status) -> std::string {
  return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
}

}  // namespace

StreamWriter::StreamWriter(std::weak_ptr<Pistache::Tcp::Peer> peer)
    : peer_(std::move(peer)),
      outstanding_(std::make_shared<std::atomic<std::size_t>>(0)) {}

auto StreamWriter::Send(int status,
                        std::span<const HttpHeader> headers,
                        std::string_view body) -> bool {
  const std::lock_guard lock(mutex_);
  if (stage_ != Stage::kNew) {
    return false;
  }
  stage_ = Stage::kFinished;
  std::string message = Head(status, headers);
  if (!HasNoBody(status)) {
    absl::StrAppend(&message, "Content-Length: ", body.size(), "\r\n\r\n");
    message.append(body);
  } else {
    message.append("\r\n");
  }
  return Enqueue(std::move(message), AfterLast());
}

auto StreamWriter::Begin(int status, std::span<const HttpHeader> headers)
    -> bool {
  const std::lock_guard lock(mutex_);
  if (stage_ != Stage::kNew) {
    return false;
  }
  stage_ = Stage::kStreaming;
  std::string head = Head(status, headers);
  head.append("Transfer-Encoding: chunked\r\n\r\n");
  return Enqueue(std::move(head), AfterWrite::kKeep);
}

auto StreamWriter::Write(std::string_view data) -> bool {
  const std::lock_guard lock(mutex_);
  if (stage_ != Stage::kStreaming) {
    return false;
  }
  if (data.empty()) {
    return !gone_;
  }
  std::string chunk = absl::StrCat(absl::Hex(data.size()), "\r\n");
  chunk.append(data);
  chunk.append("\r\n");
  return Enqueue(std::move(chunk), AfterWrite::kKeep);
}

auto StreamWriter::End() -> bool {
  const std::lock_guard lock(mutex_);
  if (stage_ != Stage::kStreaming) {
    return false;
  }
  stage_ = Stage::kFinished;
  return Enqueue(std::string(kLastChunk), AfterLast());
}

auto StreamWriter::Abort() -> void {
  const std::lock_guard lock(mutex_);
  if (stage_ == Stage::kFinished) {
    return;
  }
  stage_ = Stage::kFinished;
  Enqueue(std::string(kBrokenChunk), AfterWrite::kClose);
}

auto StreamWriter::CloseAfterwards() -> void {
  const std::lock_guard lock(mutex_);
  close_afterwards_ = true;
}

auto StreamWriter::alive() const -> bool {
  const std::lock_guard lock(mutex_);
  return !gone_ && stage_ != Stage::kFinished && !peer_.expired();
}

auto StreamWriter::begun() const -> bool {
  const std::lock_guard lock(mutex_);
  return stage_ != Stage::kNew;
}

auto StreamWriter::finished() const -> bool {
  const std::lock_guard lock(mutex_);
  return stage_ == Stage::kFinished;
}

auto StreamWriter::outstanding_bytes() const -> std::size_t {
  return outstanding_->load();
}

auto StreamWriter::SetGoneCallback(std::function<void()> callback) -> void {
  {
    const std::lock_guard lock(mutex_);
    if (stage_ == Stage::kFinished) {
      return;
    }
    if (!gone_) {
      gone_callback_ = std::move(callback);
      return;
    }
  }
  callback();
}

auto StreamWriter::MarkGone() -> void {
  std::function<void()> callback;
  {
    const std::lock_guard lock(mutex_);
    gone_ = true;
    if (stage_ != Stage::kFinished) {
      callback = std::exchange(gone_callback_, nullptr);
    }
  }
  if (callback) {
    callback();
  }
}

auto StreamWriter::Enqueue(std::string bytes, AfterWrite after) -> bool {
  const auto peer = peer_.lock();
  if (gone_ || !peer) {
    return false;
  }
  const std::size_t size = bytes.size();
  outstanding_->fetch_add(size);
  peer->send(Pistache::RawBuffer(std::move(bytes), size), MSG_NOSIGNAL)
      .then(
          // Runs on the reactor's thread with the descriptor still open.
          [outstanding = outstanding_, size, after, fd = peer->fd()](ssize_t) {
            outstanding->fetch_sub(size);
            if (after == AfterWrite::kClose) {
              shutdown(fd, SHUT_RDWR);
            }
          },
          [outstanding = outstanding_, size](const std::exception_ptr&) {
            outstanding->fetch_sub(size);
          });
  return true;
}

auto StreamWriter::Head(int status, std::span<const HttpHeader> headers) const
    -> std::string {
  std::string head =
      absl::StrCat("HTTP/1.1 ", status, " ", Reason(status), "\r\n");
  for (const HttpHeader& header : headers) {
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  if (close_afterwards_) {
    head.append("Connection: close\r\n");
  }
  return head;
}

auto StreamWriter::AfterLast() const -> AfterWrite {
  return close_afterwards_ ? AfterWrite::kClose : AfterWrite::kKeep;
}

}  // namespace zinniastep
