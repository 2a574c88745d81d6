#include "libzinniastep/gateway/gateway_outbox.h"

#include <span>
#include <utility>
#include <variant>

namespace zinniastep {

namespace {

// In a fleet with at most this many hosts, news are sent to all at once.
constexpr std::size_t kSmallFleet = 16;
// In a larger fleet each peer sends news on to as many.
constexpr std::size_t kNewsFanOut = 6;
constexpr std::size_t kSummaryFanOut = 3;

}  // namespace

GatewayOutbox::GatewayOutbox(const Membership& membership, std::uint64_t seed)
    : membership_(membership), random_(seed) {}

auto GatewayOutbox::Log(std::string event,
                        std::initializer_list<LogField> fields) -> void {
  actions_.emplace_back(LogEvent{std::move(event), fields});
}

auto GatewayOutbox::LogUnreadable(RecordKind kind,
                                  const RecordReadResult& result) -> void {
  std::span<const UnreadableRecord> unreadable;
  if (const auto* page = std::get_if<RecordPage>(&result)) {
    unreadable = page->unreadable;
  } else if (const auto* changes = std::get_if<RecordChanges>(&result)) {
    unreadable = changes->unreadable;
  }
  for (const UnreadableRecord& record : unreadable) {
    Log("store_entry_unreadable",
        {{"kind", std::to_string(static_cast<int>(kind))},
         {"name", record.name},
         {"reason", record.reason}});
  }
}

auto GatewayOutbox::Send(const HostIdentity& peer, GatewayMessage message)
    -> void {
  actions_.emplace_back(SendToPeer{peer.host, peer.peer_address,
                                   PeerMessage(std::move(message))});
}

auto GatewayOutbox::Send(const PeerRef& peer, GatewayMessage message) -> void {
  actions_.emplace_back(
      SendToPeer{peer.host, peer.address, PeerMessage(std::move(message))});
}

auto GatewayOutbox::SendToRandomPeers(std::size_t most,
                                      const GatewayMessage& message) -> void {
  std::vector<const HostIdentity*> peers;
  for (const HostIdentity& host : membership_.live_hosts()) {
    if (host.host != membership_.self().host) {
      peers.push_back(&host);
    }
  }
  for (std::size_t sent = 0; sent < most && !peers.empty(); ++sent) {
    const std::size_t index = random_.Below(peers.size());
    Send(*peers[index], message);
    peers[index] = peers.back();
    peers.pop_back();
  }
}

auto GatewayOutbox::SpreadCrashReport(const CrashReport& report,
                                      CrashReportKind kind) -> void {
  const std::size_t news_fan_out =
      membership_.live_hosts().size() <= kSmallFleet ? kSmallFleet
                                                     : kNewsFanOut;
  SendToRandomPeers(
      kind == CrashReportKind::kNews ? news_fan_out : kSummaryFanOut, report);
}

auto GatewayOutbox::Take() -> std::vector<GatewayAction> {
  return std::exchange(actions_, {});
}

}  // namespace zinniastep
