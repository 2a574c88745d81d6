#ifndef ZINNIASTEP_LOAD_VERDICT_H_
#define ZINNIASTEP_LOAD_VERDICT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "zinniastep-load/load_result.h"

namespace zinniastep::load {

// A version that operators withdrew, and when the change was accepted.
struct Withdrawal {
  std::string version;
  std::int64_t unix_ms = 0;
};

// What a verdict is reached from.
struct Evidence {
  std::vector<LoadResult> results;
  // The stand-in's account and the answer of GET /list?prefix=bills/.
  nlohmann::json account;
  nlohmann::json bills;
  // The team's document, for what each account may use; may be null.
  nlohmann::json document;
  std::vector<Withdrawal> withdrawals;
  // After a withdrawal, how long old work may still begin.
  std::int64_t grace_ms = 3000;
};

// The entry hosts' word held against what backend servers and callers saw.
struct Verdict {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t billed = 0;
  std::uint64_t billed_twice = 0;
  std::uint64_t unbilled = 0;
  std::uint64_t not_run_but_ran = 0;
  std::uint64_t wrong_account = 0;
  std::uint64_t withdrawn_used = 0;
  std::uint64_t session_moved = 0;
  std::uint64_t over_cold_limit = 0;
  std::uint64_t config_went_back = 0;
  // One line for each thing that must not be, up to a limit.
  std::vector<std::string> findings;

  // Whether all that must be zero is zero, and something was answered.
  auto Good() const -> bool;

  // The verdict on one line, which begins with the given word.
  auto Line(const std::string& name) const -> std::string;
};

auto Judge(const Evidence& evidence) -> Verdict;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_VERDICT_H_
