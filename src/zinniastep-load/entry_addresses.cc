#include "zinniastep-load/entry_addresses.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep::load {
namespace {

constexpr Duration kAvoidFailed = std::chrono::seconds(2);

}  // namespace

EntryAddresses::EntryAddresses(std::vector<std::string> first,
                               std::uint64_t seed)
    : first_(std::move(first)), addresses_(first_), random_(seed) {}

auto EntryAddresses::Choose(Duration now, const std::string& avoid)
    -> std::string {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> good;
  for (const std::string& address : addresses_) {
    const auto failed = failed_at_.find(address);
    const bool rests =
        failed != failed_at_.end() && now - failed->second < kAvoidFailed;
    if (!rests && address != avoid) {
      good.push_back(address);
    }
  }
  const auto& choice = good.empty() ? addresses_ : good;
  return choice[random_.Below(choice.size())];
}

auto EntryAddresses::NoteFailure(Duration now, const std::string& address)
    -> void {
  const std::lock_guard lock(mutex_);
  failed_at_[address] = now;
}

auto EntryAddresses::Learn(const std::string& from, const std::string& body)
    -> void {
  const auto answer = JsonOrDiscarded(body);
  if (!answer.is_object() || !answer.contains("addresses")) {
    return;
  }
  std::vector<std::string> addresses;
  for (const auto& address : answer["addresses"]) {
    if (address.is_string()) {
      addresses.push_back(address);
    }
  }
  const std::lock_guard lock(mutex_);
  if (!addresses.empty()) {
    addresses_ = std::move(addresses);
  }
  key_prefixes_[from] = answer.value("key_prefix", "");
}

auto EntryAddresses::KeyPrefix(const std::string& address) -> std::string {
  const std::lock_guard lock(mutex_);
  return key_prefixes_[address];
}

auto EntryAddresses::all() -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> all = addresses_;
  for (const std::string& address : first_) {
    if (std::ranges::find(all, address) == all.end()) {
      all.push_back(address);
    }
  }
  return all;
}

}  // namespace zinniastep::load
