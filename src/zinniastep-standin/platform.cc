#include "zinniastep-standin/platform.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/base/bounded_json.h"
namespace zinniastep::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRequestBytes = std::size_t{4} << 20;

// Puts server addresses in the place of strings "@NAME".
auto WithAddresses(const json& value, const json& addresses) -> json {
  if (value.is_string()) {
    const auto text = value.get<std::string>();
    const bool named =
        text.starts_with('@') && addresses.contains(text.substr(1));
    return named ? addresses[text.substr(1)] : value;
  }
  json copy = value;
  if (copy.is_structured()) {
    for (json& member : copy) {
      member = WithAddresses(member, addresses);
    }
  }
  return copy;
}

}  // namespace

Platform::Platform(const Settings& settings)
    : settings_(settings),
      quality_(settings.versions),
      random_(settings.seed),
      hosts_({{"hosts", json::array()}}),
      host_list_lag_(std::chrono::milliseconds(settings.host_list_lag_ms)),
      objects_(settings.seed, loop_, account_.store) {}

Platform::~Platform() {
  // Its tasks use the connections of the HTTP servers.
  loop_.Stop();
}

auto Platform::Start(const Settings& settings)
    -> absl::StatusOr<std::unique_ptr<Platform>> {
  std::unique_ptr<Platform> platform(new Platform(settings));
  if (const absl::Status status = platform->Serve(); !status.ok()) {
    return status;
  }
  return platform;
}

auto Platform::Serve() -> absl::Status {
  HttpServerOptions options;
  options.max_request_bytes = kMaxRequestBytes;
  for (const ServerSettings& server : settings_.servers) {
    servers_.push_back(std::make_unique<BackendServer>(
        server, random_.Next(), quality_, loop_, account_));
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    options.ip = settings_.servers[i].address;
    options.port = settings_.servers[i].port;
    auto endpoint = HttpServer::Start(
        options, [this, backend = servers_[i].get()](
                     const HttpRequestView& view,
                     const std::shared_ptr<StreamWriter>& writer) {
          loop_.Post([backend, request = CopyRequest(view, writer)] {
            backend->Handle(request);
          });
        });
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    endpoints_.push_back(*std::move(endpoint));
  }
  PutObjects();
  options.ip = settings_.address;
  options.port = settings_.port;
  options.threads = static_cast<int>(settings_.threads);
  auto main = HttpServer::Start(
      options, [this](const HttpRequestView& view,
                      const std::shared_ptr<StreamWriter>& writer) {
        loop_.Post(
            [this, request = CopyRequest(view, writer)] { Handle(request); });
      });
  if (!main.ok()) {
    return main.status();
  }
  main_ = *std::move(main);
  return absl::OkStatus();
}

auto Platform::Addresses() const -> json {
  json servers = json::object();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    servers[servers_[i]->name()] = endpoints_[i]->address();
  }
  return {{"platform", main_ ? main_->address() : ""}, {"servers", servers}};
}

auto Platform::PutObjects() -> void {
  const json addresses = Addresses()["servers"];
  loop_.Post([this, addresses] {
    for (const ObjectSettings& object : settings_.objects) {
      objects_.Put(object.path, WithAddresses(object.value, addresses).dump());
    }
  });
}

auto Platform::Handle(const Request& request) -> void {
  if (request.path == "/faults") {
    SetFaults(request);
  } else if (request.path == "/account") {
    SendJson(*request.writer, 200, ToJson(account_));
  } else if (request.path == "/rate") {
    Rate(request);
  } else if (request.path == "/hosts" && request.method == "PUT") {
    PutHosts(request);
  } else if (request.path == "/hosts") {
    SendJson(*request.writer, 200, hosts_);
  } else if (request.path.starts_with("/objects/") || request.path == "/list" ||
             request.path == "/watch") {
    objects_.Handle(request);
  } else {
    SendError(*request.writer, 404, "unknown_path");
  }
}

// Takes one fault or a list of them.
auto Platform::SetFaults(const Request& request) -> void {
  json faults = JsonOrDiscarded(request.body);
  if (faults.is_object()) {
    faults = json::array({faults});
  }
  try {
    for (const json& fault : faults) {
      SetFault(fault);
    }
    SendJson(*request.writer, 200, json::object());
  } catch (const std::exception& error) {
    SendError(*request.writer, 400, error.what());
  }
}

auto Platform::SetFault(const json& fault) -> void {
  const std::string kind = fault.at("kind");
  if (kind == "store") {
    objects_.SetFault(fault);
  } else if (kind == "version") {
    quality_.SetFault(fault);
  } else if (kind == "rating") {
    rating_down_ = fault.at("down");
  } else if (kind == "hosts") {
    host_list_lag_ = std::chrono::milliseconds(fault.at("lag_ms"));
  } else if (kind == "server") {
    const std::string name = fault.at("name");
    const auto server = std::ranges::find(servers_, name, &BackendServer::name);
    if (server == servers_.end()) {
      throw std::invalid_argument("unknown server " + name);
    }
    (*server)->SetFault(fault);
  } else {
    throw std::invalid_argument("unknown kind " + kind);
  }
}

// Rates the answer that ran for the request, known by the prompt's digest.
auto Platform::Rate(const Request& request) -> void {
  if (rating_down_) {
    SendError(*request.writer, 503, "down");
    return;
  }
  const json body = ParseObject(request.body);
  const std::string version = Member<std::string>(body, "model", "") + "@" +
                              Member<std::string>(body, "version", "");
  const auto digest = account_.digests.find(
      Member<std::string>(body, "request", "") + " " + version);
  if (digest == account_.digests.end() ||
      random_.Unit() >= settings_.rating_share) {
    request.writer->Send(204, {}, "");
    return;
  }
  SendJson(*request.writer, 200,
           {{"rating", quality_.Rating(version, digest->second)}});
}

auto Platform::PutHosts(const Request& request) -> void {
  const json hosts = ParseObject(request.body);
  loop_.After(host_list_lag_, [this, hosts] { hosts_ = hosts; });
  SendJson(*request.writer, 200, json::object());
}

}  // namespace zinniastep::standin
