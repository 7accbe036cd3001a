// The time line of one process: a ring of events in memory, stamped with a
// hybrid logical clock, and printed as JSON lines to standard error.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_TIMELINE_H
#define DRAGONFLYSTALL_SRC_OBSERVE_TIMELINE_H

#include "dragonflystall/clock.h"
#include "dragonflystall/event.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflystall {

/// Milliseconds since the epoch << 16 | counter.
using HybridTime = uint64_t;

class HybridClock {
public:
  /// A stamp after all that were given or seen before.
  HybridTime stamp(std::chrono::system_clock::time_point Wall);
  /// A stamp that came with a peer's message.
  void observe(HybridTime Remote);

private:
  HybridTime Last_ = 0;
};

struct StampedEvent {
  HybridTime At = 0;
  Event What;
};

/// One JSON line, as /timeline and standard error show it.
std::string eventJson(std::string_view Process, const StampedEvent &E);

/// Not thread-safe but for snapshotJson(): the loop thread records.
class Timeline {
public:
  /// Capacity in events; a quarter is kept for kinds that are rare.
  Timeline(std::string Process, size_t Capacity);
  ~Timeline();
  void record(std::chrono::system_clock::time_point Wall, const Event &What);
  HybridClock &clock();
  /// JSON lines of the ring's events at or after Since, oldest first. Any
  /// thread.
  std::string snapshotJson(HybridTime Since) const;
  /// How many events of the kind were recorded since the start. Any thread.
  uint64_t count(EventKind Kind) const;
  /// The counts in the Prometheus text format. Any thread.
  std::string metricsText() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
