#ifndef LIBZINNIASTEP_GATEWAY_RECORD_PACKER_H_
#define LIBZINNIASTEP_GATEWAY_RECORD_PACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// What a peer gets in answer to a request for records.
using RecordAnswer = std::variant<RecordSnapshot, RecordDelta>;

// Compresses records for peers. A long content that a peer holds in an earlier
// state costs little more than what changed in it: the earlier state serves as
// the prefix of the compression. Contents are named by their hash.
class RecordPacker {
 public:
  using Records = std::map<std::string, StoredRecord>;

  // The kind's records changed: keeps their long contents as prefixes for later
  // answers, and drops what was compressed of the kind.
  auto OnChanged(RecordKind kind, const Records& records) -> void;

  // Returns the hashes of the records' long contents that are held, for a
  // request.
  [[nodiscard]] auto Bases(const Records& records) const
      -> std::vector<std::uint64_t>;

  // Returns the answer to a request that was answered before, or nullopt.
  [[nodiscard]] auto Find(const PackedRecordsRequest& request) const
      -> std::optional<PackedRecords>;

  // Compresses the answer to a request. Fails if the peer would refuse it for
  // its length.
  [[nodiscard]] auto Pack(const PackedRecordsRequest& request,
                          const RecordAnswer& answer)
      -> absl::StatusOr<PackedRecords>;

  // Returns a peer's answer. Fails if its prefix is not held any more, or if
  // the bytes cannot be read.
  [[nodiscard]] auto Unpack(const PackedRecords& packed) const
      -> absl::StatusOr<RecordAnswer>;

 private:
  struct Content {
    std::uint64_t hash = 0;
    std::string bytes;
  };
  // Kind, the state that the peer has, and the prefix.
  using AnswerKey = std::tuple<RecordKind, StorePosition, std::uint64_t>;

  // Returns the bytes of a content, or an empty view if it is not held.
  [[nodiscard]] auto FindContent(std::uint64_t hash) const -> std::string_view;
  // Returns the first of the hashes whose content is held, or zero.
  [[nodiscard]] auto ChooseBase(std::span<const std::uint64_t> bases) const
      -> std::uint64_t;
  [[nodiscard]] auto KeyOf(const PackedRecordsRequest& request) const
      -> AnswerKey;

  // Keeps a content, as the newest one.
  auto Keep(const std::string& content) -> void;

  // Oldest first.
  std::deque<Content> contents_;
  std::map<AnswerKey, PackedRecords> answers_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_PACKER_H_
