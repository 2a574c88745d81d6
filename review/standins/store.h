// Stands in for the platform's store, with one address for each machine.
#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "record.h"

namespace review {

// What a machine meets at the store.
enum class StoreMode {
  kUp,
  // Every call is answered 503.
  kBusy,
  // Calls that wait or arrive get no answer, then or later; their connections
  // stay open and return nothing further.
  kSilent,
  // Nothing passes; what was sent arrives when the cut ends.
  kCut,
};

class Store {
 public:
  explicit Store(Record& record) : record_(record) {}

  // Opens an address for one machine and returns its number.
  auto AddFront(const std::string& ip, int port) -> std::size_t;
  auto SetMode(std::size_t front, StoreMode mode) -> void;
  auto SetModeOfAll(StoreMode mode) -> void;
  auto Stop() -> void;

  // What the operator and the servers write. The return is the store's
  // acknowledgement.
  auto Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec) -> void;
  auto Remove(const std::string& kind, const std::string& name) -> void;
  // Watches of a kind that wait at all addresses.
  auto Waiting(const std::string& kind) -> std::size_t;
  // When the newest watch of a kind began to wait at an address.
  auto NewestWatch(std::size_t front, const std::string& kind) -> std::int64_t;

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::int64_t created = 0;
    nlohmann::json spec;
    nlohmann::json status;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool removed = false;
  };
  struct Front {
    StoreMode mode = StoreMode::kUp;
    // Calls that began before this number of silences are not answered.
    std::uint64_t silences = 0;
    std::map<std::string, std::size_t> waiting;
    std::map<std::string, std::int64_t> newest_watch;
    std::unique_ptr<Listener> listener;
  };

  auto Serve(Front& front, const std::shared_ptr<Connection>& connection)
      -> void;
  // The answer to a call; waits for a watch's event.
  auto Handle(Front& front, const Message& call, std::uint64_t silences)
      -> Message;
  auto Change(const Message& call,
              const std::string& kind,
              const std::string& name,
              bool is_status) -> Message;
  auto List(const Message& call, const std::string& kind) -> Message;
  auto ObjectOf(const std::string& name, const Object& object)
      -> nlohmann::json;
  auto AddEvent(const std::string& kind,
                const std::string& name,
                const Object& object,
                bool removed) -> void;

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::vector<std::unique_ptr<Front>> fronts_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
