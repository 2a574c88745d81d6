#include "tests/traffic/scripted_server.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace zinniastep::testing {

namespace {

using Tcp = boost::asio::ip::tcp;

// Returns the length of a whole request at the start of the bytes, or zero.
auto RequestLength(const std::string& bytes) -> std::size_t {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return 0;
  }
  const std::string length =
      HeaderOf(bytes.substr(0, end + 4), "Content-Length");
  const std::size_t body = length.empty() ? 0 : std::stoul(length);
  return bytes.size() >= end + 4 + body ? end + 4 + body : 0;
}

}  // namespace

struct ScriptedServer::Session {
  explicit Session(Tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  Tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string drip;
  std::chrono::milliseconds drip_pause{0};
  std::string received;
  std::array<char, 4096> chunk{};
  bool unanswered = false;
};

ScriptedServer::ScriptedServer(Script script)
    : acceptor_(io_,
                Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      endpoint_(acceptor_.local_endpoint()),
      restart_(io_),
      script_(std::move(script)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

ScriptedServer::~ScriptedServer() {
  io_.stop();
  thread_.join();
}

auto ScriptedServer::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(endpoint_.port());
}

auto ScriptedServer::requests() const -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  return requests_;
}

auto ScriptedServer::Accept() -> void {
  acceptor_.async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (!error) {
          auto session = std::make_shared<Session>(std::move(socket));
          sessions_.push_back(session);
          Read(session);
          Accept();
        }
      });
}

auto ScriptedServer::EndFor(std::chrono::milliseconds time) -> void {
  ++endings_;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) {
      session->socket.close(ignored);
    }
  }
  sessions_.clear();
  restart_.expires_after(time);
  restart_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      acceptor_ = Tcp::acceptor(io_, endpoint_);
      Accept();
    }
  });
}

auto ScriptedServer::Read(const std::shared_ptr<Session>& session) -> void {
  session->socket.async_read_some(
      boost::asio::buffer(session->chunk),
      [this, session](boost::system::error_code error, std::size_t length) {
        if (error) {
          abandoned_ += session->unanswered ? 1 : 0;
          return;
        }
        session->received.append(session->chunk.data(), length);
        const std::size_t whole = RequestLength(session->received);
        if (whole == 0) {
          Read(session);
          return;
        }
        const std::string request = session->received.substr(0, whole);
        session->received.erase(0, whole);
        {
          const std::lock_guard lock(mutex_);
          requests_.push_back(request);
        }
        const ScriptedAnswer answer = script_(request);
        boost::system::error_code ignored;
        boost::asio::write(session->socket, boost::asio::buffer(answer.bytes),
                           ignored);
        session->unanswered = answer.hang;
        if (!answer.drip.empty()) {
          session->drip = answer.drip;
          session->drip_pause = answer.drip_pause;
          Drip(session);
          return;
        }
        if (!answer.rest.empty()) {
          SendLater(session, answer.rest, answer.rest_after);
          return;
        }
        if (answer.end_for.count() > 0) {
          session->timer.expires_after(answer.end_after);
          session->timer.async_wait(
              [this, session, answer](boost::system::error_code timer_error) {
                if (!timer_error) {
                  EndFor(answer.end_for);
                }
              });
          return;
        }
        if (answer.close) {
          session->socket.close(ignored);
          return;
        }
        Read(session);
      });
}

auto ScriptedServer::Drip(const std::shared_ptr<Session>& session) -> void {
  boost::asio::async_write(
      session->socket, boost::asio::buffer(session->drip),
      [this, session](boost::system::error_code error, std::size_t length) {
        dripped_ += length;
        if (error) {
          ++abandoned_;
          return;
        }
        session->timer.expires_after(session->drip_pause);
        session->timer.async_wait(
            [this, session](boost::system::error_code) { Drip(session); });
      });
}

auto ScriptedServer::SendLater(const std::shared_ptr<Session>& session,
                               const std::string& bytes,
                               std::chrono::milliseconds after) -> void {
  session->timer.expires_after(after);
  session->timer.async_wait([this, session, bytes](boost::system::error_code) {
    boost::system::error_code error;
    boost::asio::write(session->socket, boost::asio::buffer(bytes), error);
    if (error) {
      ++abandoned_;
      return;
    }
    Read(session);
  });
}

auto HeaderOf(const std::string& message, const std::string& name)
    -> std::string {
  const std::string start = "\r\n" + name + ": ";
  const auto at = message.find(start);
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + start.size();
  return message.substr(from, message.find("\r\n", from) - from);
}

}  // namespace zinniastep::testing
