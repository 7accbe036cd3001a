// The table of workloads.
#include "bench.h"

#include <array>

namespace dragonflystall::bench {

namespace {

constexpr std::array Workloads = {
    Workload{"home", findHome},
    Workload{"place", placeFlows},
    Workload{"observe-event", recordEvents},
    Workload{"observe-counter", updateCounter},
    Workload{"observe-histogram", updateHistogram},
    Workload{"steer-hit-5000", steerHitFew},
    Workload{"steer-hit-500000", steerHitMany},
    Workload{"steer-miss", steerMiss},
    Workload{"join-moves", joinMoves},
    Workload{"change-settings", changeSettings},
    Workload{"opaque-hit-5000", steerOpaqueFew},
    Workload{"opaque-hit-500000", steerOpaqueMany},
    Workload{"opaque-syn", placeOpaque},
    Workload{"opaque-search", searchOpaque},
    Workload{"opaque-gate", admitOpaque},
    Workload{"admit", admitToColdUpstream},
    Workload{"ticket", issueAndCheckTickets},
    Workload{"run", runRequests},
    Workload{"settings-10", mergeSettings},
    Workload{"settings-13000", mergeManySettings},
};

constexpr std::array Measurements = {
    Measurement{"forward", measureForwarding},
    Measurement{"capacity", measureCapacity},
};

} // namespace

std::span<const Workload> workloads() { return Workloads; }
std::span<const Measurement> measurements() { return Measurements; }

} // namespace dragonflystall::bench
