#include "deployment.h"

#include <cstdio>
#include <cstdlib>

namespace review {

using nlohmann::json;

namespace {

constexpr int kReadyMs = 10'000;
constexpr int kConnectMs = 1000;

}  // namespace

auto ReadArguments(int argc, char** argv) -> Arguments {
  Arguments arguments;
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s GATEWAY FOLDER RECORD\n", argv[0]);
    std::exit(2);
  }
  arguments.gateway_program = argv[1];
  arguments.folder = argv[2];
  arguments.record_file = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  arguments.trouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

auto Call(const GatewayPlan& gateway, const ClientCall& call) -> Outcome {
  Outcome outcome;
  outcome.attempt = call.attempt;
  outcome.sent_ms = NowMs();
  const auto connection =
      Connection::Open(gateway.ip, gateway.front_port, kConnectMs);
  if (connection == nullptr) {
    return outcome;
  }
  Message request;
  request.line = "POST " + call.path + " HTTP/1.1";
  request.headers = {
      {"Host", Deployment::kHost},
      {"Zinniastep-Attempt-Id", call.attempt},
      {"Zinniastep-Time-Remaining-Ms", std::to_string(call.deadline_ms)},
      {"Content-Length", std::to_string(call.body.size())}};
  if (!call.key.empty()) {
    request.headers.emplace_back("Authorization", "Token " + call.key);
  }
  request.body = call.body;
  outcome.sent_ms = NowMs();
  connection->Write(ToText(request));
  const auto answer = connection->Read(outcome.sent_ms + call.deadline_ms);
  if (answer.has_value()) {
    outcome.status = answer->Status();
    outcome.answer = *answer;
  }
  return outcome;
}

Deployment::Deployment(const Arguments& arguments, Record& record, int gateways)
    : arguments_(arguments),
      record_(record),
      network_(LoopbackNetwork()),
      store_(record) {
  std::vector<std::string> ips;
  for (int number = 1; number <= gateways; ++number) {
    ips.push_back(network_ + std::to_string(number));
  }
  const int front = FreePort(ips);
  const int ready = FreePort(ips);
  const int directory = FreePort(ips);
  const int peer = FreePort(ips);
  const int metrics = FreePort(ips);
  std::vector<std::string> seeds;
  for (const std::string& ip : ips) {
    seeds.push_back(ip + ":" + std::to_string(peer));
  }
  const json regions = {{"perth-north", "perth"}};
  for (int number = 1; number <= gateways; ++number) {
    const std::string store_ip = network_ + std::to_string(100 + number);
    const int store_port = FreePort({store_ip});
    store_.AddFront(store_ip, store_port);
    GatewayPlan plan;
    plan.name = "front-perth-north-" + std::to_string(number);
    plan.zone = "perth-north";
    plan.region = "perth";
    plan.regions = regions;
    plan.ip = ips[static_cast<std::size_t>(number) - 1];
    plan.front_port = front;
    plan.ready_port = ready;
    plan.directory_port = directory;
    plan.peer_port = peer;
    plan.metrics_port = metrics;
    plan.store_address = store_ip + ":" + std::to_string(store_port);
    plan.seeds = seeds;
    gateways_.push_back(std::make_unique<Gateway>(arguments_.gateway_program,
                                                  arguments_.folder, plan));
  }
}

Deployment::~Deployment() {
  gateways_.clear();
  store_.Stop();
  for (const auto& server : servers_) {
    server->Exit();
  }
}

auto Deployment::AddServer(const std::string& id,
                           const std::string& service,
                           int work_ms) -> Server& {
  ServerPlan plan;
  plan.id = id;
  plan.service = service;
  plan.ip = network_ + std::to_string(50 + servers_.size());
  plan.port = FreePort({plan.ip});
  plan.zone = "perth-north";
  plan.work_ms = work_ms;
  plan.slots = 6;
  servers_.push_back(std::make_unique<Server>(plan, record_));
  store_.Put("servers", id, servers_.back()->Entry());
  return *servers_.back();
}

auto Deployment::Start() -> bool {
  for (const auto& gateway : gateways_) {
    if (!gateway->Start()) {
      return false;
    }
  }
  for (const auto& gateway : gateways_) {
    if (!gateway->WaitUntilReady(kReadyMs)) {
      return false;
    }
  }
  return true;
}

auto Deployment::NextAttempt() -> std::string {
  char text[32];
  std::snprintf(text, sizeof text, "a%06d", ++attempts_);
  return text;
}

auto Route(const std::string& prefix,
           const std::string& service,
           const std::string& kind,
           int attempts) -> json {
  return {{"Name", prefix},       {"Host", Deployment::kHost},
          {"PathPrefix", prefix}, {"Kind", kind},
          {"TimeoutMs", 2000},    {"TargetLatencyMs", 200},
          {"Attempts", attempts}, {"Priority", 2},
          {"Service", service}};
}

}  // namespace review
