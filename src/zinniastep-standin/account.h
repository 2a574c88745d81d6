#ifndef ZINNIASTEP_STANDIN_ACCOUNT_H_
#define ZINNIASTEP_STANDIN_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace zinniastep::standin {

// One attempt that a backend server began to run.
struct Run {
  std::string server;
  std::string service;
  std::string attempt;
  std::string request_id;
  std::string account;
  std::string key;
  std::string session;
  std::string version;
  std::string digest;
  std::int64_t started_unix_ms = 0;
  // "running", "answered", "failed", "lost" or "cancelled".
  std::string outcome = "running";
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
};

// An order that a backend server received.
struct Order {
  std::string server;
  std::string action;
  std::string version;
  std::uint64_t fence = 0;
  bool done = false;
};

// What one backend server bore.
struct ServerAccount {
  std::uint64_t starts = 0;
  std::uint64_t refusals = 0;
  std::uint64_t most_running = 0;
  std::uint64_t most_running_cold = 0;
  std::uint64_t cold_limit = 0;
  // Starts above the limit while cold, split by whether entry hosts could know
  // by then that it was cold.
  std::uint64_t over_cold_limit = 0;
  std::uint64_t over_cold_limit_unannounced = 0;
  std::uint64_t restarts = 0;
};

// Calls to the object API.
struct StoreAccount {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t watches = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t refused = 0;
};

// The stand-in's own account of what ran, against which others hold theirs.
struct Account {
  std::vector<Run> runs;
  // Digest of the last prompt that ran by request and version.
  std::map<std::string, std::string> digests;
  std::vector<Order> orders;
  std::map<std::string, ServerAccount> servers;
  StoreAccount store;
};

// Milliseconds since the epoch.
auto UnixMilliseconds() -> std::int64_t;

// Writes the account as JSON.
auto ToJson(const Account& account) -> nlohmann::json;

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_ACCOUNT_H_
