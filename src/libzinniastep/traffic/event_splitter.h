#ifndef LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_
#define LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniastep {

// One whole event of a stream, with the empty line that ends it.
struct StreamEvent {
  std::string text;
  std::optional<std::uint64_t> id;
};

// Cuts a stream of bytes (text/event-stream) into whole events.
class EventSplitter {
 public:
  auto Add(std::string_view bytes) -> void { pending_.append(bytes); }

  // Returns the next whole event, or nothing while there is none.
  auto Next() -> std::optional<StreamEvent>;

  // Whether a part of an event is left.
  [[nodiscard]] auto has_part() const -> bool { return !pending_.empty(); }

  // Forgets a part of an event that will not be completed.
  auto Reset() -> void { pending_.clear(); }

 private:
  std::string pending_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_EVENT_SPLITTER_H_
