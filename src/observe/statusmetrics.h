// Exports the numbers of a process's status as Prometheus metrics.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_STATUSMETRICS_H
#define DRAGONFLYSTALL_SRC_OBSERVE_STATUSMETRICS_H

#include <string>

namespace dragonflystall {

/// Returns a gauge dragonflystall_NAME for each number and boolean at the top
/// level of the JSON object, so that /status and /metrics always have the same
/// values.
std::string statusMetrics(const std::string &StatusJson);

} // namespace dragonflystall

#endif
