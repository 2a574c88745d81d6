#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/gateway_action.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// What a report about prompt parts that crash servers contains.
enum class CrashReportKind : std::uint8_t {
  // What a host learned, which its peers send on.
  kNews,
  // All that matters, for peers that lost news.
  kSummary,
};

// Collects the actions of the gateway's control state in order, and selects the
// peers that receive a message.
class GatewayOutbox {
 public:
  GatewayOutbox(const Membership& membership, std::uint64_t seed);

  // Adds an action.
  template <class A>
  auto Add(A action) -> void {
    actions_.emplace_back(std::move(action));
  }

  // Adds a log line.
  auto Log(std::string event, std::initializer_list<LogField> fields) -> void;

  // Adds a log line for each object of a read that could not be read.
  auto LogUnreadable(RecordKind kind, const RecordReadResult& result) -> void;

  // Sends a message to one peer.
  auto Send(const HostIdentity& peer, GatewayMessage message) -> void;
  auto Send(const PeerRef& peer, GatewayMessage message) -> void;

  // Sends a message to at most `most` live peers, chosen at random.
  auto SendToRandomPeers(std::size_t most, const GatewayMessage& message)
      -> void;

  // Sends a crash report to peers, chosen at random in a large fleet. News go
  // to more of them than a summary.
  auto SpreadCrashReport(const CrashReport& report, CrashReportKind kind)
      -> void;

  // Returns the collected actions and removes them from the outbox.
  [[nodiscard]] auto Take() -> std::vector<GatewayAction>;

 private:
  const Membership& membership_;
  Random random_;
  std::vector<GatewayAction> actions_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_
