#ifndef ZINNIASTEP_STANDIN_OBJECT_API_H_
#define ZINNIASTEP_STANDIN_OBJECT_API_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libzinniastep/base/random.h"
#include "zinniastep-standin/account.h"
#include "zinniastep-standin/event_loop.h"
#include "zinniastep-standin/request.h"

namespace zinniastep::standin {

// The platform's object API with its outages, slow and lost answers.
class ObjectApi {
 public:
  ObjectApi(std::uint64_t seed, EventLoop& loop, StoreAccount& account);

  // Sets an object without a condition.
  auto Put(const std::string& path, std::string value) -> void;

  // Answers a call below /objects, /list or /watch.
  auto Handle(const Request& request) -> void;

  // Changes what goes wrong: "outage" ("none", "refuse" or "silent"),
  // "slow_ms", "lose_share" and "lose_next" (answers lost after the effect),
  // "lose_path" (only below it), "snapshot" and "restore".
  auto SetFault(const nlohmann::json& fault) -> void;

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };
  struct State {
    std::uint64_t revision = 0;
    std::map<std::string, Object> objects;
    std::map<std::string, std::uint64_t> deleted;
  };
  struct Watch {
    std::uint64_t id = 0;
    Request request;
  };

  auto Serve(const Request& request) -> void;
  auto Read(const Request& request, const std::string& path) -> void;
  auto Change(const Request& request, const std::string& path) -> void;
  auto StartWatch(const Request& request) -> void;
  auto WakeWatches(const std::string& path) -> void;
  auto Found(const Request& request, std::uint64_t after) const
      -> nlohmann::json;
  auto LosesAnswer(const std::string& path) -> bool;

  Random random_;
  EventLoop& loop_;
  StoreAccount& account_;
  State state_;
  State snapshot_;
  std::vector<Watch> watches_;
  std::uint64_t last_watch_ = 0;
  std::string outage_ = "none";
  Duration slow_{0};
  double lose_share_ = 0.0;
  std::uint64_t lose_next_ = 0;
  std::string lose_path_;
  // Requests of a silent outage, kept so that they stay without an answer.
  std::vector<Request> unanswered_;
};

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_OBJECT_API_H_
