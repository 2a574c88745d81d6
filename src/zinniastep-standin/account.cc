#include "zinniastep-standin/account.h"

#include <chrono>

namespace zinniastep::standin {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Run,
                                   server,
                                   service,
                                   attempt,
                                   request_id,
                                   account,
                                   key,
                                   session,
                                   version,
                                   digest,
                                   started_unix_ms,
                                   outcome,
                                   prompt_tokens,
                                   completion_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Order, server, action, version, fence, done)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerAccount,
                                   starts,
                                   refusals,
                                   most_running,
                                   most_running_cold,
                                   cold_limit,
                                   over_cold_limit,
                                   over_cold_limit_unannounced,
                                   restarts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreAccount,
                                   reads,
                                   writes,
                                   conflicts,
                                   watches,
                                   lost_answers,
                                   refused)

auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto ToJson(const Account& account) -> nlohmann::json {
  return {{"runs", account.runs},
          {"orders", account.orders},
          {"servers", account.servers},
          {"store", account.store},
          {"now_unix_ms", UnixMilliseconds()}};
}

}  // namespace zinniastep::standin
