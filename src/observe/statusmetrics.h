// Prometheus text for the numbers of a process's status.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_STATUSMETRICS_H
#define DRAGONFLYSTALL_SRC_OBSERVE_STATUSMETRICS_H

#include <string>

namespace dragonflystall {

/// A gauge dragonflystall_NAME for each number and truth value at the top of
/// the JSON object, so that /status and /metrics never tell two stories.
std::string statusMetrics(const std::string &StatusJson);

} // namespace dragonflystall

#endif
