#include "libzinniastep/gateway/request_signature.h"

#include <cstdint>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

auto RequestSignature(std::span<const std::string_view> fields)
    -> PromptPartId {
  std::uint64_t hash = fields.size();
  for (const std::string_view field : fields) {
    // The length keeps neighbouring fields apart.
    hash = StableHash(field, hash + field.size());
  }
  return hash;
}

}  // namespace zinniastep
