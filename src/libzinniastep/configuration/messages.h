#ifndef LIBZINNIASTEP_CONFIGURATION_MESSAGES_H_
#define LIBZINNIASTEP_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Which objects a comparison is about: those that every host holds, or also
// the rosters that only the hosts of one region hold.
enum class RecordScope : std::uint8_t { kEverywhere, kRegion };

// One state of one configuration object. The generation decides which of two
// states is newer, then the object version, then the digest of the content.
struct RecordId {
  ObjectPath path;
  std::uint64_t generation = 0;
  ObjectVersion version = 0;
  std::uint64_t digest = 0;

  auto operator==(const RecordId&) const -> bool = default;

  // Reads or writes the state's number with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(path, generation, version, digest);
  }
};

// A stamp that the sender issued, and the last one that it has of the
// receiver. Whoever finds its own stamp echoed knows how old the message is at
// the most, however long it waited in a buffer. Zero means "none".
struct StampPair {
  std::uint64_t stamp = 0;
  std::uint64_t echo = 0;

  // Reads or writes the pair with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamp, echo);
  }
};

// The age of the sender's news at the time of sending, in microseconds;
// negative when it has none.
using NewsAge = std::int64_t;

// The sender holds these states.
struct RecordsAnnounced {
  std::vector<RecordId> records;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(records);
  }
};

// All states that the sender holds in some buckets; the receiver announces
// what it has newer.
struct BucketsListed {
  RecordScope scope = RecordScope::kEverywhere;
  std::vector<std::uint8_t> buckets;
  std::vector<RecordId> records;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(scope, buckets, records);
  }
};

// One state that the sender wants, with the digest of the one it has.
struct WantedRecord {
  ObjectPath path;
  std::uint64_t have_digest = 0;

  // Reads or writes the wish with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(path, have_digest);
  }
};
struct RecordsWanted {
  std::vector<WantedRecord> records;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(records);
  }
};

// One state's content: whole, or as a JSON patch of the content with the base
// digest.
struct RecordContent {
  RecordId id;
  // Zero for a whole content.
  std::uint64_t base_digest = 0;
  std::string text;

  // Reads or writes the content with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, base_digest, text);
  }
};
struct RecordsSent {
  std::vector<RecordContent> records;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(records);
  }
};

// Asks a random peer whether it holds the same, and for its news.
struct DigestAsked {
  StampPair stamps;
  RecordScope scope = RecordScope::kRegion;
  std::uint64_t digest = 0;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamps, scope, digest);
  }
};
struct DigestAnswered {
  StampPair stamps;
  NewsAge news_age = -1;
  RecordScope scope = RecordScope::kRegion;
  // Digests of the buckets; empty when the whole is the same.
  std::vector<std::uint64_t> buckets;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamps, news_age, scope, buckets);
  }
};

// On how many hosts one new state is in force.
struct RecordCount {
  std::uint64_t path_hash = 0;
  std::uint64_t generation = 0;
  std::uint32_t hosts = 0;

  // Reads or writes the count with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(path_hash, generation, hosts);
  }
};

// Sums over the hosts of a subtree, sent to the parent in the region's tree.
struct SubtreeReported {
  StampPair stamps;
  std::uint32_t hosts = 0;
  // How many of them hold just what the sender holds.
  std::uint32_t same = 0;
  std::uint64_t digest = 0;
  // Age of the oldest contact that is counted, in microseconds.
  std::int64_t age = 0;
  // Counts of states that came into force lately.
  std::vector<RecordCount> recent;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamps, hosts, same, digest, age, recent);
  }
};

// News that passes from a parent in the region's tree to its children.
struct BeatRelayed {
  StampPair stamps;
  NewsAge news_age = -1;
  // Digest of what the parent holds.
  std::uint64_t digest = 0;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamps, news_age, digest);
  }
};

// What the roots of two regions' trees tell each other: the region's hosts,
// and the digest of what every host holds.
struct RegionReported {
  StampPair stamps;
  NewsAge news_age = -1;
  std::uint32_t hosts = 0;
  std::int64_t age = 0;
  std::uint64_t digest = 0;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(stamps, news_age, hosts, age, digest);
  }
};

// The messages of this aggregate between hosts.
using ConfigurationMessage = std::variant<RecordsAnnounced,
                                          BucketsListed,
                                          RecordsWanted,
                                          RecordsSent,
                                          DigestAsked,
                                          DigestAnswered,
                                          SubtreeReported,
                                          BeatRelayed,
                                          RegionReported>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_MESSAGES_H_
