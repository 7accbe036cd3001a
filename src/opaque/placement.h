// Where a new flow to a route would go now, and why, for operators. Nothing is
// sent and no state changes. What can't be foreseen is the random part of the
// choice: the jitter of the costs and the draw of probes; see Prospect.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_PLACEMENT_H
#define DRAGONFLYSTALL_SRC_OPAQUE_PLACEMENT_H

#include "opaque/ranking.h"
#include "opaque/route.h"
#include "opaque/steerreason.h"

#include <optional>

namespace dragonflystall::opaque {

/// What a service of the route would do with the flow.
struct ServicePlacement {
  const WeightedService *Service = nullptr;
  /// See Directory::canServe.
  bool CanServe = false;
  /// Whether the flow would go to this service. Without the caller's address,
  /// this may hold for several. If false, the rest is not set.
  bool IsPossible = false;
  /// Placed, Queued, NoUpstream or QueueFull.
  SteerReason Outcome = SteerReason::Placed;
  Ranking Candidates;
  size_t WaitingFlows = 0; ///< New flows that wait at this balancer.
  /// Time until an upstream should have room; see Directory::nextCapacityAt.
  std::optional<Duration> RoomIn;
};

struct Placement {
  /// Why the flow can go to no service: NoManifest, NoRoute or NoUpstream;
  /// Placed otherwise.
  SteerReason Reason = SteerReason::Placed;
  const Route *Target = nullptr;
  /// The agent that this balancer takes for the holder of the flow: packets
  /// other than a SYN go there. Known only with the caller's address.
  const Agent *Holder = nullptr;
  /// The services of the route, in the order of the manifest.
  std::vector<ServicePlacement> Services;
};

} // namespace dragonflystall::opaque

#endif
