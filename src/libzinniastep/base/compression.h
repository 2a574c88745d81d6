#ifndef LIBZINNIASTEP_BASE_COMPRESSION_H_
#define LIBZINNIASTEP_BASE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace zinniastep {

// Returns the bytes in compressed form. Parts that also occur in `prefix` take
// next to no room; the receiver needs the same prefix to read the result. Fails
// only if memory runs out.
[[nodiscard]] auto Compress(std::string_view bytes, std::string_view prefix)
    -> absl::StatusOr<std::string>;

// Returns the bytes that Compress() was given. Fails for bytes that are no such
// form, that were compressed with another prefix, or that would become longer
// than `most` bytes.
[[nodiscard]] auto Decompress(std::string_view compressed,
                              std::string_view prefix,
                              std::size_t most) -> absl::StatusOr<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_COMPRESSION_H_
