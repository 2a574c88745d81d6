#ifndef LIBZINNIASTEP_RUNTIME_PLATFORM_ANSWERS_H_
#define LIBZINNIASTEP_RUNTIME_PLATFORM_ANSWERS_H_

#include <optional>
#include <string_view>

#include "libzinniastep/core/event.h"
#include "libzinniastep/runtime/http_loop.h"

namespace zinniastep {

// Reads the object API's answer to a request about one object, or to a list or
// watch when `path` is empty. Whatever is not a clear answer is StoreSilent.
[[nodiscard]] auto ReadStoreAnswer(const HttpResult& result,
                                   const ObjectPath& path) -> StoreAnswered;

// Reads a backend server's load report; malformed members are left out.
[[nodiscard]] auto ReadLoadReport(const HttpResult& result) -> LoadPolled;

// Reads the platform's host list, or nothing when there was no answer.
[[nodiscard]] auto ReadHostListAnswer(const HttpResult& result)
    -> std::optional<HostListRead>;

// Reads a rating in [0, 1], or nothing.
[[nodiscard]] auto ReadRating(const HttpResult& result)
    -> std::optional<double>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_PLATFORM_ANSWERS_H_
