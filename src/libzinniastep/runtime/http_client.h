#ifndef LIBZINNIASTEP_RUNTIME_HTTP_CLIENT_H_
#define LIBZINNIASTEP_RUNTIME_HTTP_CLIENT_H_

#include "libzinniastep/runtime/http_loop.h"

namespace zinniastep {

// Makes one HTTP exchange at a time and waits for its end. For programs that
// have nothing else to do meanwhile.
class HttpClient {
 public:
  HttpClient();

  // Carries out the request. Redirects are not followed.
  [[nodiscard]] auto Fetch(const HttpRequest& request) const -> HttpResult;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_HTTP_CLIENT_H_
