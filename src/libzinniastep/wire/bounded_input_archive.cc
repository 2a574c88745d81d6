#include "libzinniastep/wire/bounded_input_archive.h"

#include <bit>
#include <cstring>

namespace zinniastep {

namespace {

constexpr std::uint8_t kLittleEndian = 1;

static_assert(std::endian::native == std::endian::little);

}  // namespace

BoundedInputArchive::BoundedInputArchive(std::string_view bytes)
    : InputArchive(this), rest_(bytes) {
  std::uint8_t order = 0;
  LoadBytes(&order, sizeof(order));
  if (order != kLittleEndian) {
    throw cereal::Exception("bytes in another order");
  }
}

auto BoundedInputArchive::LoadBytes(void* to, std::size_t size) -> void {
  if (size > rest_.size()) {
    throw cereal::Exception("message ends early");
  }
  std::memcpy(to, rest_.data(), size);
  rest_.remove_prefix(size);
}

auto BoundedInputArchive::CheckLength(std::uint64_t length) const
    -> std::uint64_t {
  if (length > rest_.size()) {
    throw cereal::Exception("length exceeds the message");
  }
  return length;
}

}  // namespace zinniastep
