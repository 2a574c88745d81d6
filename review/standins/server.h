// Stands in for one server of a service.
#ifndef REVIEW_STANDINS_SERVER_H_
#define REVIEW_STANDINS_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "record.h"

namespace review {

// One request that reached a server.
struct Arrival {
  std::int64_t at_ms = 0;
  std::string attempt;
  std::string path;
  std::string tenant;
  bool has_run = false;
};

struct ServerPlan {
  std::string id;
  std::string service;
  std::string ip;
  int port = 0;
  std::string zone;
  std::string version = "v1";
  int work_ms = 20;
  int slots = 8;
  // Requests that wait for a slot.
  int queue = 4;
};

class Server {
 public:
  // Decides about a request before it runs; nothing lets it run.
  using Admission = std::function<std::optional<Message>(const Message&)>;
  // Builds the answer to a request that has run; nothing for the usual one.
  using Reply = std::function<std::optional<Message>(const Message&)>;

  Server(ServerPlan plan, Record& record);
  ~Server();

  // The entry that the server keeps in the store.
  [[nodiscard]] auto Entry(const std::string& state = "ready") const
      -> nlohmann::json;
  [[nodiscard]] auto plan() const -> const ServerPlan& { return plan_; }
  auto SetAdmission(Admission admission) -> void;
  auto SetReply(Reply reply) -> void;
  // From here on the server says in all its answers that it leaves.
  auto BeginLeaving() -> void { leaving_ = true; }
  // Ends the server: its connections are reset.
  auto Exit() -> void;
  auto arrivals() -> std::vector<Arrival>;
  // Whether as many requests run and wait as the server takes.
  auto IsFull() -> bool;
  // Requests that were at work when the server ended.
  [[nodiscard]] auto cut_runs() const -> int { return cut_runs_; }

 private:
  auto Serve(const std::shared_ptr<Connection>& connection) -> void;
  auto Respond(const Message& request) -> Message;

  ServerPlan plan_;
  Record& record_;
  std::int64_t born_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  Admission admission_;
  Reply reply_;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> ended_ = false;
  std::condition_variable slot_free_;
  int waiting_ = 0;
  int running_ = 0;
  std::atomic<int> cut_runs_ = 0;
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_SERVER_H_
