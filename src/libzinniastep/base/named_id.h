#ifndef LIBZINNIASTEP_BASE_NAMED_ID_H_
#define LIBZINNIASTEP_BASE_NAMED_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace zinniastep {

// A textual identifier whose type says what it identifies, so that a host
// cannot be passed where a failure domain is meant. Empty means "none".
template <class Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] auto text() const -> const std::string& { return text_; }
  [[nodiscard]] auto empty() const -> bool { return text_.empty(); }

  // clang-tidy takes the comparison's zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NamedId&) const = default;

  // Reads or writes the identifier with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(text_);
  }

 private:
  std::string text_;
};

}  // namespace zinniastep

template <class Tag>
struct std::hash<zinniastep::NamedId<Tag>> {
  auto operator()(const zinniastep::NamedId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>()(id.text());
  }
};

#endif  // LIBZINNIASTEP_BASE_NAMED_ID_H_
