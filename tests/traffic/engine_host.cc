#include "tests/traffic/engine_host.h"

#include <future>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include "libzinniastep/traffic/http_text.h"
#include "platform/caller_calls.h"
#include "tests/process/child_process.h"

namespace zinniastep::testing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// Receive buffer of a caller that reads late.
constexpr int kSmallWindow = 4096;

auto Route(const std::string& prefix) -> ForwardingRoute {
  ForwardingRoute route;
  route.name = prefix;
  route.host = "x.example";
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(20);
  route.target_latency = std::chrono::seconds(8);
  route.most_servers = 3;
  route.split = {{ServiceId("pool"), 1.0}};
  return route;
}

auto Policy(CallerLimits limits = {}) -> std::shared_ptr<const TrafficPolicy> {
  ForwardingRoute once = Route("/once/");
  ForwardingRoute idem = Route("/idem/");
  idem.repeat_rule = RepeatRule::kIdempotent;
  ForwardingRoute generate = Route("/gen/");
  generate.streaming = true;
  generate.resumable = true;
  generate.models = {"small", "large"};
  ForwardingRoute stall = Route("/stall/");
  stall.streaming = true;
  stall.resumable = true;
  stall.target_latency = std::chrono::milliseconds(400);
  stall.longest_pause = std::chrono::milliseconds(400);
  ForwardingRoute single = stall;
  single.name = "/single/";
  single.path_prefix = "/single/";
  single.most_servers = 1;
  ForwardingRoute quick = Route("/quick/");
  quick.repeat_rule = RepeatRule::kIdempotent;
  quick.target_latency = std::chrono::milliseconds(400);
  ForwardingService service;
  service.id = ServiceId("pool");
  ForwardingAccount account;
  account.id = ClientAccountId("farm");
  account.keys = {"k"};
  return std::make_shared<const TrafficPolicy>(
      1, std::vector{once, idem, generate, stall, single, quick},
      std::vector{service}, CallerAccess(AccountAccess{{account}}), limits);
}

auto ViewOf(const ServerAddresses& servers) -> std::shared_ptr<TrafficView> {
  auto view = std::make_shared<TrafficView>();
  view->policy = Policy();
  for (std::size_t index = 0; index < servers.list.size(); ++index) {
    if (servers.list[index].empty()) {
      continue;
    }
    BackendEntry entry;
    entry.id = BackendServerId("s" + std::to_string(index));
    entry.service = ServiceId("pool");
    entry.address = servers.list[index];
    entry.domain = FailureDomainId("north");
    entry.slots = 8;
    view->backends.push_back({entry, Instant()});
  }
  return view;
}

auto AddressesOf(const std::vector<const ScriptedServer*>& servers)
    -> ServerAddresses {
  ServerAddresses addresses;
  for (const ScriptedServer* server : servers) {
    addresses.list.push_back(server->address());
  }
  return addresses;
}

auto ReadAnswer(Tcp::socket& socket, boost::beast::flat_buffer& buffer)
    -> CallerAnswer {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  http::read(socket, buffer, parser, error);
  CallerAnswer answer;
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    answer.head = HeadText(parser.get().base());
  }
  answer.whole = !error && parser.is_done();
  answer.body = parser.get().body();
  return answer;
}

}  // namespace

EngineHost::EngineHost(const std::vector<const ScriptedServer*>& servers,
                       RepeatLimits limits,
                       std::size_t most_held_bytes)
    : EngineHost(AddressesOf(servers), limits, most_held_bytes) {}

EngineHost::EngineHost(const ServerAddresses& servers,
                       RepeatLimits limits,
                       std::size_t most_held_bytes)
    : work_(io_.get_executor()) {
  GatewaySettings settings;
  settings.host = HostId("h");
  settings.domain = FailureDomainId("north");
  settings.region = RegionId("here");
  settings.repeat_share = limits.share;
  settings.repeat_slack = limits.slack;
  settings.repeat_window = std::chrono::seconds(10);
  settings.most_held_bytes = most_held_bytes;
  engine_ = std::make_unique<TrafficEngine>(
      io_, settings, platform::Headers(), metrics_,
      [this](const LogEvent& event) { log_.push_back(event); }, 1);
  engine_->SetView(ViewOf(servers));
  auto listener = HttpListener::Start(
      io_, "127.0.0.1:0", [this] { return engine_->Limits(); },
      [this](std::shared_ptr<CallerConnection> caller, CallerRequest request) {
        engine_->OnRequest(std::move(caller), std::move(request));
      },
      engine_->held());
  listener_ = *std::move(listener);
  listener_->BeginAccept();
  port_ = listener_->port();
  thread_ = std::thread([this] { io_.run(); });
}

EngineHost::~EngineHost() {
  io_.stop();
  thread_.join();
}

auto EngineHost::Request(const std::string& path,
                         const std::string& extra_headers,
                         const std::string& body) -> std::string {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token k\r\n"
         "Zinniastep-Attempt-Id: a1\r\nZinniastep-Time-Remaining-Ms: "
         "15000\r\n" +
         extra_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

auto EngineHost::Call(const std::string& request) -> CallerAnswer {
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  asio::write(socket, asio::buffer(request));
  boost::beast::flat_buffer buffer;
  return ReadAnswer(socket, buffer);
}

auto EngineHost::CallAndPause(const std::string& request,
                              std::chrono::milliseconds pause) -> CallerAnswer {
  asio::io_context io;
  Tcp::socket socket(io);
  socket.open(Tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(kSmallWindow));
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  asio::write(socket, asio::buffer(request));
  std::this_thread::sleep_for(pause);
  boost::beast::flat_buffer buffer;
  return ReadAnswer(socket, buffer);
}

auto EngineHost::CallInTurn(const std::vector<std::string>& requests,
                            const std::function<void()>& between)
    -> std::vector<CallerAnswer> {
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  boost::beast::flat_buffer buffer;
  std::vector<CallerAnswer> answers;
  for (const std::string& request : requests) {
    if (!answers.empty()) {
      between();
    }
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
    answers.push_back(ReadAnswer(socket, buffer));
  }
  return answers;
}

auto EngineHost::CallUntil(const std::string& request,
                           std::chrono::milliseconds most) -> CallerAnswer {
  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  stream.socket().connect({asio::ip::make_address("127.0.0.1"), port_});
  asio::write(stream.socket(), asio::buffer(request));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  CallerAnswer answer;
  stream.expires_after(most);
  http::async_read(stream, buffer, parser,
                   [&](boost::system::error_code error, std::size_t) {
                     answer.whole = !error && parser.is_done();
                   });
  io.run();
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
  }
  answer.body = parser.get().body();
  return answer;
}

auto EngineHost::CallAndLeave(const std::string& request,
                              const std::function<bool()>& left) -> void {
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  asio::write(socket, asio::buffer(request));
  while (!left()) {
    PauseBetweenLooks();
  }
  socket.close();
}

auto EngineHost::ListServers(const ServerAddresses& servers) -> void {
  asio::post(io_, [this, view = ViewOf(servers)] { engine_->SetView(view); });
}

auto EngineHost::ChangeView(const std::function<void(TrafficView&)>& change)
    -> void {
  std::promise<void> changed;
  asio::post(io_, [&] {
    auto view = std::make_shared<TrafficView>(engine_->view());
    change(*view);
    engine_->SetView(view);
    changed.set_value();
  });
  changed.get_future().wait();
}

auto EngineHost::LimitCallers(CallerLimits limits) -> void {
  ChangeView([&](TrafficView& view) { view.policy = Policy(limits); });
}

auto EngineHost::Logged(const std::string& event, const std::string& field)
    -> std::vector<std::string> {
  std::promise<std::vector<std::string>> promise;
  asio::post(io_, [&] {
    std::vector<std::string> values;
    for (const LogEvent& logged : log_) {
      for (const auto& [name, value] : logged.fields) {
        if (logged.event == event && name == field) {
          values.push_back(value);
        }
      }
    }
    promise.set_value(std::move(values));
  });
  return promise.get_future().get();
}

auto EngineHost::HeldPeak() -> std::size_t {
  std::promise<std::size_t> peak;
  asio::post(io_, [&] { peak.set_value(engine_->held()->peak()); });
  return peak.get_future().get();
}

auto EngineHost::Counted(const std::string& counter) -> std::uint64_t {
  const MetricsSnapshot metrics = metrics_.Snapshot();
  const auto found = metrics.counters.find(counter);
  return found == metrics.counters.end() ? 0 : found->second;
}

auto EngineHost::CountedAnswers() -> std::uint64_t {
  std::promise<std::uint64_t> answers;
  asio::post(io_, [this, &answers] {
    std::uint64_t counted = 0;
    for (const VersionRow& row : engine_->TakeEvidence()) {
      counted += row.counts.answers;
    }
    answers.set_value(counted);
  });
  return answers.get_future().get();
}

}  // namespace zinniastep::testing
