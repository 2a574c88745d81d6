#include "libzinniastep/configuration/record_table.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <tuple>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/configuration/record_content.h"

namespace zinniastep {

namespace {

auto BucketOf(const ObjectPath& path) -> std::size_t {
  return StableHash(path.text()) % kRecordBuckets;
}

auto IsInScope(const ObjectPath& path, RecordScope scope) -> bool {
  return scope == RecordScope::kRegion || RosterDomain(path).empty();
}

// Returns a hash of the state; sums of them do not depend on the order.
auto HashOf(const RecordId& id) -> std::uint64_t {
  const std::array<std::uint64_t, 3> numbers{id.generation, id.version,
                                             id.digest};
  const std::string_view bytes(reinterpret_cast<const char*>(numbers.data()),
                               sizeof(numbers));
  return StableHash(bytes, StableHash(id.path.text()));
}

}  // namespace

auto IsNewer(const RecordId& a, const RecordId& b) -> bool {
  return std::tie(a.generation, a.version, a.digest) >
         std::tie(b.generation, b.version, b.digest);
}

auto RecordTable::Find(const ObjectPath& path) const -> const Record* {
  const auto found = records_.find(path);
  return found == records_.end() ? nullptr : &found->second;
}

auto RecordTable::Put(Record record) -> void {
  Record& held = records_[record.id.path];
  if (!held.text.empty()) {
    KeepPatch(held, record);
  }
  held = std::move(record);
}

auto RecordTable::Erase(const ObjectPath& path) -> void {
  records_.erase(path);
  patches_.erase(path);
}

auto RecordTable::KeepPatch(const Record& older, const Record& newer) -> void {
  auto& patches = patches_[newer.id.path];
  patches.push_back({older.id.digest, DiffJson(older.text, newer.text)});
  const auto add_size = [](std::size_t sum, const Patch& patch) {
    return sum + patch.text.size();
  };
  std::size_t size =
      std::accumulate(patches.begin(), patches.end(), std::size_t{0}, add_size);
  while (!patches.empty() &&
         (patches.size() > kMostPatches || size > newer.text.size())) {
    size -= patches.front().text.size();
    patches.pop_front();
  }
}

auto RecordTable::Buckets(RecordScope scope) const -> BucketDigests {
  BucketDigests buckets{};
  for (const auto& [path, record] : records_) {
    if (IsInScope(path, scope)) {
      buckets[BucketOf(path)] += HashOf(record.id);
    }
  }
  return buckets;
}

auto RecordTable::Digest(RecordScope scope) const -> std::uint64_t {
  const BucketDigests buckets = Buckets(scope);
  return std::accumulate(buckets.begin(), buckets.end(), std::uint64_t{0});
}

auto RecordTable::List(RecordScope scope,
                       std::span<const std::uint8_t> buckets) const
    -> std::vector<RecordId> {
  std::vector<RecordId> ids;
  for (const auto& [path, record] : records_) {
    if (IsInScope(path, scope) &&
        std::ranges::find(buckets, BucketOf(path)) != buckets.end()) {
      ids.push_back(record.id);
    }
  }
  return ids;
}

auto RecordTable::Content(const Record& record, std::uint64_t have_digest) const
    -> RecordContent {
  RecordContent whole{record.id, 0, record.text};
  const auto patches = patches_.find(record.id.path);
  if (patches == patches_.end() || have_digest == 0) {
    return whole;
  }
  auto patch =
      std::ranges::find(patches->second, have_digest, &Patch::from_digest);
  if (patch == patches->second.end()) {
    return whole;
  }
  std::string joined = patch->text;
  for (++patch; patch != patches->second.end(); ++patch) {
    joined = JoinPatches(joined, patch->text);
  }
  if (joined.size() >= record.text.size()) {
    return whole;
  }
  return {record.id, have_digest, std::move(joined)};
}

}  // namespace zinniastep
