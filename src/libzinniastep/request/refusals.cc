#include "libzinniastep/request/refusals.h"

namespace zinniastep {

namespace {

constexpr Duration kSoon = std::chrono::milliseconds(200);
constexpr Duration kLater = std::chrono::seconds(2);

}  // namespace

auto RefusedDraining() -> Refusal {
  return {503, "draining",
          "this host is shutting down; ask for addresses and use another",
          RunState::kNotRun, kSoon};
}

auto RefusedWithoutNews() -> Refusal {
  return {503, "cut_off",
          "this host cannot tell whether its configuration is in force",
          RunState::kNotRun, kLater};
}

auto RefusedUnauthenticated() -> Refusal {
  return {401, "unauthenticated", "no client account has this key",
          RunState::kNotRun, Duration(0)};
}

auto RefusedNotAllowed() -> Refusal {
  return {403, "not_allowed", "the client account may not use this",
          RunState::kNotRun, Duration(0)};
}

auto RefusedUnknownModel() -> Refusal {
  return {404, "unknown_model", "no such model, version or cascade",
          RunState::kNotRun, Duration(0)};
}

auto RefusedUnknownService() -> Refusal {
  return {404, "unknown_service", "no such service", RunState::kNotRun,
          Duration(0)};
}

auto RefusedWithdrawn() -> Refusal {
  return {410, "version_withdrawn", "the version was withdrawn",
          RunState::kNotRun, Duration(0)};
}

auto RefusedDeadline(RunState state) -> Refusal {
  return {504, "deadline_passed", "no backend server was free in time", state,
          kLater};
}

auto RefusedNoCapacity(RunState state) -> Refusal {
  return {503, "no_capacity", "no backend server serves this now", state,
          kLater};
}

auto RefusedBackendFailed(RunState state) -> Refusal {
  return {502, "backend_failed", "the backend server gave no whole answer",
          state, kSoon};
}

auto RefusedCut(RunState state) -> Refusal {
  return {502, "answer_cut", "the answer broke off; what came is not whole",
          state, kSoon};
}

auto RefusedCutByShutdown() -> Refusal {
  return {502, "cut_by_shutdown",
          "this host's time to shut down was over before the answer's end",
          RunState::kUnknown, kSoon};
}

}  // namespace zinniastep
