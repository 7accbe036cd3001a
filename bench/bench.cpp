// The table of workloads.
#include "bench.h"

#include <array>

namespace dragonflystall::bench {

namespace {

constexpr std::array Workloads = {
    Workload{"home", findHome},
    Workload{"observe-event", recordEvents},
    Workload{"observe-counter", updateCounter},
    Workload{"observe-histogram", updateHistogram},
};

} // namespace

std::span<const Workload> workloads() { return Workloads; }

} // namespace dragonflystall::bench
