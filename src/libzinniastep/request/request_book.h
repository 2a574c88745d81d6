#ifndef LIBZINNIASTEP_REQUEST_REQUEST_BOOK_H_
#define LIBZINNIASTEP_REQUEST_REQUEST_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/request/request.h"

namespace zinniastep {

// The requests that this process has taken and not finished. Their number is
// bounded by the calls that the daemon lets in.
class RequestBook {
 public:
  explicit RequestBook(Incarnation incarnation) : incarnation_(incarnation) {}

  // Returns a number that no request of this process has had.
  [[nodiscard]] auto NextId() -> RequestId;

  // Keeps a request and returns it; it stays where it is until removed.
  auto Add(Request request) -> Request&;

  // Returns the request, or null.
  [[nodiscard]] auto Find(const RequestId& id) -> Request*;

  // Returns the request of a call, or null.
  [[nodiscard]] auto FindCall(CallId call) -> Request*;

  // Forgets a request.
  auto Remove(const RequestId& id) -> void;

  // Returns the requests that wait to ask for a credit until `now`.
  [[nodiscard]] auto DueToAsk(Instant now) const -> std::vector<RequestId>;

  // Returns all requests.
  [[nodiscard]] auto All() const -> std::vector<RequestId>;

  [[nodiscard]] auto size() const -> std::size_t { return requests_.size(); }

 private:
  Incarnation incarnation_;
  std::uint64_t last_ = 0;
  std::map<RequestId, Request> requests_;
  std::map<CallId, RequestId> by_call_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_REQUEST_BOOK_H_
