#ifndef LIBZINNIASTEP_BASE_RANDOM_H_
#define LIBZINNIASTEP_BASE_RANDOM_H_

#include <cstdint>

namespace zinniastep {

// A seeded stream of random numbers (SplitMix64). The same seed gives the same
// stream on every machine.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns the next 64 random bits.
  auto Next() -> std::uint64_t;

  // Returns a number in [0, bound); zero when the bound is zero.
  auto Below(std::uint64_t bound) -> std::uint64_t;

  // Returns a number in [0, 1).
  auto Unit() -> double;

 private:
  std::uint64_t state_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_RANDOM_H_
