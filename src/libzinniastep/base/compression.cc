#include "libzinniastep/base/compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace zinniastep {

namespace {

constexpr int kLevel = 3;
// The window has to span the prefix and the bytes; 2 to the power of this is
// what a host accepts at the most.
constexpr int kLargestWindowLog = 24;
constexpr int kSmallestWindowLog = 17;

auto Failure(std::size_t code) -> absl::Status {
  return absl::InvalidArgumentError(ZSTD_getErrorName(code));
}

}  // namespace

auto Compress(std::string_view bytes, std::string_view prefix)
    -> absl::StatusOr<std::string> {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (context == nullptr) {
    return absl::ResourceExhaustedError("no memory to compress");
  }
  const auto window_log = static_cast<int>(
      std::bit_width(std::max<std::size_t>(bytes.size() + prefix.size(), 1)));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(
      context.get(), ZSTD_c_windowLog,
      std::clamp(window_log, kSmallestWindowLog, kLargestWindowLog));
  if (!prefix.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  }
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), compressed.data(), compressed.size(),
                     bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0) {
    return Failure(size);
  }
  compressed.resize(size);
  compressed.shrink_to_fit();
  return compressed;
}

auto Decompress(std::string_view compressed,
                std::string_view prefix,
                std::size_t most) -> absl::StatusOr<std::string> {
  const unsigned long long length =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (length == ZSTD_CONTENTSIZE_ERROR || length == ZSTD_CONTENTSIZE_UNKNOWN) {
    return absl::InvalidArgumentError("not compressed");
  }
  if (length > most) {
    return absl::InvalidArgumentError("too long");
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (context == nullptr) {
    return absl::ResourceExhaustedError("no memory to decompress");
  }
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kLargestWindowLog);
  if (!prefix.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  }
  std::string bytes(static_cast<std::size_t>(length), '\0');
  const std::size_t size =
      ZSTD_decompressDCtx(context.get(), bytes.data(), bytes.size(),
                          compressed.data(), compressed.size());
  if (ZSTD_isError(size) != 0) {
    return Failure(size);
  }
  if (size != bytes.size()) {
    return absl::InvalidArgumentError("too short");
  }
  return bytes;
}

}  // namespace zinniastep
