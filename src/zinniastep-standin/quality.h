#ifndef ZINNIASTEP_STANDIN_QUALITY_H_
#define ZINNIASTEP_STANDIN_QUALITY_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "zinniastep-standin/settings.h"

namespace zinniastep::standin {

// How a version answers just now.
struct VersionState {
  VersionSettings settings;
  double error_share = 0.0;
  double quality_factor = 1.0;
};

// Decides which answers are good. A prompt has a difficulty of its own, so that
// a better version answers all that a worse one can.
class Quality {
 public:
  explicit Quality(const std::vector<VersionSettings>& versions);

  // State of a version; one with default settings when it is not known.
  auto Find(const std::string& version) const -> const VersionState&;

  // Changes a version: "version", "error_share", "quality_factor".
  auto SetFault(const nlohmann::json& fault) -> void;

  // Rating in [0, 1] of the version's answer to the prompt of that digest.
  auto Rating(const std::string& version, const std::string& digest) const
      -> double;

  // The engine's own view of the same answer, right most of the time.
  auto Confidence(const std::string& version, const std::string& digest) const
      -> double;

 private:
  VersionState unknown_;
  std::map<std::string, VersionState> versions_;
};

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_QUALITY_H_
