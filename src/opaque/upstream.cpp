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

} // namespace

HeartbeatVerdict Upstream::onHeartbeat(const Heartbeat &Beat, TimePoint Now) {
  if (Beat.Address != Settings_.Address)
    return HeartbeatVerdict::Elsewhere;
  // The address has belonged to another service, whose last heartbeats may
  // arrive late.
  if (!Settings_.Service.empty() && Beat.Service != Settings_.Service)
    return HeartbeatVerdict::OtherService;
  using Finding = IncarnationTracker::Finding;
  const bool WasSilent = isSilent(Now);
  const bool WasProven = Starts_.isProven();
  const Finding Found = Starts_.onHeartbeat(Beat.start(), Beat.Sequence,
                                            HasLeft_ || hasEnded(), Now);
  switch (Found) {
  case Finding::Late:
    return HeartbeatVerdict::Late;
  case Finding::Ended:
  case Finding::Unproven:
    return Beat.start() == start() ? HeartbeatVerdict::Late
                                   : HeartbeatVerdict::OldStart;
  case Finding::Present:
    // The address may belong to another upstream by now.
    if (WasSilent)
      doubtPresent(Now);
    break;
  case Finding::Observed:
  case Finding::Running:
    UnansweredSyns_ = 0;
    // Late heartbeats of the former service may follow.
    if (WasSilent || Beat.Service != Beat_.Service)
      ProvenService_.clear();
  }
  const bool WasUnknown = !isKnown();
  accept(Beat, Now);
  if (Found == Finding::Present)
    return WasProven ? HeartbeatVerdict::Taken : confirmAge(Beat, Now);
  IsFirstHeard_ = WasUnknown;
  if (WasUnknown)
    Age_.onFirstHeard(Beat, warmUp(), Now);
  else
    refuteAge();
  if (Age_.seemsYounger())
    ColdBudget_.cancelSpendAll();
  return Found == Finding::Observed || Age_.isCertain() || Age_.seemsYounger()
             ? HeartbeatVerdict::TakenNewStart
             : HeartbeatVerdict::TakenRunning;
}

std::optional<Duration> Upstream::warmUp() const {
  const auto &Services = Config_.manifest().Services;
  const auto It = Services.find(Beat_.Service);
  if (It == Services.end() || It->second.Length == Duration::zero())
    return std::nullopt;
  return It->second.Length;
}

HeartbeatVerdict Upstream::onManifest() {
  const auto WarmUp = warmUp();
  if (!WarmUp || !Age_.onWarmUpKnown(*WarmUp))
    return HeartbeatVerdict::Taken;
  ColdBudget_.cancelSpendAll();
  return HeartbeatVerdict::TakenNewStart;
}

HeartbeatVerdict Upstream::confirmAge(const Heartbeat &Beat, TimePoint Now) {
  if (!Starts_.isProven() || Age_.confirm(Beat, Now))
    return HeartbeatVerdict::Taken;
  return refuteAge() ? HeartbeatVerdict::TakenRunning : HeartbeatVerdict::Taken;
}

bool Upstream::refuteAge() {
  const bool SeemedYounger = Age_.seemsYounger() && !Age_.isCertain();
  Age_.refute();
  // A former run of this agent may have admitted flows until it ended.
  if (SeemedYounger)
    ColdBudget_.spendAll(Age_.agentStarted());
  return SeemedYounger;
}

bool Upstream::onAnswerOnOlderFlow() {
  // Later, flows that were opened here may have been idle and forgotten.
  return !Age_.isConfirmed() && refuteAge();
}

void Upstream::accept(const Heartbeat &Beat, TimePoint Now) {
  Beat_ = Beat;
  HasLeft_ = false;
  MayHaveLeft_ = false;
  IsAbsent_ = false;
  LastAlive_ = Now;
  SilentTicks_ = 0;
  ColdUnknown_ = false;
  if (TicksSinceSuspended_ >= TicksToReadSockets && !isResuming(Now))
    WasSuspended_ = false;
  ColdUntil_ = {};
  if (Beat.ColdFor > Duration::zero())
    ColdUntil_ = Now + Beat.ColdFor + ColdMargin;
  updateProvenService(Now);
}

void Upstream::updateProvenService(TimePoint Now) {
  const Duration Gap = Now - LastBeat_;
  LastBeat_ = Now;
  // A call that was held up says nothing of the time since it was sent, and the
  // next one may have been held up with it.
  if (Gap > IncarnationTracker::ContestSpacing * Settings_.HeartbeatInterval)
    ProvenService_.clear();
  else if (Starts_.isProven() && Gap >= IncarnationTracker::ProofSpacing *
                                            Settings_.HeartbeatInterval)
    ProvenService_ = Beat_.Service;
}

void Upstream::doubtPresent(TimePoint Now) {
  Starts_.doubtPresent(Now);
  ProvenService_.clear();
}

void Upstream::onPortClosed() {
  IsAbsent_ = !isKnown();
  Age_.onPortClosed();
  // An earlier run of this agent has admitted no flow to an upstream that
  // starts after this.
  ColdBudget_.cancelSpendAll();
}

LeaveVerdict Upstream::onLeave(const Incarnation &Start) {
  Starts_.onLeave(Start);
  if (!isKnown() || Start.Id != Beat_.Id)
    return LeaveVerdict::OtherStart;
  if (Start.namesStart() && Start != start())
    return LeaveVerdict::OtherStart;
  if (Start.namesStart()) {
    HasLeft_ = true;
    return LeaveVerdict::Left;
  }
  MayHaveLeft_ = true;
  SilentTicks_ = 0;
  return LeaveVerdict::IfSilent;
}

bool Upstream::hasEnded() const {
  const Duration Silence = SilentTicks_ * TickInterval;
  if (isKnown() && !MayHaveLeft_)
    return Silence >= EndedAfter;
  if (isKnown())
    return Silence >= LeavingHeartbeats * Settings_.HeartbeatInterval;
  return Silence >= (IsStopping_ ? AbsentHeartbeatsAtStop : AbsentHeartbeats) *
                        Settings_.HeartbeatInterval;
}

void Upstream::tick(TimePoint Now) {
  // A late tick shows that this agent was suspended; heartbeats and packets of
  // the upstream may be delayed as well.
  const bool InTime = !isResuming(Now);
  LastTick_ = Now;
  if (!InTime) {
    WasSuspended_ = true;
    TicksSinceSuspended_ = 0;
  } else if (WasSuspended_) {
    ++TicksSinceSuspended_;
  }
  if (!InTime)
    SilentTicks_ = 0;
  else if (!hasEnded())
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
  ColdBudget_.spend(coldLimit(), Now);
}

void Upstream::onEvacuationsChanged() {
  const bool Evacuated = Config_.isEvacuated(Settings_.Zone);
  if (WasEvacuated_.value_or(true) && !Evacuated)
    ColdUnknown_ = true;
  WasEvacuated_ = Evacuated;
}

bool Upstream::isSilent(TimePoint Now) const {
  return !isKnown() || HasLeft_ ||
         Now - LastAlive_ > Settings_.AddressReuseAfter - ReuseMargin;
}

bool Upstream::isUnresponsive(TimePoint Now) const {
  return UnansweredSyns_ >= UnresponsiveSyns &&
         Now - FirstUnanswered_ > UnresponsiveAfter;
}

bool Upstream::isCold(TimePoint Now) const {
  // The upstream may have started again while this agent was suspended; the
  // SYNs that waited in the socket are read before its heartbeat.
  if (WasSuspended_ || isResuming(Now))
    return true;
  // What a late heartbeat says of warmth may be said of an earlier start. The
  // first start that this agent hears is believed: all agents that restart at
  // the same time would otherwise take few new flows for a heartbeat longer.
  const bool IsDoubtful = !IsFirstHeard_ && !Starts_.isProven();
  return ColdUnknown_ || IsDoubtful || Now < ColdUntil_;
}

bool Upstream::isServiceSure() const {
  return !Settings_.Service.empty() || Beat_.Service == ProvenService_;
}

Intake Upstream::intake(TimePoint Now) const {
  if (isGone())
    return Intake::Ended;
  if (IsStopping_)
    return Intake::Stopping;
  if (!Config_.hasManifest() || !Config_.knowsEvacuations())
    return Intake::Unready;
  if (Config_.isEvacuated(Settings_.Zone))
    return Intake::Evacuated;
  if (isKnown() && Beat_.Draining)
    return Intake::Draining;
  if (isSilent(Now) || !isServiceSure())
    return Intake::Silent;
  if (!IsListed_)
    return Intake::Unlisted;
  if (isUnresponsive(Now))
    return Intake::Silent;
  return isCold(Now) ? Intake::Cold : Intake::Open;
}

uint32_t coldLimitOf(const Manifest &Manifest, const std::string &Service,
                     double ColdFactor, double ColdSlack) {
  const auto It = Manifest.Services.find(Service);
  const double PerSecond =
      It == Manifest.Services.end() ? 0 : It->second.PerSecond;
  const double ColdRate = PerSecond * ColdFactor + ColdSlack;
  return static_cast<uint32_t>(
      std::clamp<double>(std::floor(ColdRate), 1, UINT16_MAX));
}

uint32_t Upstream::coldLimit() const {
  return coldLimitOf(Config_.manifest(), Beat_.Service, Settings_.ColdFactor,
                     Settings_.ColdSlack);
}

bool Upstream::admits(TimePoint Now) {
  switch (intake(Now)) {
  case Intake::Open:
    return true;
  case Intake::Cold:
    return ColdBudget_.allows(coldLimit(), Now);
  case Intake::Silent:
    // An occasional SYN probes whether the upstream answers again.
    return !isSilent(Now) && isServiceSure() &&
           Now - LastSyn_ > ProbeInterval &&
           ColdBudget_.allows(coldLimit(), Now);
  default:
    return false;
  }
}

} // namespace dragonflystall::opaque
