#ifndef LIBZINNIASTEP_WIRE_BOUNDED_INPUT_ARCHIVE_H_
#define LIBZINNIASTEP_WIRE_BOUNDED_INPUT_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace zinniastep {

class BoundedInputArchive;

}  // namespace zinniastep

// Tells cereal which archive writes what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    zinniastep::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

namespace zinniastep {

// Reads what cereal's PortableBinaryOutputArchive wrote on a little-endian
// machine, from bytes in memory. A length that exceeds the bytes left is an
// error before anything is allocated for it. Errors are cereal::Exception.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes);

  // Copies the next bytes out.
  auto LoadBytes(void* to, std::size_t size) -> void;

  // Returns a length that was read when so many elements can follow.
  auto CheckLength(std::uint64_t length) const -> std::uint64_t;

 private:
  std::string_view rest_;
};

// The functions that cereal looks for, by the kind of what is read.
template <class T>
auto CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value)
    -> std::enable_if_t<std::is_arithmetic_v<T>> {
  archive.LoadBytes(&value, sizeof(value));
}

template <class T>
auto CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) -> void {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
auto CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::NameValuePair<T>& pair) -> void {
  archive(pair.value);
}

template <class T>
auto CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::SizeTag<T>& tag) -> void {
  archive(tag.size);
  tag.size = static_cast<std::remove_reference_t<decltype(tag.size)>>(
      archive.CheckLength(tag.size));
}

}  // namespace zinniastep

CEREAL_REGISTER_ARCHIVE(zinniastep::BoundedInputArchive)

#endif  // LIBZINNIASTEP_WIRE_BOUNDED_INPUT_ARCHIVE_H_
