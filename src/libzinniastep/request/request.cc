#include "libzinniastep/request/request.h"

#include <algorithm>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

constexpr MicroMoney kTokensPerPrice = 1000;

}  // namespace

auto Request::workload() const -> Workload {
  return std::visit(
      Overloaded{
          [this](const ChatCall&) { return Workload(version()); },
          [](const ServiceCall& call) { return Workload(call.service); }},
      arrival.target);
}

auto Request::version() const -> ModelVersion {
  return step < plan.steps.size() ? plan.steps[step] : ModelVersion{};
}

auto Request::AddCost(const ModelVersion& on,
                      const Price& price,
                      const AttemptUsage& usage) -> void {
  auto found = std::ranges::find(costs, on, &VersionCost::version);
  if (found == costs.end()) {
    found = costs.insert(costs.end(), VersionCost{.version = on});
  }
  found->cost += CostOf(price, usage);
  ++found->attempts;
  found->prompt_tokens += usage.prompt_tokens;
  found->completion_tokens += usage.completion_tokens;
}

auto CostOf(const Price& price, const AttemptUsage& usage) -> MicroMoney {
  const MicroMoney prompt =
      price.per_thousand_prompt_tokens * usage.prompt_tokens;
  const MicroMoney completion =
      price.per_thousand_completion_tokens * usage.completion_tokens;
  return price.per_request + (prompt + completion) / kTokensPerPrice;
}

auto ToString(const Workload& workload) -> std::string {
  return std::visit(
      Overloaded{[](const ModelVersion& version) { return ToString(version); },
                 [](const ServiceId& service) { return service.text(); }},
      workload);
}

}  // namespace zinniastep
