// Whether an upstream has started after its agent, so that no earlier run of
// the agent has admitted a flow to it.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STARTAGE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STARTAGE_H

#include "opaque/heartbeat.h"

namespace dragonflystall::opaque {

/// The age of the first start that an agent hears, by its warm-up and by the
/// number of its calls. A warm-up alone does not show it: an upstream may also
/// become cold at the end of its zone's evacuation, with all its flows; see
/// docs/design/incarnations.md.
class StartAge {
public:
  /// A start that is younger than its agent has made at most this number of
  /// calls. The first one is refused if the agent does not listen yet.
  static constexpr int64_t MaxCalls = 2;

  explicit StartAge(TimePoint AgentStarted) : AgentStarted_(AgentStarted) {}

  /// Call when the upstream's TCP port was refused: an upstream that runs
  /// later has started after the agent.
  void onPortClosed() { IsCertain_ = true; }
  /// Call at the first heartbeat that the agent hears. WarmUp: how long an
  /// upstream is cold after its start; 0 if not known.
  void onFirstHeard(const Heartbeat &Beat, Duration WarmUp, TimePoint Now);
  /// Call at the next heartbeats of the same start.
  void onNext(bool HasManifest) { IsUnknown_ = IsUnknown_ && !HasManifest; }
  /// Call when the length of the warm-up becomes known after the newest
  /// heartbeat. Returns whether the start now seems younger than the agent.
  bool onWarmUpKnown(const Heartbeat &Newest, Duration WarmUp,
                     TimePoint LastAlive);
  /// Call when the first heartbeat was late, or another start has replaced the
  /// first one.
  void refute();

  /// Whether the heartbeat, unless it is late, was sent by a start that no
  /// earlier run of the agent has met.
  bool isYounger(const Heartbeat &Beat, Duration WarmUp, TimePoint Now) const;
  /// Whether the upstream became cold after the agent's start, unless the
  /// heartbeat is late.
  bool becameColdLater(const Heartbeat &Beat, Duration WarmUp,
                       TimePoint Now) const;
  /// Whether the start seems to have met no earlier run of the agent, by its
  /// first heartbeat, which may have been late.
  bool seemsYounger() const { return SeemsYounger_; }
  /// Whether any upstream that runs has certainly started after the agent.
  bool isCertain() const { return IsCertain_; }

private:
  TimePoint AgentStarted_;
  bool IsCertain_ = false;
  /// The age of the first start could not be compared yet.
  bool IsUnknown_ = false;
  bool SeemsYounger_ = false;
};

} // namespace dragonflystall::opaque

#endif
