// A small deployment: gateways, the store, servers of two services, clients.
#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gateway.h"
#include "http.h"
#include "record.h"
#include "server.h"
#include "store.h"

namespace review {

// How a case's program was called.
struct Arguments {
  std::string gateway_program;
  std::string folder;
  std::string record_file;
  // Whether the disruption takes place.
  bool trouble = true;
};

auto ReadArguments(int argc, char** argv) -> Arguments;

// What a client got for one request.
struct Outcome {
  std::int64_t sent_ms = 0;
  std::string attempt;
  // Zero if the connection ended without a whole answer.
  int status = 0;
  Message answer;
};

struct ClientCall {
  std::string path;
  std::string key;
  std::string attempt;
  int deadline_ms = 2000;
  std::string body;
};

// Sends one request on a connection of its own and waits for the answer.
auto Call(const GatewayPlan& gateway, const ClientCall& call) -> Outcome;

class Deployment {
 public:
  // Host of all routes.
  static constexpr char kHost[] = "rental.example";

  Deployment(const Arguments& arguments, Record& record, int gateways);
  ~Deployment();

  // Adds a server and lists it in the store.
  auto AddServer(const std::string& id, const std::string& service, int work_ms)
      -> Server&;
  // Starts the gateways and waits until they are ready.
  auto Start() -> bool;

  auto store() -> Store& { return store_; }
  auto gateway(std::size_t number) -> Gateway& { return *gateways_[number]; }
  [[nodiscard]] auto gateways() const -> std::size_t {
    return gateways_.size();
  }
  // An attempt's id that no other has.
  auto NextAttempt() -> std::string;

 private:
  Arguments arguments_;
  Record& record_;
  std::string network_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::atomic<int> attempts_ = 0;
};

// One route of the configuration.
auto Route(const std::string& prefix,
           const std::string& service,
           const std::string& kind,
           int attempts) -> nlohmann::json;

}  // namespace review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_
