#ifndef ZINNIASTEP_LOAD_LOAD_RESULT_H_
#define ZINNIASTEP_LOAD_LOAD_RESULT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace zinniastep::load {

// What a caller was told. "unreachable": no byte could be sent.
// "no_answer": the connection broke before a whole answer came.
namespace outcome {
inline constexpr const char* kAnswered = "answered";
inline constexpr const char* kWrongAnswer = "wrong_answer";
inline constexpr const char* kNotRun = "not_run";
inline constexpr const char* kRan = "ran";
inline constexpr const char* kUnknown = "unknown";
inline constexpr const char* kNoAnswer = "no_answer";
inline constexpr const char* kUnreachable = "unreachable";
inline constexpr const char* kBadRefusal = "bad_refusal";
}  // namespace outcome

// One try of a call at one entry host.
struct TryRecord {
  std::string entry;
  std::int64_t started_unix_ms = 0;
  std::string outcome;
  int status = 0;
  std::string code;
  std::string request_id;
  std::string version;
};

// One call from its planned time to what its caller was told in the end.
struct CallRecord {
  std::uint64_t number = 0;
  std::string kind;
  std::string service;
  std::string account;
  std::string session;
  std::string key;
  bool idempotent = true;
  std::string digest;
  double at_ms = 0;
  std::string outcome;
  std::string version;
  double first_token_ms = 0;
  double total_ms = 0;
  double token_ms = 0;
  std::uint32_t tokens = 0;
  std::vector<TryRecord> tries;
};

// A fault on the load's time line, as it was set.
struct FaultRecord {
  double at_ms = 0;
  std::int64_t unix_ms = 0;
  std::string method;
  std::string url;
  int status = 0;
};

// Highest configuration generation that an entry host showed, over time.
struct StateRecord {
  std::string entry;
  std::int64_t unix_ms = 0;
  nlohmann::json state;
};

// All that came of one load.
struct LoadResult {
  std::string profile;
  std::uint64_t seed = 0;
  double calls_per_second = 0;
  double seconds = 0;
  std::int64_t started_unix_ms = 0;
  std::vector<CallRecord> calls;
  std::vector<FaultRecord> faults;
  std::vector<StateRecord> states;
};

auto WriteResult(const LoadResult& result, const std::string& path)
    -> absl::Status;

auto ReadResult(const std::string& path) -> absl::StatusOr<LoadResult>;

// Reads any JSON file.
auto ReadJsonFile(const std::string& path) -> absl::StatusOr<nlohmann::json>;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_LOAD_RESULT_H_
