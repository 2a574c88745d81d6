#ifndef ZINNIASTEP_STANDIN_BACKEND_SERVER_H_
#define ZINNIASTEP_STANDIN_BACKEND_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libzinniastep/base/random.h"
#include "zinniastep-standin/account.h"
#include "zinniastep-standin/event_loop.h"
#include "zinniastep-standin/quality.h"
#include "zinniastep-standin/request.h"
#include "zinniastep-standin/settings.h"

namespace zinniastep::standin {

// A model engine or a plain service. It works on a limited batch, queues a
// little more, and in cold start falls over above its limit: what ran is lost
// and it restarts cold as a new incarnation.
class BackendServer {
 public:
  BackendServer(ServerSettings settings,
                std::uint64_t seed,
                const Quality& quality,
                EventLoop& loop,
                Account& account);

  auto name() const -> const std::string& { return settings_.name; }

  // Answers any call to the server.
  auto Handle(const Request& request) -> void;

  // Changes what goes wrong: "cold" and "restart" at once, "down", "silent"
  // (takes requests and answers nothing), "slow_factor", "error_share",
  // "cut_share" (streams that break off in the middle), "lose_share" (answers
  // lost after the effect), "load_silent", and "crash_on" (the server restarts
  // when it begins to answer a prompt that contains this text; empty for none).
  auto SetFault(const nlohmann::json& fault) -> void;

 private:
  struct Running {
    Request request;
    std::size_t run = 0;
    std::string digest;
    std::string attempt_digest;
    std::string version;
    std::uint32_t tokens = 0;
    std::uint32_t next = 0;
    // Token before which the answer breaks off.
    std::uint32_t cut_before = 0;
    bool stream = false;
    bool crashes = false;
    std::string text;
  };

  auto Work(const Request& request) -> void;
  auto Begin(const Request& request) -> void;
  auto Cost(const Running& running) const -> Duration;
  auto NoteStart() -> bool;
  auto BeginStream(const Running& running) -> void;
  auto Step(std::uint64_t id) -> void;
  auto FinishChat(Running& running) -> void;
  auto FinishService(Running& running) -> void;
  auto End(std::uint64_t id, const std::string& outcome) -> void;
  auto Cancel(const std::string& attempt) -> void;
  auto TakeOrder(const Request& request) -> void;
  auto Restart() -> void;
  auto TurnCold() -> void;
  auto NoteReport() -> void;
  auto Sample() -> void;
  auto Usage(const Running& running) const -> nlohmann::json;
  auto Headers(const std::string& type) const -> std::vector<HttpHeader>;
  auto Slowed(std::uint64_t microseconds) const -> Duration;

  const ServerSettings settings_;
  const Quality& quality_;
  EventLoop& loop_;
  Account& account_;
  Random random_;

  std::uint64_t incarnation_ = 0;
  bool warm_ = false;
  bool restarting_ = false;
  // From when on entry hosts can know that the server is cold.
  EventLoop::Clock::time_point cold_known_at_{};
  std::uint32_t answers_since_cold_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Running> running_;
  std::deque<Request> queue_;
  std::set<std::string> versions_;
  std::uint64_t highest_fence_ = 0;

  // The load report shows `published_`; `sample_` follows one lag later.
  nlohmann::json sample_;
  nlohmann::json published_;

  bool down_ = false;
  bool silent_ = false;
  bool load_silent_ = false;
  double slow_factor_ = 1.0;
  double error_share_ = 0.0;
  double cut_share_ = 0.0;
  double lose_share_ = 0.0;
  std::string crash_on_;
  std::vector<Request> unanswered_;
};

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_BACKEND_SERVER_H_
