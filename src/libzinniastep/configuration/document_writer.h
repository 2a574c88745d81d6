#ifndef LIBZINNIASTEP_CONFIGURATION_DOCUMENT_WRITER_H_
#define LIBZINNIASTEP_CONFIGURATION_DOCUMENT_WRITER_H_

#include <string>

#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// Returns the document as JSON that ReadDocument reads back to the same value.
[[nodiscard]] auto WriteDocument(const Document& document) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_DOCUMENT_WRITER_H_
