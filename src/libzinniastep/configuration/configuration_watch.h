#ifndef LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_WATCH_H_
#define LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// What an answer of the object API told.
struct WatchAnswer {
  // When the request was sent, on this host's clock: the object API was in
  // reach at that time or later. Nothing when it did not answer.
  std::optional<Instant> contact;
  std::vector<StoredObject> objects;
  // Objects that were deleted; their configuration stays in force.
  std::vector<ObjectPath> deleted;
};

// Follows the configuration objects in the object API: lists each prefix, then
// waits for changes after the listed revision. While nothing is heard it reads
// one object every so often to know that the object API is in reach.
class ConfigurationWatch {
 public:
  // All references must outlive the watch.
  ConfigurationWatch(const ConfigurationSettings& settings,
                     StoreTokens& tokens);

  // Keeps the prefixes listed and, when `watching`, watched. A list that was
  // asked for before `listed_since` is asked for again.
  auto OnTime(Instant now,
              const std::set<std::string>& prefixes,
              bool watching,
              Instant listed_since,
              Effects& effects) -> void;

  // Returns what an answer told, or nothing when it was not to this watch.
  auto OnStore(Instant now, const StoreAnswered& answered)
      -> std::optional<WatchAnswer>;

  // Returns whether every prefix has been listed by a request after the time.
  [[nodiscard]] auto ListedSince(Instant since) const -> bool;

  // Returns whether the object API left the last request for some prefix
  // unanswered.
  [[nodiscard]] auto IsFailing() const -> bool;

 private:
  enum class Stage : std::uint8_t { kIdle, kListing, kWatching };

  struct Prefix {
    Stage stage = Stage::kIdle;
    StoreToken token = 0;
    Instant asked_at;
    Instant retry_at;
    // When the last list that was answered was asked for.
    std::optional<Instant> listed_at;
    ObjectVersion revision = 0;
    std::uint32_t failures = 0;
  };

  auto Ask(Instant now,
           const std::string& path,
           Prefix& prefix,
           bool must_list,
           Effects& effects) -> void;
  auto ExpireRequest(Instant now, Prefix& prefix) -> void;
  auto ProbeStore(Instant now, Effects& effects) -> void;
  static auto TakeFound(Prefix& prefix, const StoreFound& found) -> void;

  const ConfigurationSettings& settings_;
  StoreTokens& tokens_;
  std::map<std::string, Prefix> prefixes_;
  StoreToken probe_token_ = 0;
  Instant probe_at_;
  std::optional<Instant> last_contact_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_WATCH_H_
