// The time line over many processes: their JSON lines merged into one order.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_STORY_H
#define DRAGONFLYSTALL_SRC_OBSERVE_STORY_H

#include "observe/timeline.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflystall {

/// One line of some process's time line.
struct StoryEvent {
  HybridTime At = 0;
  std::string Process;
  std::string Kind;
  std::string Caller; ///< Empty when no flow is concerned, as the others.
  std::string Service;
  std::string Agent;
  std::string Request;
  std::optional<uint64_t> Value;
  std::string Detail;
  std::string Line; ///< The JSON text as it came.
};

struct StoryFilter {
  std::string Caller;  ///< Empty: all.
  std::string Request; ///< Empty: all.
  HybridTime Since = 0;
  /// Leaves out events of single packets, flows and requests.
  bool RareOnly = false;

  bool accepts(const StoryEvent &E) const;
};

class Story {
public:
  /// Takes in the JSON lines of one process; lines that are none are dropped.
  void add(const std::string &JsonLines, const StoryFilter &Filter);
  /// Puts all events in one order: an effect never comes before its cause.
  void sort();

  const std::vector<StoryEvent> &events() const { return Events_; }
  /// The stamp after the newest event taken in, whether accepted or not.
  HybridTime next() const { return Next_; }
  void clear() { Events_.clear(); }

private:
  std::vector<StoryEvent> Events_;
  HybridTime Next_ = 0;
};

/// One line for a terminal, without a line break.
std::string toText(const StoryEvent &E);

/// A self-contained page: a lane for each process over time, and a list.
std::string toHtml(const Story &Whole);

} // namespace dragonflystall

#endif
