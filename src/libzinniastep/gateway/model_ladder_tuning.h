#ifndef LIBZINNIASTEP_GATEWAY_MODEL_LADDER_TUNING_H_
#define LIBZINNIASTEP_GATEWAY_MODEL_LADDER_TUNING_H_

#include <chrono>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Constants of the choice of a model.
struct ModelLadderTuning {
  // Models report their confidence in their own answer; at this confidence the
  // answers are right as often as wrong. Required at moderate utilization.
  double even_confidence = 50.0;
  // Required when servers are idle: a larger model costs nothing but time that
  // the latency target allows.
  double idle_confidence = 80.0;
  // Utilization up to which servers count as idle. The required confidence
  // falls from there to `even_confidence` at `reduced_from_utilization`, and to
  // zero at `none_from_utilization`: the largest model takes ten times as long
  // as the smallest.
  double idle_until_utilization = 0.25;
  double reduced_from_utilization = 0.55;
  double none_from_utilization = 1.05;
  // The same limits for the lateness, as a fraction of the latency target. A
  // second answer by the largest model begins ten times as late as one by the
  // smallest, so that from a quarter of the target on it would miss the target.
  double reduced_from_lateness = 0.0625;
  double none_from_lateness = 0.25;
  // Share of rejected answers of the smallest model from which a larger one is
  // asked first. The upper value applies while a rejected answer can be
  // replaced and the time of a first answer by the smallest model is small
  // against that by the largest; the lower one if nothing can replace it.
  double start_larger_from_least = 0.6;
  double start_larger_from_most = 0.8;
  // Share of kept answers from which a model smaller than the largest is asked.
  double expected_kept_from = 0.6;
  // Share of the requests that would skip a model and are sent to it, so that
  // its estimate stays current.
  double trial_share = 0.125;
  // Number of answers that a prior counts as. The prior of a route's share is
  // that the smallest model's answers are kept and that those of the others are
  // rejected, and the prior of a band's share is the route's.
  double route_prior_answers = 2.0;
  double band_prior_answers = 4.0;
  // Decayed number of answers below which an estimate counts as weak.
  double few_answers = 6.0;
  // Time after which an answer counts half. One host of seventy sees few
  // answers of a route a minute; a false confidence has lost most of its effect
  // after half an hour.
  Duration half_life = std::chrono::minutes(10);
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_MODEL_LADDER_TUNING_H_
