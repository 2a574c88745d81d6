#ifndef ZINNIASTEP_LOAD_PLOTS_H_
#define ZINNIASTEP_LOAD_PLOTS_H_

#include <string>

#include "absl/status/status.h"
#include "zinniastep-load/load_result.h"

namespace zinniastep::load {

// Writes PREFIX.gp for gnuplot and its data: latency over time with the faults
// marked, and the share of calls below each latency. `gnuplot PREFIX.gp` makes
// PREFIX.svg.
auto WritePlots(const LoadResult& result, const std::string& prefix)
    -> absl::Status;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_PLOTS_H_
