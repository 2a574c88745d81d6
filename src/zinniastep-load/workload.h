#ifndef ZINNIASTEP_LOAD_WORKLOAD_H_
#define ZINNIASTEP_LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "zinniastep-load/profile.h"

namespace zinniastep::load {

// One call that the load will make.
struct PlannedCall {
  std::uint64_t number = 0;
  // Since the load's start.
  Duration at{0};
  const CallKind* kind = nullptr;
  std::string account;
  std::string session;
  bool stream = false;
  // Whether the caller returns session tokens, instead of the name only.
  bool keeps_session_token = false;
  // Whether the idempotency key begins with the prefix of an entry host.
  bool prefixed_key = false;
  // What the answer's digest is taken from.
  std::string prompt;
  std::string body;
  // Calls that must not be repeated carry this key; others none.
  std::string idempotency_key;
};

// Draws an open-loop sequence of calls from a profile: Poisson arrivals, the
// same for the same seed.
class Workload {
 public:
  Workload(Profile profile, double calls_per_second, std::uint64_t seed);
  Workload(const Workload&) = delete;
  auto operator=(const Workload&) -> Workload& = delete;

  auto Next() -> PlannedCall;

 private:
  auto DrawPrompt(const CallKind& kind, std::uint64_t number) -> std::string;

  const Profile profile_;
  const double calls_per_second_;
  const std::uint64_t seed_;
  Random random_;
  std::uint64_t last_number_ = 0;
  Duration at_{0};
};

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_WORKLOAD_H_
