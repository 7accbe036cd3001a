// State of an upstream, derived from its heartbeats, answers and silence.
#include "opaque/upstream.h"

#include <algorithm>
#include <cmath>

namespace dragonflystall::opaque {

namespace {

/// Stop this long before the address can be reused, to allow for the delay of
/// clock readings and packets.
constexpr Duration ReuseMargin = 100ms;
/// Compensates the rounding of the remaining warm-up time in a heartbeat. Its
/// delay needs no margin, since it only lengthens the warm-up.
constexpr Duration ColdMargin = 20ms;
/// An upstream that answers no SYN for this time gets single probes only.
constexpr Duration UnresponsiveAfter = 300ms;
constexpr uint32_t UnresponsiveSyns = 3;
constexpr Duration ProbeInterval = 250ms;

constexpr int64_t FirstSequence = 1;

} // namespace

bool SlidingBudget::allows(uint32_t Limit, TimePoint Now) {
  while (!Spent_.empty() && Now - Spent_.front() > Window)
    Spent_.pop_front();
  return Now >= NothingBefore_ && Spent_.size() < Limit;
}

HeartbeatVerdict Upstream::onHeartbeat(const Heartbeat &Beat, TimePoint Now) {
  if (Beat.Address != Settings_.Address)
    return HeartbeatVerdict::Elsewhere;
  if (Beat.Started < Beat_.Started)
    return HeartbeatVerdict::OldStart;
  const bool Unheard = !known();
  const bool SameStart = Beat.Id == Beat_.Id && Beat.Started == Beat_.Started;
  if (SameStart && (Left_ || Beat.Sequence <= Beat_.Sequence))
    return HeartbeatVerdict::Late;
  Beat_ = Beat;
  Left_ = false;
  LastAlive_ = Now;
  SilentTicks_ = 0;
  ColdUnknown_ = false;
  ColdUntil_ = {};
  if (Beat.ColdFor > Duration::zero())
    ColdUntil_ = Now + Beat.ColdFor + ColdMargin;
  if (SameStart)
    return HeartbeatVerdict::Taken;
  UnansweredSyns_ = 0;
  if (Unheard && Beat.Sequence > FirstSequence)
    return HeartbeatVerdict::TakenRunning;
  // An earlier run of this agent has admitted no flow to this start of the
  // upstream, since it would have received the first heartbeat.
  if (Beat.Sequence <= FirstSequence)
    Cold_.nothingBefore();
  return HeartbeatVerdict::TakenNewStart;
}

bool Upstream::onLeave(const std::string &Id) {
  if (Id != Beat_.Id)
    return false;
  Left_ = true;
  return true;
}

bool Upstream::ended() const {
  const Duration Silence = SilentTicks_ * TickInterval;
  return known() ? Silence >= EndedAfter
                 : Silence >= AbsentHeartbeats * Settings_.HeartbeatInterval;
}

void Upstream::tick(TimePoint Now) {
  // A late tick shows that this agent was suspended; heartbeats and packets of
  // the upstream may be delayed as well.
  const bool InTime = Now - LastTick_ < 3 * TickInterval;
  LastTick_ = Now;
  if (!InTime)
    SilentTicks_ = 0;
  else if (!ended())
    ++SilentTicks_;
}

void Upstream::onAnswer(TimePoint Now) {
  LastAlive_ = Now;
  SilentTicks_ = 0;
  UnansweredSyns_ = 0;
}

void Upstream::onSynPassed(TimePoint Now) {
  if (UnansweredSyns_++ == 0)
    FirstUnanswered_ = Now;
  LastSyn_ = Now;
  // Also while it seems warm: it may have become cold since its last heartbeat.
  Cold_.spend(Now);
}

void Upstream::onEvacuationsChanged() {
  const bool Evacuated = Config_.evacuated(Settings_.Zone);
  if (WasEvacuated_ && !Evacuated)
    ColdUnknown_ = true;
  WasEvacuated_ = Evacuated;
}

bool Upstream::silent(TimePoint Now) const {
  return !known() || Left_ ||
         Now - LastAlive_ > Settings_.AddressReuseAfter - ReuseMargin;
}

bool Upstream::unresponsive(TimePoint Now) const {
  return UnansweredSyns_ >= UnresponsiveSyns &&
         Now - FirstUnanswered_ > UnresponsiveAfter;
}

bool Upstream::cold(TimePoint Now) const {
  return ColdUnknown_ || Now < ColdUntil_;
}

Intake Upstream::intake(TimePoint Now) const {
  if (!Config_.known())
    return Intake::Unready;
  if (Config_.evacuated(Settings_.Zone))
    return Intake::Evacuated;
  if (known() && Beat_.Draining)
    return Intake::Draining;
  if (Left_ || ended())
    return Intake::Ended;
  if (silent(Now) || unresponsive(Now))
    return Intake::Silent;
  return cold(Now) ? Intake::Cold : Intake::Open;
}

uint32_t Upstream::coldLimit() const {
  const auto &Services = Config_.manifest().Services;
  const auto It = Services.find(Beat_.Service);
  const double PerSecond = It == Services.end() ? 0 : It->second.PerSecond;
  const double Bears = PerSecond * Settings_.ColdFactor + Settings_.ColdSlack;
  return std::max<uint32_t>(1, std::floor(Bears));
}

bool Upstream::admits(TimePoint Now) {
  switch (intake(Now)) {
  case Intake::Open:
    return true;
  case Intake::Cold:
    return Cold_.allows(coldLimit(), Now);
  case Intake::Silent:
    // An occasional SYN probes whether the upstream answers again.
    return !silent(Now) && Now - LastSyn_ > ProbeInterval &&
           Cold_.allows(coldLimit(), Now);
  default:
    return false;
  }
}

} // namespace dragonflystall::opaque
