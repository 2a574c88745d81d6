#include "libzinniastep/rollout/evidence_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniastep {

namespace {

constexpr std::size_t kMaxScopes = 512;
// Base-two logarithms that map to 1.0 on the logarithmic scale. Must match the
// exponents in evidence_judge.cc.
constexpr double kFirstTokenExponent = 16.0;
constexpr double kLengthExponent = 14.0;

auto ToLogScale(double value, double exponent) -> double {
  return std::clamp(std::log2(1.0 + value) / exponent, 0.0, 1.0);
}

}  // namespace

auto EvidenceTable::ContainingScopes(const EvidenceScope& scope) const
    -> std::vector<EvidenceScope> {
  std::vector<EvidenceScope> scopes = {{scope.version, {}, {}}};
  for (const EvidenceScope& narrow :
       {EvidenceScope{scope.version, scope.account, {}},
        EvidenceScope{scope.version, {}, scope.task_class}}) {
    const bool known = own_.contains(narrow);
    if (!narrow.IsVersionWide() && (known || own_.size() < kMaxScopes)) {
      scopes.push_back(narrow);
    }
  }
  return scopes;
}

auto EvidenceTable::OnAnswer(const AnswerEvidence& evidence) -> void {
  const EvidenceScope scope{evidence.version, evidence.account,
                            evidence.task_class};
  for (const EvidenceScope& containing : ContainingScopes(scope)) {
    EvidenceSums& sums = own_[containing];
    sums.errors.Observe(evidence.failed ? 1.0 : 0.0);
    if (!evidence.failed) {
      sums.first_token.Observe(
          ToLogScale(evidence.first_token_ms, kFirstTokenExponent));
      sums.answer_length.Observe(
          ToLogScale(evidence.completion_tokens, kLengthExponent));
    }
    changed_.insert(containing);
  }
}

auto EvidenceTable::OnRating(const EvidenceScope& scope, double rating)
    -> void {
  for (const EvidenceScope& containing : ContainingScopes(scope)) {
    own_[containing].poor_ratings.Observe(1.0 - std::clamp(rating, 0.0, 1.0));
    changed_.insert(containing);
  }
}

auto EvidenceTable::Total(const EvidenceScope& scope) const -> EvidenceSums {
  EvidenceSums total;
  if (const auto own = own_.find(scope); own != own_.end()) {
    total += own->second;
  }
  if (const auto others = others_.find(scope); others != others_.end()) {
    total += others->second;
  }
  return total;
}

auto EvidenceTable::SinceRestart(const EvidenceScope& scope) const
    -> EvidenceSums {
  const auto before = sums_at_restart_.find(scope);
  const EvidenceSums total = Total(scope);
  return before == sums_at_restart_.end() ? total : total.Since(before->second);
}

auto EvidenceTable::Baseline(const EvidenceScope& scope) const -> EvidenceSums {
  EvidenceSums baseline = SinceRestart(scope);
  const EvidenceSums total = Total(scope);
  baseline.errors = total.errors;
  baseline.poor_ratings = total.poor_ratings;
  return baseline;
}

auto EvidenceTable::Restart(const EvidenceScope& scope) -> void {
  if (sums_at_restart_.size() < kMaxScopes ||
      sums_at_restart_.contains(scope)) {
    sums_at_restart_[scope] = Total(scope);
  }
}

auto EvidenceTable::Versions() const -> std::vector<EvidenceScope> {
  std::set<EvidenceScope> versions;
  for (const auto* sums : {&own_, &others_}) {
    for (const auto& [scope, unused] : *sums) {
      versions.insert({scope.version, {}, {}});
    }
  }
  return {versions.begin(), versions.end()};
}

auto EvidenceTable::TakeChanged() -> std::set<EvidenceScope> {
  return std::exchange(changed_, {});
}

auto EvidenceTable::OwnRows(const std::string& model, std::size_t max_rows)
    -> std::vector<EvidenceRow> {
  std::vector<EvidenceRow> rows;
  for (const auto& [scope, sums] : own_) {
    if (scope.version.model == model && scope.IsVersionWide()) {
      rows.push_back({scope, sums});
    }
  }
  EvidenceScope& last = last_sent_[model];
  auto next = own_.upper_bound(last);
  for (std::size_t i = 0; i < own_.size() && rows.size() < max_rows; ++i) {
    if (next == own_.end()) {
      next = own_.begin();
    }
    if (next->first.version.model == model && !next->first.IsVersionWide()) {
      rows.push_back({next->first, next->second});
      last = next->first;
    }
    ++next;
  }
  return rows;
}

auto EvidenceTable::ReplaceOthers(const std::vector<EvidenceRow>& rows)
    -> void {
  for (const EvidenceRow& row : rows) {
    if (others_.size() < kMaxScopes || others_.contains(row.scope)) {
      others_[row.scope] = row.sums;
      changed_.insert(row.scope);
    }
  }
}

}  // namespace zinniastep
