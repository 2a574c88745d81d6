#ifndef ZINNIASTEP_LOAD_PROFILE_H_
#define ZINNIASTEP_LOAD_PROFILE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace zinniastep::load {

// One kind of call in a mix.
struct CallKind {
  std::string name;
  double weight = 1.0;
  // The "model" member of a chat, or a plain service when `service` is set.
  std::string model;
  std::string service;
  std::string method = "POST";
  bool idempotent = true;
  std::uint32_t least_prompt_bytes = 100;
  std::uint32_t most_prompt_bytes = 600;
  std::uint32_t answer_tokens = 24;
  double streamed_share = 0.0;
  double session_share = 0.0;
  std::string priority = "normal";
  std::uint32_t deadline_ms = 10'000;
  std::string task_class;
};

// A client account and how often it calls.
struct CallingAccount {
  std::string id;
  double weight = 1.0;
};

// A mix of calls that one deployment sees.
struct Profile {
  std::string name;
  std::vector<CallKind> kinds;
  std::vector<CallingAccount> accounts;
  // Share of the chats whose prompt begins with the mark, for stand-ins that
  // crash on it.
  double marked_share = 0.0;
  std::string mark = {};
};

// Returns the profile "coopline", "panhandle", or "stream" (streamed chats of
// one account with the given model only).
auto FindProfile(std::string_view name,
                 const std::string& model,
                 const std::string& account) -> absl::StatusOr<Profile>;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_PROFILE_H_
