#include "libzinniastep/request/rating_book.h"

#include <utility>

namespace zinniastep {

namespace {

constexpr std::size_t kMostAsked = 2048;

}  // namespace

RatingBook::RatingBook(CascadePlanner& planner, Rollouts& rollouts)
    : planner_(planner), rollouts_(rollouts) {}

auto RatingBook::Expect(const Request& request, double confidence) -> void {
  if (order_.size() >= kMostAsked) {
    asked_.erase(order_.front());
    order_.pop_front();
  }
  asked_[request.id] = Asked{request.plan, request.step, confidence};
  order_.push_back(request.id);
}

auto RatingBook::OnRated(const AnswerRated& rated) -> void {
  const auto found = asked_.find(rated.request);
  if (found == asked_.end()) {
    return;
  }
  const Asked asked = std::move(found->second);
  asked_.erase(found);
  planner_.OnRating(asked.plan, asked.step, rated.rating, asked.confidence);
  rollouts_.OnRating(asked.plan.steps[asked.step], asked.plan.account,
                     asked.plan.task_class, rated.rating);
}

}  // namespace zinniastep
