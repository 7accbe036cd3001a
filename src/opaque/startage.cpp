// Comparison of an upstream's warm-up with the age of its agent.
#include "opaque/startage.h"

namespace dragonflystall::opaque {

namespace {

/// A process that has ended is started again after this time at the earliest:
/// an upstream that is not older than the agent by more has met no earlier run.
constexpr Duration RestartTime = 50ms;

} // namespace

bool StartAge::isYounger(const Heartbeat &Beat, Duration WarmUp,
                         TimePoint Now) const {
  return Beat.Sequence <= MaxCalls && becameColdLater(Beat, WarmUp, Now);
}

bool StartAge::becameColdLater(const Heartbeat &Beat, Duration WarmUp,
                               TimePoint Now) const {
  if (Beat.ColdFor <= Duration::zero())
    return false;
  const Duration Age = WarmUp - Beat.ColdFor;
  return Age >= Duration::zero() && Age < Now - AgentStarted_ + RestartTime;
}

void StartAge::onFirstHeard(const Heartbeat &Beat, Duration WarmUp,
                            TimePoint Now) {
  IsUnknown_ = true;
  SeemsYounger_ = isYounger(Beat, WarmUp, Now);
}

bool StartAge::onWarmUpKnown(const Heartbeat &Newest, Duration WarmUp,
                             TimePoint LastAlive) {
  if (!IsUnknown_ || SeemsYounger_ || !isYounger(Newest, WarmUp, LastAlive))
    return false;
  IsUnknown_ = false;
  SeemsYounger_ = true;
  return true;
}

void StartAge::refute() {
  IsUnknown_ = false;
  SeemsYounger_ = false;
}

} // namespace dragonflystall::opaque
