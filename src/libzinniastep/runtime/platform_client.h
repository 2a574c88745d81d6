#ifndef LIBZINNIASTEP_RUNTIME_PLATFORM_CLIENT_H_
#define LIBZINNIASTEP_RUNTIME_PLATFORM_CLIENT_H_

#include <functional>
#include <string>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/runtime/http_loop.h"
#include "libzinniastep/runtime/metrics.h"

namespace zinniastep {

// Numeric "address:port" of the platform's services. Empty means "none".
struct PlatformAddresses {
  std::string store;
  std::string host_list;
  std::string rating;
};

// Carries out the core's actions at the platform and at backend servers'
// control interfaces, and reports what came of them as events.
class PlatformClient {
 public:
  using EventSink = std::function<void(Event)>;

  PlatformClient(PlatformAddresses addresses,
                 HttpLoop& loop,
                 Metrics& metrics,
                 EventSink events);

  auto Do(const ReadObject& action) -> void;
  auto Do(const ListObjects& action) -> void;
  auto Do(const WatchObjects& action) -> void;
  auto Do(const WriteObject& action) -> void;
  auto Do(const DeleteObject& action) -> void;
  auto Do(const PollLoad& action) -> void;
  auto Do(const SendOrder& action) -> void;
  auto Do(const RequestRating& action) -> void;
  auto Do(const ReadHostList& action) -> void;

 private:
  auto Store(StoreToken token, HttpRequest request, const ObjectPath& path)
      -> void;

  PlatformAddresses addresses_;
  HttpLoop& loop_;
  Metrics& metrics_;
  EventSink events_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_PLATFORM_CLIENT_H_
