#ifndef LIBZINNIASTEP_RUNTIME_NODE_JSON_H_
#define LIBZINNIASTEP_RUNTIME_NODE_JSON_H_

#include <string>

#include "libzinniastep/node/node_views.h"
#include "libzinniastep/runtime/peer_transport.h"

namespace zinniastep {

// Returns the answer to GET /addresses.
[[nodiscard]] auto AddressesAsJson(const AddressAdvice& advice) -> std::string;

// Returns the answer to GET /v1/models.
[[nodiscard]] auto ModelsAsJson(const ModelAdvice& advice) -> std::string;

// Returns the answer to GET /state.
[[nodiscard]] auto StateAsJson(const NodeState& state,
                               const TransportCounts& counts) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_NODE_JSON_H_
