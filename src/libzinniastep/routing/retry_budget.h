#ifndef LIBZINNIASTEP_ROUTING_RETRY_BUDGET_H_
#define LIBZINNIASTEP_ROUTING_RETRY_BUDGET_H_

namespace zinniastep {

// Limits extra attempts (retries and hedges) to a share of the successes, so
// that extra attempts cannot multiply the load when many requests fail at once.
class RetryBudget {
 public:
  // Each success adds `share` extra attempts to the budget. The budget holds at
  // most `burst` extra attempts and starts with that many.
  explicit RetryBudget(double share = 0.1, double burst = 10.0);

  // Adds the share of one success to the budget.
  auto OnSuccess() -> void;

  // Takes one extra attempt from the budget and returns true, or returns false
  // when less than one is left.
  [[nodiscard]] auto TrySpend() -> bool;

  // Returns the extra attempts that are left.
  [[nodiscard]] auto left() const -> double { return left_; }

 private:
  double share_;
  double burst_;
  double left_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROUTING_RETRY_BUDGET_H_
