// The table of workloads.
#include "bench.h"

#include <array>

namespace dragonflystall::bench {

namespace {

constexpr std::array Workloads = {
    Workload{"home", findHome},
};

} // namespace

std::span<const Workload> workloads() { return Workloads; }

} // namespace dragonflystall::bench
