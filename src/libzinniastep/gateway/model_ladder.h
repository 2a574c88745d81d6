#ifndef LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_
#define LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/confidence_tally.h"
#include "libzinniastep/gateway/model_ladder_tuning.h"

namespace zinniastep {

// Number of groups that prompts are put into by their length.
inline constexpr std::size_t kPromptBands = 4;

// Returns the group of a prompt of this many tokens, from 0 for the shortest.
[[nodiscard]] auto PromptBand(double tokens) -> std::size_t;

// Inputs to the choice of a model for one request.
struct ModelLadderInputs {
  std::string_view route;
  double prompt_tokens = 0.0;
  // Whether the choice follows from the answers seen so far. Otherwise the
  // smallest model answers first, and the largest one answers next.
  bool adapts = true;
  // Models that may answer, smallest first.
  std::size_t models = 0;
  // Ratio of requests to slots of the service's servers; 1 means full.
  double utilization = 0.0;
  // Recent time until answers of the service began, as a fraction of the
  // latency target.
  double lateness = 0.0;
  // Time until an answer would begin too late, and until the caller gives up.
  Duration to_target{0};
  Duration to_deadline{0};
  // Sends that the request may still use, the next one included.
  std::uint32_t sends_left = 1;
  // The repeat budget allows the request to arrive at one more server.
  bool may_repeat = true;
  // Random number in [0, 1) that selects the requests which refresh the
  // estimates.
  double draw = 1.0;
};

// Why a model was chosen, or an answer kept.
enum class ModelReason : std::uint8_t {
  // First model: too few answers were seen to start with a larger one.
  kFewAnswers,
  // First model: the answers of the smallest are often kept.
  kOftenKept,
  // First model: the answers of smaller ones are mostly rejected.
  kMostlyRejected,
  // The choice does not adapt to the answers seen.
  kFixed,
  // The choice refreshes an estimate.
  kTrial,
  // Another model's answer could not begin in time.
  kNoTime,
  // The answer's confidence is sufficient.
  kConfident,
  // There is no larger model.
  kLargest,
  kNoSends,
  kOverBudget,
  // Next model: the smallest one whose answer is expected to be kept.
  kExpectedKept,
  // Next model: no smaller one is expected to be kept.
  kOthersRejected,
};

[[nodiscard]] auto ToString(ModelReason reason) -> std::string_view;

// A chosen model and what decided it.
struct ModelChoice {
  // Index of the model; nothing if the answer is to be kept.
  std::optional<std::size_t> model;
  ModelReason reason = ModelReason::kFewAnswers;
  // Confidence below which an answer is rejected.
  double required = 0.0;
  // Estimated share of the smallest model's answers that are rejected.
  double rejected = 0.0;
  // Decayed number of answers behind the estimate.
  double answers = 0.0;
};

// Chooses the models of a route that answer a request, from the confidences
// that models stated in their answers to earlier requests of the route and the
// same prompt band. Holds the evidence of this host only.
class ModelLadder {
 public:
  explicit ModelLadder(ModelLadderTuning tuning = {});

  // Records an answer of a model. `is_first` is whether no smaller model was
  // asked before.
  auto RecordAnswer(Instant now,
                    const ModelLadderInputs& request,
                    std::size_t model,
                    bool is_first,
                    std::uint32_t confidence,
                    Duration took) -> void;

  // Returns the model that receives a request first. A larger one than the
  // smallest is chosen when the answers of the smaller ones are mostly
  // rejected.
  [[nodiscard]] auto FirstModel(Instant now, const ModelLadderInputs& request)
      -> ModelChoice;

  // Returns the model that should answer instead of `model`, whose answer began
  // after `took` with `confidence`: the smallest larger one whose answer is
  // expected to be kept, or else the largest. No model means that the answer is
  // kept.
  [[nodiscard]] auto NextModel(Instant now,
                               const ModelLadderInputs& request,
                               std::size_t model,
                               std::uint32_t confidence,
                               Duration took) -> ModelChoice;

  // Returns the confidence below which an answer is rejected, from 0 to 100.
  [[nodiscard]] auto RequiredConfidence(double utilization,
                                        double lateness) const -> double;

  // Returns how many times as long the model's answers on the route take to
  // begin as those of the smallest model; 1 without enough answers.
  [[nodiscard]] auto RelativeStart(Instant now,
                                   std::string_view route,
                                   std::size_t model) -> double;

  // Drops the routes for which the predicate is false.
  auto KeepIf(const std::function<bool(const std::string&)>& keep) -> void;

 private:
  // The answers of one model to prompts of one band.
  struct ModelTally {
    // Answers to requests that no smaller model was asked before, and to
    // requests whose answer by a smaller model was rejected.
    ConfidenceTally first;
    ConfidenceTally next;
  };
  // The answers of one route.
  struct RouteTally {
    // By band, then by model.
    std::array<std::vector<ModelTally>, kPromptBands> bands;
    Instant decayed_at;
  };
  // A share and the decayed number of answers behind it.
  struct Share {
    double value = 0.0;
    double answers = 0.0;
  };

  // Returns the route's answers, decayed until `now`. The answers of a route
  // whose number of models changed are dropped.
  auto TallyOf(Instant now, std::string_view route, std::size_t models)
      -> RouteTally&;
  // Returns the estimated share of the model's first answers that are rejected.
  [[nodiscard]] auto RejectedShare(const RouteTally& tally,
                                   std::size_t band,
                                   std::size_t model,
                                   double required) const -> Share;
  // Returns the estimated share of the model's answers that are kept;
  // `after_rejection` is whether only answers to requests count of which a
  // smaller model's answer was rejected.
  [[nodiscard]] auto KeptShare(const RouteTally& tally,
                               std::size_t band,
                               std::size_t model,
                               double required,
                               bool after_rejection) const -> Share;
  // Returns the mean time until answers of the model begin, in seconds, or
  // nothing without enough answers.
  [[nodiscard]] auto MeanStart(const RouteTally& tally, std::size_t model) const
      -> std::optional<double>;
  // Returns the required confidence without what idle servers add to it.
  [[nodiscard]] auto LoadedConfidence(double utilization, double lateness) const
      -> double;
  // Returns the confidence below which an answer to the request is rejected.
  [[nodiscard]] auto RequiredFor(const ModelLadderInputs& request) const
      -> double;
  // Returns whether an answer of the model can be expected to begin in time.
  [[nodiscard]] auto FitsInTime(const RouteTally& tally,
                                std::size_t model,
                                const ModelLadderInputs& request) const -> bool;
  // Returns the rejected share from which a larger model is asked first.
  [[nodiscard]] auto StartLargerFrom(const RouteTally& tally,
                                     const ModelLadderInputs& request) const
      -> double;

  ModelLadderTuning tuning_;
  std::map<std::string, RouteTally, std::less<>> by_route_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_
