// Merges the logs of several processes into the history of one flow: the flow's
// lines, and the state changes that the processes which handled the flow logged
// around that time.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_EXPLAIN_H
#define DRAGONFLYSTALL_SRC_OBSERVE_EXPLAIN_H

#include "dragonflystall/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystall {

/// One line of a process's log.
struct LogRecord {
  int64_t TimeMs = 0; ///< The process's wall clock, in Unix milliseconds.
  std::string Node;
  std::string Flow; ///< Empty if the line does not concern a flow.
  std::string Text; ///< The JSON text.
};

/// Parses the JSON object in a line after any prefix. Returns std::nullopt if
/// there is none, or if it is not a log line of a load balancer process.
std::optional<LogRecord> parseLogRecord(std::string_view Line);

/// Returns, ordered by time, the lines of the flow, and the lines without a
/// flow from the nodes that logged the flow, from Around before the flow's
/// first line to Around after its last.
std::vector<LogRecord> explainFlow(const std::vector<LogRecord> &Records,
                                   std::string_view Flow, Duration Around);

} // namespace dragonflystall

#endif
