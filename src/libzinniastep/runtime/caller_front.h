#ifndef LIBZINNIASTEP_RUNTIME_CALLER_FRONT_H_
#define LIBZINNIASTEP_RUNTIME_CALLER_FRONT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libzinniastep/core/event.h"
#include "libzinniastep/runtime/call_table.h"
#include "libzinniastep/runtime/http_server.h"
#include "libzinniastep/runtime/metrics.h"

namespace zinniastep {

// What an entry host's HTTP interface is made with.
struct CallerFrontOptions {
  // SHA-256 of the operators' key, in hexadecimal; empty closes their part.
  std::string operator_key_digest;
  std::size_t most_calls = 2000;
};

// What the interface asks of the rest of the process. The functions may be
// called from several threads.
struct CallerFrontHooks {
  std::function<void(Event)> post;
  // JSON for /addresses, /state and /explain/REQUEST, and for /v1/models of an
  // account's key digest (nothing for an unknown key).
  std::function<std::string()> addresses;
  std::function<std::string()> state;
  std::function<std::string(std::string_view request)> explain;
  std::function<std::optional<std::string>(std::string_view digest)> models;
  std::function<bool()> ready;
};

// The HTTP interface towards callers and operators: checks what comes in and
// turns it into events. What is malformed never reaches the control core.
class CallerFront {
 public:
  CallerFront(CallerFrontOptions options,
              CallerFrontHooks hooks,
              CallTable& calls,
              Metrics& metrics);

  // Handles one request; runs on the server's threads.
  auto Handle(const HttpRequestView& request,
              const std::shared_ptr<StreamWriter>& writer) -> void;

 private:
  auto HandleChat(const HttpRequestView& request,
                  const std::shared_ptr<StreamWriter>& writer) -> void;
  auto HandleService(const HttpRequestView& request,
                     const std::shared_ptr<StreamWriter>& writer) -> void;
  auto HandleModels(const HttpRequestView& request, StreamWriter& writer)
      -> void;
  auto HandleOperator(const HttpRequestView& request, StreamWriter& writer)
      -> void;
  auto Submit(const HttpRequestView& request,
              const std::shared_ptr<StreamWriter>& writer,
              CallArrived arrival,
              OpenCall call) -> void;
  [[nodiscard]] auto IsOperator(const HttpRequestView& request) const -> bool;

  CallerFrontOptions options_;
  CallerFrontHooks hooks_;
  CallTable& calls_;
  Metrics& metrics_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_CALLER_FRONT_H_
