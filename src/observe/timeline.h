// The time line of one process: a ring buffer of events, stamped with a hybrid
// logical clock, which are also printed as JSON lines to standard error.
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
  /// Returns a stamp that is greater than all stamps returned or observed
  /// before.
  HybridTime stamp(std::chrono::system_clock::time_point Wall);
  /// Takes account of a stamp received in a peer's message.
  void observe(HybridTime Remote);

private:
  HybridTime Last_ = 0;
};

struct StampedEvent {
  HybridTime At = 0;
  Event Payload;
};

/// The event as one JSON line, as printed by /timeline and to standard error.
std::string eventJson(std::string_view Process, const StampedEvent &E);

/// Events are recorded by the loop thread only. Functions that may be called
/// from any thread say so.
class Timeline {
public:
  /// Capacity is in events; a quarter of it is reserved for rare kinds.
  Timeline(std::string Process, size_t Capacity);
  ~Timeline();
  void record(std::chrono::system_clock::time_point Wall, const Event &Payload);
  HybridClock &clock();
  /// JSON lines of the ring's events at or after Since, oldest first. May be
  /// called from any thread.
  std::string snapshotJson(HybridTime Since) const;
  /// Number of events of the kind recorded since the start. May be called from
  /// any thread.
  uint64_t count(EventKind Kind) const;
  /// The counts in the Prometheus text format. May be called from any thread.
  std::string metricsText() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
