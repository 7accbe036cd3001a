// Joins the logs of several processes into the story of one flow: its own
// lines, and what the processes that touched it came to believe around that
// time.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_EXPLAIN_H
#define DRAGONFLYSTALL_SRC_OBSERVE_EXPLAIN_H

#include "dragonflystall/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystall {

/// A line of a process's log.
struct LogRecord {
  int64_t TimeMs = 0; ///< Wall time of the process, in Unix milliseconds.
  std::string Node;
  std::string Flow; ///< Empty when the line is about no flow.
  std::string Text; ///< The JSON object.
};

/// Reads the JSON object in a line, whatever stands before it; std::nullopt
/// when there is none of a process of ours.
std::optional<LogRecord> parseLogRecord(std::string_view Line);

/// The lines of the flow, and the lines about no flow of the nodes that have
/// touched it, from Around before its first to Around after its last, in the
/// order of time.
std::vector<LogRecord> explainFlow(const std::vector<LogRecord> &Records,
                                   std::string_view Flow, Duration Around);

} // namespace dragonflystall

#endif
