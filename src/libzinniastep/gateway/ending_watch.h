#ifndef LIBZINNIASTEP_GATEWAY_ENDING_WATCH_H_
#define LIBZINNIASTEP_GATEWAY_ENDING_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// A send that reached a server and broke before any part of its answer.
struct UnansweredSend {
  // Hash of the request's id.
  std::uint64_t request = 0;
  std::vector<PromptPartId> parts;
  Instant sent_at;
  Instant broken_at;
  // The same in all repeats of the request; zero if it is not known.
  PromptPartId signature = 0;
};

// What became of a connection that was only opened.
enum class ProbeResult : std::uint8_t {
  kAccepted,
  // Nothing listens at the address: the server's process has ended.
  kRefused,
  // Neither; the path to the server may be cut.
  kNoAnswer,
};

[[nodiscard]] auto ToString(ProbeResult result) -> std::string_view;

// The sends that broke at one server since it was last probed.
struct BrokenSends {
  // Those that broke after a part of the answer.
  std::uint32_t answered = 0;
  std::vector<UnansweredSend> unanswered;
};

// Tells the end of a backend server from the end of a connection. A broken send
// only says that its connection ended; a probe tells whether the server still
// listens.
class EndingWatch {
 public:
  // Notes a broken send. Returns whether to begin a probe of the server, whose
  // result goes to OnProbe(); there is at most one at a time. The last argument
  // is empty if the send broke after a part of the answer.
  auto OnBroken(const BackendServerId& server,
                std::optional<UnansweredSend> unanswered) -> bool;

  // Returns the sends that broke until the probe's result, if the server has
  // ended.
  auto OnProbe(const BackendServerId& server, ProbeResult result)
      -> std::optional<BrokenSends>;

 private:
  std::map<BackendServerId, BrokenSends> probed_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ENDING_WATCH_H_
