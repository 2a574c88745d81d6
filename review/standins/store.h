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
  // Nothing passes; what was sent arrives when the cut ends.
  kCut,
};

class Store {
 public:
  explicit Store(Record& record) : record_(record) {}

  // Opens an address for one machine and returns its number.
  auto AddFront(const std::string& ip, int port) -> std::size_t;
  auto SetMode(std::size_t front, StoreMode mode) -> void;
  // Watches that wait hear nothing from here on, and new ones hear nothing
  // until the history is dropped.
  auto BeginCompaction() -> void;
  // Drops the history: a watch from before it is answered 410, and one that
  // waits is so when its wait ends.
  auto DropHistory() -> void;
  auto Stop() -> void;

  // What the operator and the servers write. The return is the store's
  // acknowledgement.
  auto Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec) -> void;
  auto Remove(const std::string& kind, const std::string& name) -> void;

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
    std::unique_ptr<Listener> listener;
  };

  auto Serve(Front& front, const std::shared_ptr<Connection>& connection)
      -> void;
  auto Handle(const Message& call) -> Message;
  // Waits for a watch's event.
  auto Watch(std::unique_lock<std::mutex>& lock,
             const Message& call,
             const std::string& kind) -> Message;
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
  // Compactions that have begun, and the revision up to which the history is
  // gone.
  int compactions_ = 0;
  bool is_compacting_ = false;
  std::uint64_t history_from_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::vector<std::unique_ptr<Front>> fronts_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
