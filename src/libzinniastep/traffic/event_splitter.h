#ifndef LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_
#define LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniastep {

// One whole event of a stream, with the empty line that ends it.
struct StreamEvent {
  std::string text;
  std::optional<std::uint64_t> id;
  // Whether it says anything, unlike a comment.
  bool has_data = false;
};

// Longest event that is taken, in bytes: a thousand times what an event of some
// tokens needs.
inline constexpr std::size_t kLongestEvent = std::size_t{256} << 10U;

// Cuts a stream of bytes (text/event-stream) into whole events. Each byte is
// searched once, however small the pieces are in which an event comes.
class EventSplitter {
 public:
  auto Add(std::string_view bytes) -> void { pending_.append(bytes); }

  // Returns the next whole event, or nothing while there is none.
  auto Next() -> std::optional<StreamEvent>;

  // Whether a part of an event is left.
  [[nodiscard]] auto has_part() const -> bool {
    return begin_ < pending_.size();
  }

  // Bytes that are kept.
  [[nodiscard]] auto size() const -> std::size_t { return pending_.size(); }

  // Whether the part that is left is longer than any event may be; the stream
  // is of no further use then.
  [[nodiscard]] auto is_overlong() const -> bool {
    return pending_.size() - begin_ > kLongestEvent;
  }

  // Forgets a part of an event that will not be completed.
  auto Reset() -> void;

 private:
  std::string pending_;
  // Where the next event begins, and up to where no end of it was found.
  std::size_t begin_ = 0;
  std::size_t searched_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_
