// The time line of several processes: merges their JSON lines into one order.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_MERGEDTIMELINE_H
#define DRAGONFLYSTALL_SRC_OBSERVE_MERGEDTIMELINE_H

#include "observe/timeline.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflystall {

/// One event of a process's time line.
struct TimelineEvent {
  HybridTime At = 0;
  std::string Process;
  std::string Kind;
  std::string Caller; ///< This and the following texts are empty if absent.
  std::string Service;
  std::string Agent;
  std::string Request;
  std::optional<uint64_t> Value;
  std::string Detail;
  std::string Line; ///< The JSON text as received.
};

struct TimelineFilter {
  std::string Caller;  ///< Empty matches all.
  std::string Request; ///< Empty matches all.
  HybridTime Since = 0;
  /// Excludes events of single packets, flows and requests.
  bool RareOnly = false;

  bool accepts(const TimelineEvent &E) const;
};

class MergedTimeline {
public:
  /// Adds the JSON lines of one process that the filter accepts. Invalid lines
  /// are ignored.
  void add(const std::string &JsonLines, const TimelineFilter &Filter);
  /// Sorts the events by time stamp. An effect never precedes its cause.
  void sort();

  const std::vector<TimelineEvent> &events() const { return Events_; }
  /// The stamp after that of the newest event read, including events that the
  /// filter rejected.
  HybridTime next() const { return Next_; }
  void clear() { Events_.clear(); }

private:
  std::vector<TimelineEvent> Events_;
  HybridTime Next_ = 0;
};

/// The event as one line for a terminal, without a line break.
std::string toText(const TimelineEvent &E);

/// A self-contained HTML page with a lane for each process over time, and a
/// list of the events.
std::string toHtml(const MergedTimeline &Whole);

} // namespace dragonflystall

#endif
