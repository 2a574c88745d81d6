#ifndef TESTS_FLEET_COLD_LIMIT_PLAY_H_
#define TESTS_FLEET_COLD_LIMIT_PLAY_H_

#include <cstdint>

#include "tests/fleet/fake_fleet.h"
#include "tests/fleet/fault_schedule.h"

namespace zinniastep {

inline constexpr int kSchedules = 60;
inline constexpr int kStepsPerSchedule = 10;
inline constexpr Duration kStep = seconds(6);
inline constexpr Duration kHoldCredits = milliseconds(900);

// Ways to break the rules, to show that the check sees it.
enum class Breakage : std::uint8_t {
  kNone,
  kNoWaitOut,
  kOldCreditsUsed,
  kCreditsForgotten,
  kStopClaimedTooEarly,
};

inline auto Shape(std::uint64_t seed, Breakage breakage) -> FleetShape {
  FleetShape shape;
  shape.domains_per_region = 1;
  shape.hosts_per_domain = 4;
  shape.servers_per_domain = 2;
  shape.cold_limit = 3;
  shape.tick = milliseconds(50);
  shape.seed = seed;
  if (breakage == Breakage::kNoWaitOut) {
    // Takes the whole wait away: lease, credit lifetime and report age.
    shape.steward.report_lag = -(shape.assignment.lease + seconds(2));
  }
  return shape;
}

// Tells every new steward that the earlier ones have stopped and left nothing.
inline auto ClaimStops(FakeFleet& fleet, FakeHost& host, const Notice& notice)
    -> void {
  const auto* changed = std::get_if<AssignmentChanged>(&notice);
  if (changed == nullptr || changed->domain != FakeFleet::Domain(0)) {
    return;
  }
  const AssignmentTable* table = host.assignment->TableOf(changed->domain);
  for (const AssignmentSlot& slot : table->slots) {
    for (const Holder& former : slot.former) {
      const HandOver stop{changed->domain, 0, 1, former.epoch, {}};
      for (int i = 1; i < 8; ++i) {
        fleet.After(seconds(i), [&fleet, id = host.identity.host, stop] {
          fleet.Inject(id, Envelope{HostId("x"), 1, "x:1",
                                    PeerMessage(StewardMessage(stop))});
        });
      }
    }
  }
}

struct Totals {
  std::uint64_t overloads = 0;
  std::uint64_t served = 0;
  int schedules_caught = 0;
};

// Adds what one fleet did.
inline auto Count(const FakeFleet& fleet, Totals& totals) -> void {
  totals.overloads += fleet.overloads;
  totals.schedules_caught += fleet.overloads > 0 ? 1 : 0;
  for (const auto& [id, server] : fleet.servers) {
    totals.served += server.served;
  }
}

// Plays the fault schedules of some seeds, the last one included.
inline auto RunSchedules(Breakage breakage,
                         std::uint64_t first_seed = 1,
                         std::uint64_t last_seed = kSchedules) -> Totals {
  Totals totals;
  for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
    FakeFleet fleet(Shape(seed, breakage));
    fleet.hold_credits = kHoldCredits;
    fleet.uses_old_credits = breakage == Breakage::kOldCreditsUsed;
    if (breakage == Breakage::kCreditsForgotten) {
      fleet.attempt_timeout = -seconds(6);
    }
    if (breakage == Breakage::kStopClaimedTooEarly) {
      fleet.on_notice = [&fleet](FakeHost& host, const Notice& notice) {
        ClaimStops(fleet, host, notice);
      };
    }
    fleet.Run(seconds(15));
    Random random(seed);
    for (int i = 0; i < kStepsPerSchedule; ++i) {
      Apply(fleet, static_cast<Fault>(random.Below(kFaults)));
      AskAll(fleet, kStep, milliseconds(1500));
    }
    Count(fleet, totals);
  }
  return totals;
}

}  // namespace zinniastep

#endif  // TESTS_FLEET_COLD_LIMIT_PLAY_H_
