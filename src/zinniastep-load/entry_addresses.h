#ifndef ZINNIASTEP_LOAD_ENTRY_ADDRESSES_H_
#define ZINNIASTEP_LOAD_ENTRY_ADDRESSES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"

namespace zinniastep::load {

// The entry hosts that a caller knows, as GET /addresses tells them. An address
// that failed is left alone for a while when there are others. May be used from
// any thread.
class EntryAddresses {
 public:
  EntryAddresses(std::vector<std::string> first, std::uint64_t seed);

  // An address for the next try, rather not the one to avoid.
  auto Choose(Duration now, const std::string& avoid) -> std::string;

  auto NoteFailure(Duration now, const std::string& address) -> void;

  // Takes an answer of GET /addresses from one of the hosts.
  auto Learn(const std::string& from, const std::string& body) -> void;

  // Prefix that binds an idempotency key to the host; empty when not known.
  auto KeyPrefix(const std::string& address) -> std::string;

  auto all() -> std::vector<std::string>;

 private:
  std::mutex mutex_;
  const std::vector<std::string> first_;
  std::vector<std::string> addresses_;
  std::map<std::string, std::string> key_prefixes_;
  std::map<std::string, Duration> failed_at_;
  Random random_;
};

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_ENTRY_ADDRESSES_H_
