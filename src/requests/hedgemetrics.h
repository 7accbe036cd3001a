// The counters of hedged requests in the Prometheus text format.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_HEDGEMETRICS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_HEDGEMETRICS_H

#include "requesthedges.h"

#include <string>
#include <string_view>

namespace dragonflystall {

/// Empty if hedging is off and has not been on since the process's start.
/// Service is the label, in the form "team/name".
std::string hedgeMetricsText(std::string_view Service,
                             const HedgeReport &Report);

} // namespace dragonflystall

#endif
