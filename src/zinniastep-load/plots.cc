#include "zinniastep-load/plots.h"

#include <fstream>

#include "absl/strings/str_cat.h"
#include "zinniastep-load/summary.h"

namespace zinniastep::load {
namespace {

auto WriteCalls(const LoadResult& result, const std::string& path) -> bool {
  std::ofstream file(path);
  for (const CallRecord& call : result.calls) {
    const bool answered = call.outcome == outcome::kAnswered;
    file << call.at_ms / 1000.0 << ' ' << call.total_ms << ' '
         << call.first_token_ms << ' ' << (answered ? 1 : 0) << '\n';
  }
  return file.good();
}

auto WriteShares(const LatencyHistogram& histogram, const std::string& path)
    -> bool {
  std::ofstream file(path);
  double below = 0;
  for (const HistogramBin& bin : histogram.Bins()) {
    below += static_cast<double>(bin.count);
    file << bin.upper << ' ' << below / static_cast<double>(histogram.count())
         << '\n';
  }
  return file.good();
}

auto WriteScript(const LoadResult& result, const std::string& prefix) -> bool {
  std::ofstream file(prefix + ".gp");
  file << "set terminal svg size 1000,800\nset output '" << prefix
       << ".svg'\nset multiplot layout 2,1\nset logscale y\n"
          "set xlabel 'seconds'\nset ylabel 'ms'\n";
  for (const FaultRecord& fault : result.faults) {
    file << "set arrow from first " << fault.at_ms / 1000.0
         << ", graph 0 to first " << fault.at_ms / 1000.0
         << ", graph 1 nohead lc 'red'\n";
  }
  file << "plot '" << prefix
       << ".calls.dat' using 1:($4==1?$2:1/0) title 'whole answer' pt 7 ps "
          "0.2, '' using 1:($4==1&&$3>0?$3:1/0) title 'first token' pt 7 ps "
          "0.2, '' using 1:($4==0?$2:1/0) title 'not answered' pt 2 ps 0.6\n"
          "unset arrow\nunset logscale y\nset logscale x\nset xlabel 'ms'\n"
          "set ylabel 'share of calls'\nplot '"
       << prefix << ".total.dat' with steps title 'whole answer', '" << prefix
       << ".first.dat' with steps title 'first token'\nunset multiplot\n";
  return file.good();
}

}  // namespace

auto WritePlots(const LoadResult& result, const std::string& prefix)
    -> absl::Status {
  Summary all;
  for (const CallRecord& call : result.calls) {
    all.Add(call);
  }
  const bool written = WriteCalls(result, prefix + ".calls.dat") &&
                       WriteShares(all.total, prefix + ".total.dat") &&
                       WriteShares(all.first_token, prefix + ".first.dat") &&
                       WriteScript(result, prefix);
  return written ? absl::OkStatus()
                 : absl::UnavailableError(
                       absl::StrCat("can't write plots to ", prefix));
}

}  // namespace zinniastep::load
