#ifndef TESTS_SUPPORT_CRASH_FLEET_H_
#define TESTS_SUPPORT_CRASH_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/part_quarantine.h"

namespace zinniastep::testing {

// Requests with one prompt part that crash servers, for a while.
struct CrashingPart {
  Instant from;
  Instant until;
  // Share of the requests of its kind that have the part.
  double share = 0.05;
  // Requests of different kinds share no part.
  std::size_t kind = 0;
};

// A load with faults, and the fleet that meets it.
struct CrashScenario {
  std::size_t hosts = 8;
  std::size_t servers = 9;
  double requests_per_second = 33.0;
  std::size_t kinds = 3;
  // Longest wait of a request at a server before its answer begins.
  Duration longest_wait = std::chrono::milliseconds(1500);
  Duration length = std::chrono::seconds(36);
  std::vector<CrashingPart> parts;
  // Share of the messages between hosts that are lost, and the longest delay of
  // the others.
  double loss = 0.0;
  Duration longest_delay = std::chrono::milliseconds(20);
  // Moments at which a third of the servers ends together.
  std::vector<Instant> domain_losses;
  // Period with which single servers end for reasons of their own; zero for
  // never.
  Duration server_crash_period{0};
  // A fourth of the hosts cannot reach the others in this time.
  Instant cut_from;
  Instant cut_until;
  // Period with which hosts restart in turn; zero for never.
  Duration host_restart_period{0};
};

// What a run showed of one crashing part.
struct CrashingPartResult {
  std::size_t endings = 0;
  // Requests that reached a server later than three seconds after the fifth
  // ending, from hosts that had run and reached their peers for as long.
  std::size_t late = 0;
};

struct CrashResult {
  std::vector<CrashingPartResult> parts;
  // Requests without a crashing part, and those of them that were refused.
  std::size_t sound = 0;
  std::size_t sound_refused = 0;
  // Rows of the reports that hosts sent to each other.
  std::size_t rows_sent = 0;
};

// Plays a scenario in virtual time: hosts with a quarantine each, and servers
// that end when they begin to answer a request with a crashing part.
class CrashFleet {
 public:
  CrashFleet(CrashScenario scenario, std::uint64_t seed);

  auto Run() -> CrashResult;

 private:
  struct Send {
    std::uint64_t request = 0;
    std::size_t host = 0;
    std::size_t server = 0;
    std::size_t incarnation = 0;
    std::size_t attempt = 1;
    bool is_trial = false;
    std::vector<PromptPartId> parts;
    // Index of its crashing part, or the number of parts.
    std::size_t crashing = 0;
    Instant sent_at;
    Instant begins_at;
    Instant ends_at;
    // A part of its answer has come.
    bool begun = false;
  };
  struct Server {
    Instant up_at;
    std::vector<Send> open;
  };
  struct Host {
    std::unique_ptr<PartQuarantine> quarantine;
    Instant started;
    Instant next_summary;
    bool cut = false;
  };
  struct Letter {
    std::size_t to = 0;
    CrashReport report;
  };
  struct Notice {
    std::size_t host = 0;
    std::size_t server = 0;
    std::vector<UnansweredSend> sends;
  };

  [[nodiscard]] auto Chance(double share) -> bool {
    return random_.Unit() < share;
  }
  auto Between(Duration least, Duration most) -> Duration;
  auto Arrive() -> void;
  auto Dispatch(Send send) -> void;
  auto ServeAll() -> void;
  auto EndServer(std::size_t server) -> void;
  auto OtherFaults() -> void;
  auto Exchange() -> void;
  auto Spread(std::size_t host, const CrashReport& report, std::size_t most)
      -> void;
  [[nodiscard]] auto InTouch(const Host& host) const -> bool;

  CrashScenario scenario_;
  Random random_;
  Instant now_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::multimap<Instant, Letter> letters_;
  std::multimap<Instant, Notice> notices_;
  std::vector<Instant> fifth_ending_;
  CrashResult result_;
  double due_requests_ = 0.0;
  std::uint64_t requests_ = 0;
  std::size_t domain_losses_ = 0;
  Instant next_server_crash_;
  Instant next_host_restart_;
  std::size_t next_host_ = 0;
};

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_CRASH_FLEET_H_
