#include "libzinniastep/gateway/record_packer.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "libzinniastep/base/compression.h"
#include "libzinniastep/base/hash.h"
#include "libzinniastep/wire/bounded_input_archive.h"

namespace zinniastep {

namespace {

// Shorter contents are sent anew with each change.
constexpr std::size_t kLongContent = 4096;
// Prefixes that a request names.
constexpr std::size_t kMaxBases = 4;
// Contents that are kept as prefixes: the newest ones within this sum.
constexpr std::size_t kMaxContentBytes = std::size_t{4} << 20U;
// Compressed answers that are kept for other peers.
constexpr std::size_t kMaxAnswers = 16;
// Longest answer before its compression, in bytes.
constexpr std::size_t kLongestAnswer = std::size_t{8} << 20U;

}  // namespace

auto RecordPacker::OnChanged(RecordKind kind, const Records& records) -> void {
  std::erase_if(answers_, [kind](const auto& item) {
    return std::get<RecordKind>(item.first) == kind;
  });
  for (const auto& [name, record] : records) {
    if (record.content.size() >= kLongContent) {
      Keep(record.content);
    }
  }
  std::size_t bytes = 0;
  const auto too_much = std::find_if(contents_.rbegin(), contents_.rend(),
                                     [&bytes](const Content& content) {
                                       bytes += content.bytes.size();
                                       return bytes > kMaxContentBytes;
                                     });
  contents_.erase(contents_.begin(), too_much.base());
}

auto RecordPacker::Keep(const std::string& content) -> void {
  const std::uint64_t hash = StableHash(content);
  const auto found = std::ranges::find(contents_, hash, &Content::hash);
  if (found == contents_.end()) {
    contents_.push_back({hash, content});
  } else {
    std::rotate(found, std::next(found), contents_.end());
  }
}

auto RecordPacker::Bases(const Records& records) const
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> bases;
  for (const auto& [name, record] : records) {
    if (record.content.size() < kLongContent || bases.size() >= kMaxBases) {
      continue;
    }
    const std::uint64_t hash = StableHash(record.content);
    if (!FindContent(hash).empty()) {
      bases.push_back(hash);
    }
  }
  return bases;
}

auto RecordPacker::FindContent(std::uint64_t hash) const -> std::string_view {
  const auto found = std::ranges::find(contents_, hash, &Content::hash);
  return found == contents_.end() ? std::string_view()
                                  : std::string_view(found->bytes);
}

auto RecordPacker::ChooseBase(std::span<const std::uint64_t> bases) const
    -> std::uint64_t {
  const auto found = std::ranges::find_if(
      bases, [this](std::uint64_t hash) { return !FindContent(hash).empty(); });
  return found == bases.end() ? 0 : *found;
}

auto RecordPacker::KeyOf(const PackedRecordsRequest& request) const
    -> AnswerKey {
  return {request.kind, request.as_of, ChooseBase(request.bases)};
}

auto RecordPacker::Find(const PackedRecordsRequest& request) const
    -> std::optional<PackedRecords> {
  const auto found = answers_.find(KeyOf(request));
  return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

auto RecordPacker::Pack(const PackedRecordsRequest& request,
                        const RecordAnswer& answer)
    -> absl::StatusOr<PackedRecords> {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(answer);
  }
  if (stream.view().size() > kLongestAnswer) {
    return absl::InvalidArgumentError("too long");
  }
  const AnswerKey key = KeyOf(request);
  const std::uint64_t base = std::get<std::uint64_t>(key);
  auto bytes = Compress(stream.view(), FindContent(base));
  if (!bytes.ok()) {
    return bytes.status();
  }
  if (answers_.size() >= kMaxAnswers) {
    answers_.clear();
  }
  return answers_
      .insert_or_assign(key,
                        PackedRecords{request.kind, base, *std::move(bytes)})
      .first->second;
}

auto RecordPacker::Unpack(const PackedRecords& packed) const
    -> absl::StatusOr<RecordAnswer> {
  const std::string_view prefix = FindContent(packed.base);
  if (packed.base != 0 && prefix.empty()) {
    return absl::FailedPreconditionError("prefix not held");
  }
  const auto bytes = Decompress(packed.bytes, prefix, kLongestAnswer);
  if (!bytes.ok()) {
    return bytes.status();
  }
  try {
    BoundedInputArchive archive(*bytes);
    RecordAnswer answer;
    archive(answer);
    return answer;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace zinniastep
