#include "zinniastep-load/workload.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniastep::load {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::uint64_t kSessionsPerAccount = 12;
constexpr std::string_view kWords =
    "the brown hen lays near the north stake and the crew plans a route ";

// Draws an item with a probability in proportion to its weight.
template <class Item>
auto DrawWeighted(const std::vector<Item>& items, Random& random)
    -> const Item& {
  const double sum = std::accumulate(
      items.begin(), items.end(), 0.0,
      [](double total, const Item& item) { return total + item.weight; });
  double left = random.Unit() * sum;
  for (const Item& item : items) {
    left -= item.weight;
    if (left < 0) {
      return item;
    }
  }
  return items.back();
}

auto ChatBody(const PlannedCall& call) -> std::string {
  return nlohmann::json{
      {"model", call.kind->model},
      {"messages", {{{"role", "user"}, {"content", call.prompt}}}},
      {"max_tokens", call.kind->answer_tokens},
      {"stream", call.stream}}
      .dump();
}

}  // namespace

Workload::Workload(Profile profile, double calls_per_second, std::uint64_t seed)
    : profile_(std::move(profile)),
      calls_per_second_(calls_per_second),
      seed_(seed),
      random_(seed) {}

auto Workload::Next() -> PlannedCall {
  const double gap = -std::log(1.0 - random_.Unit()) / calls_per_second_;
  at_ += Duration(static_cast<Duration::rep>(gap * kMicrosecondsPerSecond));
  PlannedCall call;
  call.number = ++last_number_;
  call.at = at_;
  call.kind = &DrawWeighted(profile_.kinds, random_);
  call.account = DrawWeighted(profile_.accounts, random_).id;
  call.stream = random_.Unit() < call.kind->streamed_share;
  const bool in_session = random_.Unit() < call.kind->session_share;
  const std::uint64_t session = random_.Below(kSessionsPerAccount);
  if (in_session) {
    call.session = absl::StrCat(call.account, "-", seed_, "-", session);
    call.keeps_session_token = session % 2 == 0;
  }
  call.prefixed_key = random_.Unit() < 0.5;
  call.prompt = DrawPrompt(*call.kind, call.number);
  if (call.kind->service.empty()) {
    if (!profile_.mark.empty() && random_.Unit() < profile_.marked_share) {
      call.prompt = absl::StrCat(profile_.mark, " ", call.prompt);
    }
    call.body = ChatBody(call);
  } else {
    call.body = call.prompt;
  }
  if (!call.kind->idempotent) {
    call.idempotency_key = absl::StrCat("load-", seed_, "-", call.number);
  }
  return call;
}

auto Workload::DrawPrompt(const CallKind& kind, std::uint64_t number)
    -> std::string {
  const std::size_t size =
      kind.least_prompt_bytes +
      random_.Below(kind.most_prompt_bytes - kind.least_prompt_bytes + 1);
  std::string prompt = absl::StrCat("call ", seed_, "/", number, ": ");
  while (prompt.size() < size) {
    prompt += kWords;
  }
  prompt.resize(std::max(size, prompt.find(": ") + 2));
  return prompt;
}

}  // namespace zinniastep::load
