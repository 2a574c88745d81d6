#include "libzinniastep/configuration/configuration_watch.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/configuration/record_content.h"

namespace zinniastep {

namespace {

// Failures in a row up to which the wait before the next request grows.
constexpr std::uint32_t kMostFailures = 4;

}  // namespace

ConfigurationWatch::ConfigurationWatch(const ConfigurationSettings& settings,
                                       StoreTokens& tokens)
    : settings_(settings), tokens_(tokens) {}

auto ConfigurationWatch::OnTime(Instant now,
                                const std::set<std::string>& prefixes,
                                bool watching,
                                Instant listed_since,
                                Effects& effects) -> void {
  std::erase_if(prefixes_, [&prefixes](const auto& entry) {
    return !prefixes.contains(entry.first);
  });
  for (const std::string& path : prefixes) {
    Prefix& prefix = prefixes_[path];
    ExpireRequest(now, prefix);
    const bool must_list = !prefix.listed_at || prefix.revision == 0 ||
                           *prefix.listed_at < listed_since;
    const bool may_ask = prefix.stage == Stage::kIdle ||
                         (prefix.stage == Stage::kWatching && must_list);
    if (may_ask && now >= prefix.retry_at && (watching || must_list)) {
      Ask(now, path, prefix, must_list, effects);
    }
  }
  if (watching) {
    ProbeStore(now, effects);
  }
}

auto ConfigurationWatch::ExpireRequest(Instant now, Prefix& prefix) -> void {
  const Duration timeout = prefix.stage == Stage::kWatching
                               ? settings_.watch_timeout
                               : settings_.list_timeout;
  if (prefix.stage != Stage::kIdle && now - prefix.asked_at > timeout) {
    prefix.stage = Stage::kIdle;
    prefix.token = 0;
  }
}

auto ConfigurationWatch::Ask(Instant now,
                             const std::string& path,
                             Prefix& prefix,
                             bool must_list,
                             Effects& effects) -> void {
  prefix.token = tokens_.Next();
  prefix.asked_at = now;
  if (must_list) {
    prefix.stage = Stage::kListing;
    effects.Do(ListObjects{prefix.token, ObjectPath(path)});
  } else {
    prefix.stage = Stage::kWatching;
    effects.Do(WatchObjects{prefix.token, ObjectPath(path), prefix.revision});
  }
}

auto ConfigurationWatch::ProbeStore(Instant now, Effects& effects) -> void {
  const bool quiet =
      !last_contact_ || now - *last_contact_ >= settings_.store_probe_period;
  if (quiet && now - probe_at_ >= settings_.store_probe_period) {
    probe_token_ = tokens_.Next();
    probe_at_ = now;
    effects.Do(ReadObject{probe_token_, ObjectPath(std::string(kDomainsPath))});
  }
}

auto ConfigurationWatch::TakeFound(Prefix& prefix, const StoreFound& found)
    -> void {
  if (prefix.stage == Stage::kListing) {
    prefix.listed_at = prefix.asked_at;
    prefix.revision = found.revision;
    return;
  }
  // A revision that went back means another history: list from the start.
  const bool went_back = found.revision < prefix.revision;
  prefix.revision = went_back ? 0 : found.revision;
}

auto ConfigurationWatch::OnStore(Instant now, const StoreAnswered& answered)
    -> std::optional<WatchAnswer> {
  const auto* found = std::get_if<StoreFound>(&answered.result);
  WatchAnswer answer;
  if (answered.token == probe_token_) {
    if (found != nullptr) {
      answer.contact = probe_at_;
      answer.objects = found->objects;
      last_contact_ = probe_at_;
    }
    return answer;
  }
  const auto asked = std::ranges::find_if(prefixes_, [&](const auto& entry) {
    return entry.second.token == answered.token;
  });
  if (asked == prefixes_.end() || asked->second.stage == Stage::kIdle) {
    return std::nullopt;
  }
  Prefix& prefix = asked->second;
  if (found == nullptr) {
    prefix.failures = std::min(prefix.failures + 1, kMostFailures);
    prefix.retry_at = now + settings_.store_retry * prefix.failures;
  } else {
    prefix.failures = 0;
    TakeFound(prefix, *found);
    answer.contact = prefix.asked_at;
    answer.objects = found->objects;
    answer.deleted = found->deleted;
    last_contact_ =
        std::max(last_contact_.value_or(prefix.asked_at), prefix.asked_at);
  }
  prefix.stage = Stage::kIdle;
  prefix.token = 0;
  return answer;
}

auto ConfigurationWatch::ListedSince(Instant since) const -> bool {
  return !prefixes_.empty() &&
         std::ranges::all_of(prefixes_, [since](const auto& entry) {
           return entry.second.listed_at && *entry.second.listed_at >= since;
         });
}

auto ConfigurationWatch::IsFailing() const -> bool {
  return std::ranges::any_of(
      prefixes_, [](const auto& entry) { return entry.second.failures > 0; });
}

}  // namespace zinniastep
