#ifndef LIBZINNIASTEP_CONFIGURATION_DOCUMENT_CHECKS_H_
#define LIBZINNIASTEP_CONFIGURATION_DOCUMENT_CHECKS_H_

#include "libzinniastep/base/finding.h"
#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// The word in a caller's model member that leaves the choice to the system;
// nothing else may be named so.
inline constexpr char kAutoModel[] = "auto";

// Adds a finding for each rule between a document's parts that does not hold:
// names that stand twice, and references to what the document does not have.
auto CheckDocument(const Document& document, Findings& findings) -> void;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_DOCUMENT_CHECKS_H_
