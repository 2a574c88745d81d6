#ifndef LIBZINNIASTEP_RUNTIME_CALL_TABLE_H_
#define LIBZINNIASTEP_RUNTIME_CALL_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "libzinniastep/core/call.h"

namespace zinniastep {

class StreamWriter;

// A caller's open exchange: its request and the way back.
struct OpenCall {
  CallId id = 0;
  std::shared_ptr<StreamWriter> writer;
  std::string method;
  // Path and query to ask a plain service for; the engine's path otherwise.
  std::string path;
  std::string content_type;
  std::shared_ptr<const std::string> body;
  bool stream = false;
};

// The exchanges that are open on this host; any thread may use it.
class CallTable {
 public:
  // Keeps a call under a new number, which it also gets, and returns it.
  auto Add(OpenCall call) -> CallId;

  // Returns the call, or null after it was removed.
  [[nodiscard]] auto Find(CallId id) const -> std::shared_ptr<const OpenCall>;

  // Forgets a call.
  auto Remove(CallId id) -> void;

  [[nodiscard]] auto size() const -> std::size_t;

 private:
  mutable std::mutex mutex_;
  CallId last_ = 0;
  std::map<CallId, std::shared_ptr<const OpenCall>> calls_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_CALL_TABLE_H_
