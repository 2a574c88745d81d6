#ifndef LIBZINNIASTEP_NODE_NODE_H_
#define LIBZINNIASTEP_NODE_NODE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/node/node_options.h"
#include "libzinniastep/node/node_views.h"

namespace zinniastep {

// The control core of one entry host: all its aggregates, and nothing that
// touches the world. Events go in with their time, actions come out; the same
// events give the same actions. One thread uses it.
class Node {
 public:
  // The same identity, options and seed make the same node. The incarnation in
  // the identity must be new for each process.
  Node(HostIdentity self, NodeOptions options, std::uint64_t seed);
  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;
  ~Node();

  // Takes one event and returns what is to be done, in order. Times must not
  // go back.
  auto Handle(Instant now, const Event& event) -> std::vector<Action>;

  // Returns where callers should send requests.
  [[nodiscard]] auto Addresses() const -> AddressAdvice;

  // Returns what the account with this key digest may use, or nothing for an
  // unknown key.
  [[nodiscard]] auto Models(std::string_view key_digest) const -> ModelAdvice;

  // Returns the state of this host for operators.
  [[nodiscard]] auto State(Instant now) const -> NodeState;

  // Returns the kept decisions about a request as JSON.
  [[nodiscard]] auto Explain(const RequestId& request) const -> std::string;

  // Returns whether the host would take new work now.
  [[nodiscard]] auto IsReady(Instant now) const -> bool;

 private:
  class Parts;

  std::unique_ptr<Parts> parts_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_NODE_H_
