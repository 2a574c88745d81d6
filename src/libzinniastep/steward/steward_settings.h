#ifndef LIBZINNIASTEP_STEWARD_STEWARD_SETTINGS_H_
#define LIBZINNIASTEP_STEWARD_STEWARD_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Times and bounds of credits, load polls, summaries and orders.
struct StewardSettings {
  // How long a credit may be used, counted from the asker's last asking.
  Duration credit_lifetime = std::chrono::seconds(1);
  // Greatest age of a backend server's load report.
  Duration report_lag = std::chrono::milliseconds(1500);
  Duration poll_period = std::chrono::milliseconds(500);
  // A backend server that answers no poll for so long gets nothing.
  Duration poll_silence = std::chrono::seconds(5);
  // How long a steward whose lease lapsed may grant to cold servers.
  Duration lapsed_bound = std::chrono::minutes(15);
  // How often an unanswered ask or return is sent again.
  Duration ask_again = std::chrono::milliseconds(250);
  Duration return_again = std::chrono::seconds(1);
  std::uint32_t return_tries = 20;
  // How often a withdrawn ask is withdrawn, as that is not acknowledged.
  std::uint32_t cancel_tries = 3;
  Duration hand_over_again = std::chrono::seconds(1);
  std::uint32_t hand_over_tries = 10;
  // Most asks that wait at one steward.
  std::size_t queue_bound = 512;
  // Most asks and returns that one host keeps open.
  std::size_t desk_bound = 16384;
  // A cell's summary goes to its neighbours so often.
  Duration cell_report_period = std::chrono::seconds(2);
  Duration cell_report_lifetime = std::chrono::seconds(10);
  // A failure domain's summary changes at most so often.
  Duration pool_report_period = std::chrono::seconds(4);
  Duration pool_report_lifetime = std::chrono::seconds(60);
  // A host asks another one for newer summaries so often.
  Duration pool_digest_period = std::chrono::seconds(2);
  // Longest time that an order may need to reach its backend server.
  Duration order_delivery = std::chrono::seconds(2);
  Duration order_period = std::chrono::seconds(5);
  // Orders that one steward has under way.
  std::size_t order_bound = 2;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_STEWARD_SETTINGS_H_
