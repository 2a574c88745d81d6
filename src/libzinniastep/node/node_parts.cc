#include "libzinniastep/node/node_parts.h"

#include <utility>

namespace zinniastep {

NodeParts::NodeParts(HostIdentity identity,
                     NodeOptions settings,
                     std::uint64_t seed)
    : self(std::move(identity)),
      options(std::move(settings)),
      random(seed),
      membership(self, options.membership, random.Next()),
      cluster(membership, assignment),
      configuration(cluster, options.configuration, random.Next()),
      assignment(membership,
                 configuration.snapshot(),
                 options.assignment,
                 random.Next()),
      accounts(configuration.snapshot()),
      sessions(options.session_keys),
      planner(options.cascades),
      rollouts(configuration.snapshot(),
               cluster,
               planner.quality_model(),
               random.Next()),
      admission(options.admission),
      claims(cluster, options.claims),
      pools(configuration.snapshot(),
            self.region,
            random.Next(),
            options.pool_costs),
      credits(membership,
              assignment,
              configuration.snapshot(),
              options.steward,
              random.Next()),
      bills(cluster, options.bills),
      requests(RequestServices{self, configuration.snapshot(), accounts,
                               sessions, rollouts, planner, admission, claims,
                               pools, credits, retries, bills, decisions},
               self.incarnation),
      shutdown(options.address_time_to_live, options.longest_shutdown) {}

}  // namespace zinniastep
