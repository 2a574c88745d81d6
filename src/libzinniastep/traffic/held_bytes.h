#ifndef LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_
#define LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>

#include "libzinniastep/traffic/limit_reports.h"

namespace zinniastep {

class HeldShare;

// Bounds the bytes that a host holds for all of its callers together: their
// connections, requests, and answers that are not whole or not taken yet.
// Beyond the limit the largest shares are ended, those of answers that callers
// are taking last. Used on the traffic thread only.
class HeldBytes : public std::enable_shared_from_this<HeldBytes> {
 public:
  HeldBytes(boost::asio::io_context& io, std::size_t limit);

  // Bytes that are held now, and the most that ever were.
  [[nodiscard]] auto total() const -> std::size_t { return total_; }
  [[nodiscard]] auto peak() const -> std::size_t { return peak_; }

  // Whether more than half of the limit is held, so that nothing is kept for
  // convenience.
  [[nodiscard]] auto is_scarce() const -> bool { return total_ > limit_ / 2; }

  // Whether more than the limit is held, until the largest shares have ended.
  [[nodiscard]] auto is_over() const -> bool { return total_ > limit_; }

  // What limits have done to callers' connections.
  [[nodiscard]] auto reports() -> LimitReports& { return reports_; }

  // Shares that were ended.
  [[nodiscard]] auto ended() const -> std::uint64_t { return ended_; }

 private:
  friend class HeldShare;

  auto Add(HeldShare* share) -> void { shares_.insert(share); }
  auto Remove(HeldShare* share) -> void { shares_.erase(share); }
  auto Change(std::size_t before, std::size_t after) -> void;
  auto EndLargest() -> void;
  [[nodiscard]] auto Largest() const -> HeldShare*;

  boost::asio::io_context& io_;
  std::size_t limit_;
  std::size_t total_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t ended_ = 0;
  std::unordered_set<HeldShare*> shares_;
  LimitReports reports_;
  bool is_ending_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_
