// Parts that the cases of the second review share: a store, backend servers,
// callers, and the gateways as child processes. Only the standard library and
// POSIX are used, and every address is a loopback address.
#ifndef REVIEW_STANDINS_2_KIT_H_
#define REVIEW_STANDINS_2_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto Lower(std::string text) -> std::string {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

inline auto SleepMs(int ms) -> void {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  auto Line(const char* format, ...) -> void {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    const auto at =
        std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    file_ << at.count() << " ms " << text << "\n" << std::flush;
  }

  auto NowMs() const -> long {
    return static_cast<long>(
        std::chrono::duration_cast<milliseconds>(Clock::now() - start_)
            .count());
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// A TCP socket with time-outs on every call.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  Socket(const Socket&) = delete;
  auto operator=(const Socket&) -> Socket& = delete;
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  auto operator=(Socket&& other) noexcept -> Socket& {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Socket() { Close(); }

  auto Close() -> void {
    if (fd_ >= 0) {
      ::close(std::exchange(fd_, -1));
    }
  }
  // Ends the connection with a reset.
  auto Reset() -> void {
    if (fd_ >= 0) {
      const linger now{1, 0};
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      Close();
    }
  }
  [[nodiscard]] auto fd() const -> int { return fd_; }
  [[nodiscard]] auto open() const -> bool { return fd_ >= 0; }

  auto Write(const std::string& bytes) -> bool {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t sent =
          ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }

  // Returns the number of bytes appended; 0 at the end, -1 at an error and -2
  // when the time is over.
  auto ReadSome(std::string& into, int timeout_ms) -> int {
    pollfd poll_fd{fd_, POLLIN, 0};
    const int ready = ::poll(&poll_fd, 1, timeout_ms);
    if (ready == 0) {
      return -2;
    }
    char buffer[16384];
    const ssize_t got = ::recv(fd_, buffer, sizeof buffer, 0);
    if (got > 0) {
      into.append(buffer, static_cast<std::size_t>(got));
    }
    return got < 0 ? -1 : static_cast<int>(got);
  }

 private:
  int fd_ = -1;
};

inline auto Connect(const std::string& ip, int port) -> Socket {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    ::close(fd);
    return Socket();
  }
  return Socket(fd);
}

// A request or an answer.
struct Message {
  std::string first_line;
  // Names in lower case; a repeated header keeps its first value.
  std::map<std::string, std::string> headers;
  std::string body;
  bool is_whole = false;
  // Why it is not whole: "end", "reset", "late" or "framing".
  std::string why;

  [[nodiscard]] auto Header(const std::string& name) const -> std::string {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? std::string() : found->second;
  }
  [[nodiscard]] auto Status() const -> int {
    const auto space = first_line.find(' ');
    return space == std::string::npos ? 0
                                      : std::atoi(first_line.c_str() + space);
  }
  [[nodiscard]] auto Method() const -> std::string {
    return first_line.substr(0, first_line.find(' '));
  }
  [[nodiscard]] auto Target() const -> std::string {
    const auto first = first_line.find(' ');
    const auto second = first_line.find(' ', first + 1);
    return first == std::string::npos
               ? std::string()
               : first_line.substr(first + 1, second - first - 1);
  }
};

// Reads messages from a connection, one after the other.
class Reader {
 public:
  explicit Reader(Socket& socket) : socket_(socket) {}

  auto Next(int timeout_ms, bool is_answer) -> Message {
    Message message;
    const auto end = Clock::now() + milliseconds(timeout_ms);
    std::size_t head_end = std::string::npos;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More(end, message)) {
        return message;
      }
    }
    ParseHead(buffer_.substr(0, head_end), message);
    buffer_.erase(0, head_end + 4);
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      ReadChunks(end, message);
    } else if (const std::string length = message.Header("content-length");
               !length.empty()) {
      const auto size =
          static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10));
      while (buffer_.size() < size) {
        if (!More(end, message)) {
          message.body = std::exchange(buffer_, {});
          return message;
        }
      }
      message.body = buffer_.substr(0, size);
      buffer_.erase(0, size);
      message.is_whole = true;
    } else if (is_answer && message.Status() != 204 &&
               message.Status() != 304) {
      while (More(end, message)) {
      }
      message.body = std::exchange(buffer_, {});
      message.is_whole = message.why == "end";
    } else {
      message.is_whole = true;
    }
    return message;
  }

 private:
  static auto ParseHead(const std::string& head, Message& message) -> void {
    std::size_t at = head.find("\r\n");
    message.first_line = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers.try_emplace(Lower(line.substr(0, colon)),
                                    line.substr(value));
      }
      at = next;
    }
  }

  auto ReadChunks(Clock::time_point end, Message& message) -> void {
    for (;;) {
      std::size_t line = std::string::npos;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!More(end, message)) {
          return;
        }
      }
      const auto size =
          static_cast<std::size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
      while (buffer_.size() < line + 2 + size + 2) {
        if (!More(end, message)) {
          return;
        }
      }
      message.body.append(buffer_, line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) {
        message.is_whole = true;
        return;
      }
    }
  }

  auto More(Clock::time_point end, Message& message) -> bool {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    const int got =
        left <= 0 ? -2 : socket_.ReadSome(buffer_, static_cast<int>(left));
    if (got > 0) {
      return true;
    }
    message.why = got == 0 ? "end" : got == -1 ? "reset" : "late";
    return false;
  }

  Socket& socket_;
  std::string buffer_;
};

// Listens on a loopback address and serves each connection in a thread.
class Listener {
 public:
  using Handler = std::function<void(Socket)>;

  Listener(std::string ip, int port, Handler handler)
      : ip_(std::move(ip)), handler_(std::move(handler)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd_, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;
  ~Listener() {
    stopping_ = true;
    thread_.join();
    ::close(fd_);
  }

  [[nodiscard]] auto port() const -> int { return port_; }
  [[nodiscard]] auto address() const -> std::string {
    return ip_ + ":" + std::to_string(port_);
  }

 private:
  auto Run() -> void {
    while (!stopping_) {
      pollfd poll_fd{fd_, POLLIN, 0};
      if (::poll(&poll_fd, 1, 50) <= 0) {
        continue;
      }
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([handler = handler_, fd] { handler(Socket(fd)); }).detach();
      }
    }
  }

  std::string ip_;
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// The platform's store, as far as gateways use it: lists, watches, creation,
// and the status of roll-outs. It loses nothing that it has acknowledged, but
// in a drill.
class Store {
 public:
  Store(std::string ip, Record& record)
      : record_(record), listener_(std::move(ip), 0, [this](Socket socket) {
          Serve(std::move(socket));
        }) {}

  // What the operator and the servers write. Returns the revision.
  auto Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) -> long {
    const std::lock_guard lock(mutex_);
    Object& object = objects_[kind][name];
    object.revision = ++revision_;
    if (object.created == 0) {
      object.created = revision_;
    }
    object.spec = spec;
    Tell(kind, name, object, false);
    return revision_;
  }

  auto Remove(const std::string& kind, const std::string& name) -> void {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end()) {
      ++revision_;
      found->second.revision = revision_;
      Tell(kind, name, found->second, true);
      objects_[kind].erase(found);
    }
  }

  // Takes the copy from which the store comes back in a drill.
  auto TakeCopy() -> void {
    const std::lock_guard lock(mutex_);
    copy_ = {revision_, objects_, events_};
  }

  // A drill: the store is away, and comes back from the copy in the next era.
  auto RestoreCopy(int away_ms) -> void {
    {
      const std::lock_guard lock(mutex_);
      is_away_ = true;
      changed_.notify_all();
      record_.Line("store: away");
    }
    SleepMs(away_ms);
    const std::lock_guard lock(mutex_);
    revision_ = copy_.revision;
    objects_ = copy_.objects;
    events_ = copy_.events;
    ++era_;
    is_away_ = false;
    changed_.notify_all();
    record_.Line("store: back from the copy, era %d, revision %ld", era_,
                 revision_);
  }

  [[nodiscard]] auto address() const -> std::string {
    return listener_.address();
  }

 private:
  struct Object {
    long revision = 0;
    long created = 0;
    std::string spec;
    std::string status = "null";
  };
  struct Event {
    std::string kind;
    long revision = 0;
    std::string text;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  struct Copy {
    long revision = 0;
    Objects objects;
    std::vector<Event> events;
  };

  static auto Text(const std::string& name, const Object& object)
      -> std::string {
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":)" +
           std::to_string(object.revision) + R"(,"Created":)" +
           std::to_string(object.created) +
           R"(,"Finalizers":[],"Deleting":false},"Spec":)" + object.spec +
           R"(,"Status":)" + object.status + "}";
  }

  auto Tell(const std::string& kind,
            const std::string& name,
            const Object& object,
            bool is_removed) -> void {
    events_.push_back({kind, object.revision,
                       std::string(R"({"Removed":)") +
                           (is_removed ? "true" : "false") + R"(,"Object":)" +
                           Text(name, object) + "}"});
    changed_.notify_all();
  }

  static auto Query(const std::string& target, const std::string& name)
      -> std::string {
    const auto at = target.find(name + "=");
    return at == std::string::npos
               ? std::string()
               : target.substr(at + name.size() + 1,
                               target.find('&', at) - at - name.size() - 1);
  }

  auto Serve(Socket socket) -> void {
    Reader reader(socket);
    for (;;) {
      const Message request = reader.Next(3600000, false);
      if (!request.is_whole) {
        return;
      }
      const std::optional<int> era = EraUnlessAway();
      if (!era.has_value()) {
        socket.Reset();
        return;
      }
      const auto [status, body] = Answer(request);
      if (EraUnlessAway() != era) {
        socket.Reset();
        return;
      }
      if (!socket.Write("HTTP/1.1 " + status +
                        "\r\nContent-Type: application/json\r\nStore-Era: " +
                        std::to_string(*era) + "\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  auto EraUnlessAway() -> std::optional<int> {
    const std::lock_guard lock(mutex_);
    return is_away_ ? std::nullopt : std::optional(era_);
  }

  auto Answer(const Message& request) -> std::pair<std::string, std::string> {
    const std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/v1/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return {"404 Not Found", "{}"};
    }
    path.erase(0, prefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    std::unique_lock lock(mutex_);
    if (request.Method() == "GET") {
      const std::string watch = Query(target, "Watch");
      const long after = std::atol(watch.c_str());
      if (after > revision_) {
        return {"410 Gone", "{}"};
      }
      return {"200 OK",
              watch.empty()
                  ? List(kind)
                  : Watch(lock, kind, after,
                          std::atoi(Query(target, "WaitMs").c_str()))};
    }
    if (request.Method() == "POST") {
      const std::string name = Member(request.body, "Name");
      if (objects_[kind].contains(name)) {
        return {"409 Conflict", "{}"};
      }
      Object& object = objects_[kind][name];
      object.revision = object.created = ++revision_;
      const auto spec = request.body.find("\"Spec\":");
      object.spec =
          spec == std::string::npos
              ? "{}"
              : request.body.substr(spec + 7,
                                    request.body.find('}', spec) - spec - 6);
      Tell(kind, name, object, false);
      return {"200 OK", Text(name, object)};
    }
    const auto slash = path.find('/');
    const auto status = path.find("/status");
    if (request.Method() == "PUT" && status != std::string::npos) {
      const std::string name = path.substr(slash + 1, status - slash - 1);
      const auto found = objects_[kind].find(name);
      if (found == objects_[kind].end()) {
        return {"404 Not Found", "{}"};
      }
      const auto revision = request.body.find("\"Revision\":");
      if (revision != std::string::npos &&
          std::atol(request.body.c_str() + revision + 11) !=
              found->second.revision) {
        return {"409 Conflict", Text(name, found->second)};
      }
      const auto text = request.body.find("\"Status\":");
      found->second.status = request.body.substr(
          text + 9, request.body.find('}', text) - text - 8);
      found->second.revision = ++revision_;
      record_.Line("store: status of %s/%s is %s", kind.c_str(), name.c_str(),
                   found->second.status.c_str());
      Tell(kind, name, found->second, false);
      return {"200 OK", Text(name, found->second)};
    }
    return {"404 Not Found", "{}"};
  }

  static auto Member(const std::string& body, const std::string& name)
      -> std::string {
    const std::string key = "\"" + name + "\":\"";
    const auto at = body.find(key);
    return at == std::string::npos
               ? std::string()
               : body.substr(at + key.size(),
                             body.find('"', at + key.size()) - at - key.size());
  }

  auto List(const std::string& kind) -> std::string {
    std::string entries;
    for (const auto& [name, object] : objects_[kind]) {
      entries += (entries.empty() ? "" : ",") + Text(name, object);
    }
    return R"({"Entries":[)" + entries + R"(],"HasMore":false,"At":)" +
           std::to_string(revision_) + "}";
  }

  auto Watch(std::unique_lock<std::mutex>& lock,
             const std::string& kind,
             long after,
             int wait_ms) -> std::string {
    std::string events;
    const auto find = [&] {
      for (const Event& event : events_) {
        if (event.kind == kind && event.revision > after) {
          events += (events.empty() ? "" : ",") + event.text;
        }
      }
      return !events.empty();
    };
    changed_.wait_for(lock, milliseconds(wait_ms),
                      [&] { return is_away_ || find(); });
    return R"({"events":[)" + events + R"(],"At":)" +
           std::to_string(revision_) + "}";
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  long revision_ = 100;
  Objects objects_;
  std::vector<Event> events_;
  Copy copy_;
  bool is_away_ = false;
  int era_ = 3;
  Listener listener_;
};

// The project's gateway, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(std::string program,
          std::string folder,
          std::string name,
          std::string ip,
          std::string zone,
          const std::string& store,
          const std::string& seeds,
          int most_descriptors = 4100)
      : program_(std::move(program)),
        settings_(folder + "/" + name + ".json"),
        log_(folder + "/" + name + ".log"),
        name_(std::move(name)),
        ip_(std::move(ip)) {
    std::ofstream(settings_)
        << R"({"host":")" << name_ << R"(","failure_domain":")" << zone
        << R"(","region":")" << (zone == "bunbury-a" ? "bunbury" : "perth")
        << R"(","regions":{"perth-north":"perth","perth-south":"perth",)"
        << R"("bunbury-a":"bunbury"},"caller_address":")" << ip_
        << R"(:8227","ready_address":")" << ip_
        << R"(:8220","directory_address":")" << ip_
        << R"(:8224","metrics_address":")" << ip_
        << R"(:7355","peer_address":")" << ip_ << R"(:7340","seeds":[)" << seeds
        << R"(],"store_address":")" << store
        << R"(","signing_keys":["zinniastep-gateway-fleet"],"shutdown_s":8,)"
        << R"("leaving_ms":2500,"address_lifetime_s":5,"repeat_share":0.9,)"
        << R"("repeat_slack":56,"repeat_window_s":10,"memory_mb":260,)"
        << R"("most_descriptors":)" << most_descriptors << "}";
  }
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;
  ~Gateway() { Kill(); }

  auto Start() -> void {
    pid_ = ::fork();
    if (pid_ == 0) {
      // The gateway ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string argument = "--settings=" + settings_;
      ::execl(program_.c_str(), program_.c_str(), argument.c_str(), nullptr);
      ::_exit(127);
    }
  }
  auto Signal(int number) -> void {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  // Returns the status of waitpid, or -1 if the process goes on.
  auto Wait(int timeout_ms) -> int {
    const auto end = Clock::now() + milliseconds(timeout_ms);
    while (pid_ > 0 && Clock::now() < end) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return status;
      }
      SleepMs(5);
    }
    return -1;
  }
  auto Kill() -> void {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  [[nodiscard]] auto alive() -> bool {
    return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
  }
  [[nodiscard]] auto ip() const -> const std::string& { return ip_; }
  [[nodiscard]] auto name() const -> const std::string& { return name_; }
  [[nodiscard]] auto log() const -> const std::string& { return log_; }

  // Asks the platform's question until the answer is 200.
  auto WaitUntilReady(int timeout_ms) -> bool {
    const auto end = Clock::now() + milliseconds(timeout_ms);
    while (Clock::now() < end) {
      Socket socket = Connect(ip_, 8220);
      if (socket.open() &&
          socket.Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                       "Connection: close\r\n\r\n")) {
        Reader reader(socket);
        if (reader.Next(500, true).Status() == 200) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  std::string name_;
  std::string ip_;
  pid_t pid_ = -1;
};

// Returns a loopback network of which no address is used by this case yet.
inline auto FreeNetwork() -> std::string {
  for (int i = 0; i < 200; ++i) {
    const int number = static_cast<int>(::getpid()) + 37 * i;
    const std::string network = "127." + std::to_string(64 + number % 64) +
                                "." + std::to_string(number / 64 % 250) + ".";
    bool is_free = true;
    for (const int port : {8220, 8224, 8227, 7340, 7355}) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      ::inet_pton(AF_INET, (network + "1").c_str(), &address.sin_addr);
      is_free = is_free && ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                                  sizeof address) == 0;
      ::close(fd);
    }
    if (is_free) {
      return network;
    }
  }
  std::exit(2);
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_KIT_H_
