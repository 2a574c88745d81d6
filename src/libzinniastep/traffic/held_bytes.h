#ifndef LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_
#define LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>

namespace zinniastep {

class HeldShare;

// Bounds the bytes that a host holds for all of its callers together: requests
// that are being read or sent, answers that are kept until they are whole, and
// what callers have not taken yet. Beyond the limit the largest shares are
// ended, one after the other. Used on the traffic thread only.
class HeldBytes : public std::enable_shared_from_this<HeldBytes> {
 public:
  HeldBytes(boost::asio::io_context& io, std::size_t limit);

  // Bytes that are held now, and the most that ever were.
  [[nodiscard]] auto total() const -> std::size_t { return total_; }
  [[nodiscard]] auto peak() const -> std::size_t { return peak_; }

  // Whether more than half of the limit is held, so that nothing is kept for
  // convenience.
  [[nodiscard]] auto is_scarce() const -> bool { return total_ > limit_ / 2; }

  // Shares that were ended.
  [[nodiscard]] auto ended() const -> std::uint64_t { return ended_; }

 private:
  friend class HeldShare;

  auto Add(HeldShare* share) -> void { shares_.insert(share); }
  auto Remove(HeldShare* share) -> void { shares_.erase(share); }
  auto Change(std::size_t before, std::size_t after) -> void;
  auto EndLargest() -> void;

  boost::asio::io_context& io_;
  std::size_t limit_;
  std::size_t total_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t ended_ = 0;
  std::unordered_set<HeldShare*> shares_;
  bool is_ending_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HELD_BYTES_H_
