#include "zinniastep-standin/quality.h"

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/random.h"

namespace zinniastep::standin {
namespace {

constexpr double kLeastGood = 0.8;
constexpr double kMostBad = 0.3;
// Share of answers on which the engine's own view is right.
constexpr double kConfidenceRight = 0.85;

enum class Draw : std::uint64_t { kDifficulty, kRating, kConfidence };

auto Unit(const std::string& text, Draw draw) -> double {
  return Random(StableHash(text, static_cast<std::uint64_t>(draw))).Unit();
}

auto Spread(bool good, double unit) -> double {
  return good ? kLeastGood + (1.0 - kLeastGood) * unit : kMostBad * unit;
}

}  // namespace

Quality::Quality(const std::vector<VersionSettings>& versions) {
  for (const VersionSettings& version : versions) {
    versions_[version.id].settings = version;
  }
}

auto Quality::Find(const std::string& version) const -> const VersionState& {
  const auto found = versions_.find(version);
  return found == versions_.end() ? unknown_ : found->second;
}

auto Quality::SetFault(const nlohmann::json& fault) -> void {
  VersionState& state = versions_[fault.value("version", "")];
  state.error_share = fault.value("error_share", state.error_share);
  state.quality_factor = fault.value("quality_factor", state.quality_factor);
}

auto Quality::Rating(const std::string& version,
                     const std::string& digest) const -> double {
  const VersionState& state = Find(version);
  const bool good = Unit(digest, Draw::kDifficulty) <
                    state.settings.quality * state.quality_factor;
  return Spread(good, Unit(digest + version, Draw::kRating));
}

auto Quality::Confidence(const std::string& version,
                         const std::string& digest) const -> double {
  const bool good = Rating(version, digest) >= kLeastGood;
  const double unit = Unit(digest + version, Draw::kConfidence);
  const bool right = unit < kConfidenceRight;
  return Spread(good == right, unit);
}

}  // namespace zinniastep::standin
