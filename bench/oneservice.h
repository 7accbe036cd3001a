// The smallest settings with which a balancer can steer packets, for workloads.
#ifndef DRAGONFLYSTALL_BENCH_ONESERVICE_H
#define DRAGONFLYSTALL_BENCH_ONESERVICE_H

#include "dragonflystall/settings.h"

namespace dragonflystall::bench {

/// "team/service" at the address, in "zone" with this network.
SettingsPtr oneService(Network Where, Endpoint Address);

} // namespace dragonflystall::bench

#endif
