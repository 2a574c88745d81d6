#include "libzinniastep/base/random.h"

namespace zinniastep {

auto Random::Next() -> std::uint64_t {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

auto Random::Below(std::uint64_t bound) -> std::uint64_t {
  return bound == 0 ? 0 : Next() % bound;
}

auto Random::Unit() -> double {
  constexpr double kSpan = 9007199254740992.0;  // 2^53
  return static_cast<double>(Next() >> 11U) / kSpan;
}

}  // namespace zinniastep
