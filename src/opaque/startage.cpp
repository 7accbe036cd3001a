// Comparison of an upstream's warm-up with the age of its agent.
#include "opaque/startage.h"

namespace dragonflystall::opaque {

namespace {

/// A process that has ended is started again after this time at the earliest:
/// an upstream that is not older than the agent by more has met no earlier run.
constexpr Duration RestartTime = 50ms;

} // namespace

bool StartAge::isYounger(const FirstCall &Call, Duration WarmUp) {
  if (Call.ColdFor <= Duration::zero() || Call.Sequence > MaxCalls)
    return false;
  const Duration ColdSince = WarmUp - Call.ColdFor;
  return ColdSince >= Duration::zero() &&
         ColdSince < Call.AgentAge + RestartTime;
}

void StartAge::onFirstHeard(const Heartbeat &Beat,
                            std::optional<Duration> WarmUp, TimePoint Now) {
  Uncompared_ = {Beat.ColdFor, Beat.Sequence, Now - AgentStarted_};
  ColdEnd_ = Now + Beat.ColdFor;
  if (WarmUp)
    onWarmUpKnown(*WarmUp);
}

bool StartAge::onWarmUpKnown(Duration WarmUp) {
  if (!Uncompared_)
    return false;
  SeemsYounger_ = !IsRefuted_ && isYounger(*Uncompared_, WarmUp);
  Uncompared_.reset();
  return SeemsYounger_;
}

bool StartAge::confirm(const Heartbeat &Beat, TimePoint Now) {
  if (Beat.ColdFor > Duration::zero() &&
      Now + Beat.ColdFor + RestartTime >= ColdEnd_)
    IsConfirmed_ = true;
  return IsConfirmed_;
}

void StartAge::refute() {
  IsRefuted_ = true;
  Uncompared_.reset();
  SeemsYounger_ = false;
}

} // namespace dragonflystall::opaque
