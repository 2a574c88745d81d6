#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();

auto AddressOf(const std::string& ip, int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

auto BoundSocket(const std::string& ip, int port, int type) -> int {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

auto Reason(int status) -> std::string {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 421:
      return "Misdirected Request";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

auto SleepMs(std::int64_t milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

auto SleepUntilMs(std::int64_t time) -> void {
  SleepMs(std::max<std::int64_t>(0, time - NowMs()));
}

auto LoopbackNetwork() -> std::string {
  const int number = getpid();
  return "127." + std::to_string(20 + number % 200) + "." +
         std::to_string(1 + number / 200 % 250) + ".";
}

auto FreePort(const std::vector<std::string>& ips) -> int {
  for (int tries = 0; tries < 100; ++tries) {
    const int first = BoundSocket(ips.front(), 0, SOCK_STREAM);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(first, reinterpret_cast<sockaddr*>(&address), &size);
    close(first);
    const int port = ntohs(address.sin_port);
    const bool is_free = std::ranges::all_of(ips, [port](const auto& ip) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int descriptor = BoundSocket(ip, port, type);
        if (descriptor < 0) {
          return false;
        }
        close(descriptor);
      }
      return true;
    });
    if (is_free) {
      return port;
    }
  }
  return 0;
}

auto Message::Header(const std::string& name) const -> std::string {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

auto Message::Status() const -> int {
  const auto space = line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(line.c_str() + space + 1);
}

auto Message::Method() const -> std::string {
  return line.substr(0, line.find(' '));
}

auto Message::Path() const -> std::string {
  const auto begin = line.find(' ') + 1;
  const std::string target = line.substr(begin, line.find(' ', begin) - begin);
  return target.substr(0, target.find('?'));
}

auto Message::Query(const std::string& name) const -> std::string {
  const auto begin = line.find(' ') + 1;
  const std::string target = line.substr(begin, line.find(' ', begin) - begin);
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return {};
}

auto ToText(const Message& message) -> std::string {
  std::string text = message.line + "\r\n";
  for (const auto& [name, value] : message.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + message.body;
}

auto Answer(int status,
            std::vector<std::pair<std::string, std::string>> headers,
            const std::string& body) -> Message {
  Message message;
  message.line = "HTTP/1.1 " + std::to_string(status) + " " + Reason(status);
  message.headers = std::move(headers);
  message.headers.emplace_back("Content-Length", std::to_string(body.size()));
  message.body = body;
  return message;
}

Connection::~Connection() {
  close(descriptor_);
}

auto Connection::Open(const std::string& ip, int port, int timeout_ms)
    -> std::shared_ptr<Connection> {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    pollfd writable{.fd = descriptor, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&writable, 1, timeout_ms) <= 0 ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(descriptor);
      return nullptr;
    }
  }
  return std::make_shared<Connection>(descriptor);
}

auto Connection::ReadSome(std::int64_t until_ms) -> bool {
  pollfd readable{.fd = descriptor_, .events = POLLIN, .revents = 0};
  const std::int64_t left = until_ms - NowMs();
  if (ended_ || left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char buffer[16384];
  const ssize_t count = recv(descriptor_, buffer, sizeof buffer, 0);
  if (count <= 0) {
    ended_ = count == 0 || (errno != EAGAIN && errno != EINTR);
    return false;
  }
  pending_.append(buffer, static_cast<std::size_t>(count));
  return true;
}

auto Connection::Read(std::int64_t until_ms) -> std::optional<Message> {
  std::size_t head = 0;
  while ((head = pending_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(until_ms)) {
      return std::nullopt;
    }
  }
  Message message;
  std::string text = pending_.substr(0, head + 2);
  pending_.erase(0, head + 4);
  message.line = text.substr(0, text.find("\r\n"));
  for (std::size_t at = text.find("\r\n") + 2; at < text.size();) {
    const auto end = text.find("\r\n", at);
    const std::string field = text.substr(at, end - at);
    const auto colon = field.find(':');
    if (colon != std::string::npos) {
      const auto value = field.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          field.substr(0, colon),
          value == std::string::npos ? std::string() : field.substr(value));
    }
    at = end + 2;
  }
  if (message.Header("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t end = 0;
      while ((end = pending_.find("\r\n")) == std::string::npos) {
        if (!ReadSome(until_ms)) {
          return std::nullopt;
        }
      }
      const std::size_t size = std::stoul(pending_, nullptr, 16);
      while (pending_.size() < end + 2 + size + 2) {
        if (!ReadSome(until_ms)) {
          return std::nullopt;
        }
      }
      message.body += pending_.substr(end + 2, size);
      pending_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return message;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (pending_.size() < size) {
    if (!ReadSome(until_ms)) {
      return std::nullopt;
    }
  }
  message.body = pending_.substr(0, size);
  pending_.erase(0, size);
  return message;
}

auto Connection::Write(const std::string& bytes) -> bool {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    pollfd writable{.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if ((errno != EAGAIN && errno != EINTR) || poll(&writable, 1, 5000) <= 0) {
      return false;
    }
  }
  return true;
}

auto Connection::Shutdown() -> void {
  shutdown(descriptor_, SHUT_RDWR);
}

auto Connection::ResetOnClose() -> void {
  const linger now{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

auto Connection::IsClosedByPeer() -> bool {
  char byte = 0;
  const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

Listener::Listener(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)),
      descriptor_(BoundSocket(ip, port, SOCK_STREAM)) {
  if (descriptor_ >= 0) {
    listen(descriptor_, 512);
    thread_ = std::thread([this] { Run(); });
  }
}

Listener::~Listener() {
  Stop();
}

auto Listener::Run() -> void {
  for (;;) {
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (stopping_) {
      if (accepted >= 0) {
        close(accepted);
      }
      return;
    }
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>(accepted);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    workers_.emplace_back([this, connection] { handler_(connection); });
  }
}

auto Listener::Stop() -> void {
  if (descriptor_ < 0 || stopping_.exchange(true)) {
    return;
  }
  shutdown(descriptor_, SHUT_RDWR);
  thread_.join();
  close(descriptor_);
  std::vector<std::thread> workers;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->ResetOnClose();
        connection->Shutdown();
      }
    }
    workers.swap(workers_);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

}  // namespace review
