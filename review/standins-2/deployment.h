// A small deployment for the cases: two gateways, a store, and backend servers
// that answer as the pages say.
#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include "kit.h"

namespace review {

// A sound backend server. `Behave` may answer a request in another way.
class Server {
 public:
  // Returns true if it has dealt with the request.
  using Behave =
      std::function<bool(Server&, const Message& request, Socket& socket)>;

  Server(std::string id,
         std::string service,
         const std::string& ip,
         Record& record,
         Behave behave = {})
      : id_(std::move(id)),
        service_(std::move(service)),
        record_(record),
        behave_(std::move(behave)),
        listener_(ip, 0, [this](Socket socket) { Serve(std::move(socket)); }) {}

  [[nodiscard]] auto id() const -> const std::string& { return id_; }
  [[nodiscard]] auto Spec(const std::string& state = "ready",
                          const std::string& zone = "perth-north") const
      -> std::string {
    return R"({"Service":")" + service_ + R"(","Address":")" +
           listener_.address() + R"(","Zone":")" + zone +
           R"(","Version":"v1","Slots":64,"State":")" + state +
           R"(","ColdLeftMs":0,"Seq":1,"born":1700000000000})";
  }

  // Notes that the request runs.
  auto Run(const Message& request) -> void {
    const std::string attempt = request.Header("Zinniastep-Attempt-Id");
    record_.Line("%s runs attempt=%s tenant=%s model=%s %s", id_.c_str(),
                 attempt.c_str(), request.Header("Zinniastep-Tenant").c_str(),
                 request.Header("Zinniastep-Model").c_str(),
                 request.first_line.c_str());
    const std::lock_guard lock(mutex_);
    ++runs_[attempt];
  }
  [[nodiscard]] auto runs(const std::string& attempt) -> int {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(attempt);
    return found == runs_.end() ? 0 : found->second;
  }

  // The head of a whole answer, without its length and its end.
  [[nodiscard]] auto Head(const Message& request,
                          const std::string& status = "200 OK") const
      -> std::string {
    return "HTTP/1.1 " + status + "\r\nZinniastep-Attempt-Id: " +
           request.Header("Zinniastep-Attempt-Id") +
           "\r\nZinniastep-Server-Signature: signed-by-" + id_ + "\r\n";
  }
  [[nodiscard]] static auto WithLength(const std::string& body) -> std::string {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  [[nodiscard]] static auto Chunk(const std::string& bytes) -> std::string {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }

 private:
  auto Serve(Socket socket) -> void {
    Reader reader(socket);
    for (;;) {
      const Message request = reader.Next(600000, false);
      if (!request.is_whole) {
        return;
      }
      const std::string expected = request.Header("Zinniastep-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        if (!socket.Write("HTTP/1.1 421 Misdirected Request\r\n"
                          "Zinniastep-Instance-Id: " +
                          id_ + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (behave_ && behave_(*this, request, socket)) {
        if (!socket.open()) {
          return;
        }
        continue;
      }
      Run(request);
      if (!socket.Write(Head(request) +
                        WithLength("whole answer of " + id_ + " to " +
                                   request.Target()))) {
        return;
      }
    }
  }

  std::string id_;
  std::string service_;
  Record& record_;
  Behave behave_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  Listener listener_;
};

// One route of a configuration.
inline auto RouteText(const std::string& prefix,
                      const std::string& kind,
                      const std::string& service,
                      int timeout_ms,
                      int attempts,
                      const std::string& more = {}) -> std::string {
  return R"({"Name":"r-)" + prefix + R"(","Host":"x.example","PathPrefix":"/)" +
         prefix + R"(/","Kind":")" + kind + R"(","TimeoutMs":)" +
         std::to_string(timeout_ms) +
         R"(,"TargetLatencyMs":1000,"Priority":0,"Service":")" + service +
         R"(","Attempts":)" + std::to_string(attempts) +
         R"(,"Public":false,"Sticky":false,"Resumable":false,)" + more +
         R"("AllowedRegions":[]})";
}

inline auto ConfigText(int version,
                       const std::string& routes,
                       const std::string& services,
                       const std::string& tenants) -> std::string {
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes + R"(],"Services":[)" + services +
         R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":)" +
         tenants + "}";
}

// One answer as a caller got it.
inline auto Ask(Record& record,
                const std::string& ip,
                const std::string& request,
                const std::string& attempt,
                int timeout_ms) -> Message {
  Message answer;
  Socket socket = Connect(ip, 8227);
  if (!socket.open() || !socket.Write(request)) {
    answer.why = "connect";
  } else {
    Reader reader(socket);
    answer = reader.Next(timeout_ms, true);
  }
  record.Line("caller attempt=%s got \"%s\" signature=\"%s\" body=%zu %s%s",
              attempt.c_str(), answer.first_line.c_str(),
              answer.Header("Zinniastep-Server-Signature").c_str(),
              answer.body.size(),
              answer.is_whole ? "whole" : "not whole: ", answer.why.c_str());
  return answer;
}

inline auto RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& attempt,
                        const std::string& key,
                        int time_ms,
                        const std::string& more = {},
                        const std::string& body = {}) -> std::string {
  std::string text =
      method + " " + target +
      " HTTP/1.1\r\nHost: x.example\r\nZinniastep-Attempt-Id: " + attempt +
      "\r\nZinniastep-Time-Remaining-Ms: " + std::to_string(time_ms) + "\r\n";
  if (!key.empty()) {
    text += "Authorization: Token " + key + "\r\n";
  }
  text += more;
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// How a case ends.
enum Result { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// What a case is started with: PROGRAM FOLDER RECORD, and TROUBLE=0 in the
// environment to leave the disruption out.
struct CaseArguments {
  std::string gateway;
  std::string folder;
  std::string record;
  bool has_trouble = true;
};

inline auto ReadArguments(int argc, char** argv) -> CaseArguments {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s GATEWAY FOLDER RECORD\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3],
          trouble == nullptr || std::string(trouble) != "0"};
}

// The gateways of a small deployment, one or two in each failure domain.
class Fleet {
 public:
  Fleet(const CaseArguments& arguments,
        const std::string& network,
        const std::string& store,
        int count,
        int most_descriptors = 4100)
      : Fleet(arguments,
              network,
              store,
              std::vector<std::string>{"perth-north", "perth-south"},
              count,
              most_descriptors) {}

  // The zones are used in turn.
  Fleet(const CaseArguments& arguments,
        const std::string& network,
        const std::string& store,
        const std::vector<std::string>& zones,
        int count,
        int most_descriptors,
        std::string seeds = {}) {
    if (seeds.empty()) {
      seeds = "\"" + network + "1:8229\"";
    }
    for (int number = 1; number <= count; ++number) {
      gateways_.push_back(std::make_unique<Gateway>(
          arguments.gateway, arguments.folder,
          "front-" + std::to_string(number), network + std::to_string(number),
          zones[static_cast<std::size_t>(number - 1) % zones.size()], store,
          seeds, most_descriptors));
    }
  }

  // Returns whether all gateways serve.
  auto Start() -> bool {
    for (const auto& gateway : gateways_) {
      gateway->Start();
    }
    for (const auto& gateway : gateways_) {
      if (!gateway->WaitUntilReady(10000)) {
        return false;
      }
    }
    // The machines are in touch from here on (ContactMs, 3 s).
    SleepMs(3500);
    return true;
  }

  auto operator[](std::size_t index) -> Gateway& { return *gateways_[index]; }
  [[nodiscard]] auto size() const -> std::size_t { return gateways_.size(); }

  // Ends all gateways and the case.
  [[noreturn]] auto End(Record& record, Result result) -> void {
    for (const auto& gateway : gateways_) {
      if (!gateway->alive()) {
        record.Line("%s ended by itself", gateway->name().c_str());
      }
      gateway->Kill();
    }
    record.Line("result %d", static_cast<int>(result));
    std::fflush(nullptr);
    ::_exit(result);
  }

 private:
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_
