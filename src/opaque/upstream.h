// An agent's view of its local upstream: whether the upstream is alive, whether
// it takes new flows, and how many.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAM_H
#define DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAM_H

#include "opaque/control.h"
#include "opaque/heartbeat.h"
#include "opaque/manifest.h"
#include "opaque/slidingbudget.h"
#include "opaque/startage.h"

#include <algorithm>

namespace dragonflystall::opaque {

/// Settings of the deployment for an agent's local upstream.
struct UpstreamSettings {
  Endpoint Address;
  std::string Zone;
  /// An address may be reused by another upstream this long after the previous
  /// one has ended.
  Duration AddressReuseAfter = 2s;
  /// Approximate time between heartbeats.
  Duration HeartbeatInterval = 1s;
  /// A cold upstream takes WarmUp::PerSecond * ColdFactor + ColdSlack new flows
  /// per second.
  double ColdFactor = 1;
  double ColdSlack = 0;
  /// The service of the local upstream; empty if any service is accepted.
  std::string Service = {};
};

/// How the announcement that a start leaves was handled.
enum class LeaveVerdict : uint8_t {
  Left,       ///< The present start has left.
  IfSilent,   ///< The call names no start: left once nothing more is heard.
  OtherStart, ///< Ignored: of another start than the present one.
};
constexpr std::array<std::string_view, 3> LeaveVerdictNames = {
    "left", "if-silent", "other-start"};
constexpr std::string_view name(LeaveVerdict V) {
  return LeaveVerdictNames[static_cast<size_t>(V)];
}

/// Limit on new flows per second for a cold upstream of the service.
uint32_t coldLimitOf(const Manifest &Manifest, const std::string &Service,
                     double ColdFactor, double ColdSlack);

class Upstream {
public:
  Upstream(UpstreamSettings Settings, const Configuration &Config,
           TimePoint Started)
      : Settings_(std::move(Settings)), Config_(Config),
        Starts_(Settings_.HeartbeatInterval), Age_(Started),
        LastTick_(Started) {
    ColdBudget_.spendAll(Started);
    if (Config.knowsEvacuations())
      WasEvacuated_ = Config.isEvacuated(Settings_.Zone);
  }

  HeartbeatVerdict onHeartbeat(const Heartbeat &Beat, TimePoint Now);
  /// Call when there is a new manifest, which says how long upstreams warm up.
  /// Returns TakenNewStart if the present start has begun after this agent.
  HeartbeatVerdict onManifest();
  /// Call when the upstream announces that it leaves. The call may be a late
  /// one of an earlier start.
  LeaveVerdict onLeave(const Incarnation &Start);
  /// Call when the upstream has sent a packet of one of its flows.
  void onAnswer(TimePoint Now);
  /// Call when the upstream has answered on a flow that this agent has not
  /// opened: it is older than the agent, unless the flow was forgotten. Returns
  /// whether it had seemed younger.
  bool onAnswerOnOlderFlow();
  /// Call when the upstream has returned a packet: it is responsive, but may
  /// have restarted.
  void onBounce() { UnansweredSyns_ = 0; }
  /// Call every TickInterval: detects that the upstream has ended.
  void tick(TimePoint Now);
  /// Call when a SYN was passed to the upstream.
  void onSynPassed(TimePoint Now);
  /// Call when the upstream's TCP port refuses connections: no upstream runs.
  void onPortClosed();
  /// Call when this agent begins to stop.
  void onStop() { IsStopping_ = true; }
  /// Whether the store is known to have this agent's entry. An agent that is
  /// not listed takes no new flows, since a balancer that does not know the
  /// agent would reset them.
  void setListed(bool IsListed) { IsListed_ = IsListed; }
  /// Call when the set of evacuated zones has changed or is known at last.
  void onEvacuationsChanged();

  /// Whether the upstream takes new flows now, and if not, why.
  Intake intake(TimePoint Now) const;
  /// Whether one more new flow may be passed to the upstream now.
  bool admits(TimePoint Now);
  /// Remaining time of the cold start by the last heartbeat; 0 if not cold.
  Duration coldFor(TimePoint Now) const {
    return std::max(Duration::zero(), ColdUntil_ - Now);
  }
  /// Limit on new flows per second while the upstream is cold.
  uint32_t coldLimit() const;

  const std::string &service() const { return Beat_.Service; }
  const std::string &id() const { return Beat_.Id; }
  Incarnation start() const { return Beat_.start(); }
  uint32_t slots() const { return Beat_.Slots; }
  bool isKnown() const { return !Beat_.Id.empty(); }
  /// Whether the present start has certainly begun after this agent, provided
  /// that its first heartbeat was a TakenNewStart.
  bool hasSeenStart() const { return Age_.isCertain() || Starts_.isProven(); }
  /// Whether it will soon be certain that the present start has begun after
  /// this agent: until then, the upstream should not be offered unknown flows.
  bool awaitsProof() const {
    return Age_.seemsYounger() && !Starts_.isProven();
  }
  /// Whether silence will soon tell that the upstream has left, as a call said.
  bool mayHaveLeft() const { return MayHaveLeft_ && !isGone(); }
  /// Whether there is certainly no upstream with open flows at present.
  bool isGone() const { return HasLeft_ || IsAbsent_ || hasEnded(); }
  /// Whether the upstream and its flows have ended, or it never existed: there
  /// was no heartbeat and no packet for EndedAfter, AbsentHeartbeats, or
  /// LeavingHeartbeats, while this agent ran without interruption.
  bool hasEnded() const;
  static constexpr Duration TickInterval = 100ms;
  /// A tick that is this many intervals late shows that the agent was
  /// suspended.
  static constexpr int SuspendedTicks = 3;
  /// After so many punctual ticks since a suspension, all sockets were read at
  /// least once, so that what is read from then on was sent after it.
  static constexpr uint32_t TicksToReadSockets = 2;
  static constexpr Duration EndedAfter = 4s;
  /// In heartbeat intervals, for an upstream that has never reported to this
  /// agent.
  static constexpr double AbsentHeartbeats = 2.5;
  /// The same for an agent that is being stopped, as happens when its host is
  /// taken away after the upstream.
  static constexpr double AbsentHeartbeatsAtStop = 1.5;
  /// The same for an upstream after a call that its id leaves, which may be a
  /// late one of an earlier start: a start that lives is heard within an
  /// interval; a quarter is for the variation of the interval.
  static constexpr double LeavingHeartbeats = 1.25;
  /// Whether the address certainly still belongs to the upstream: it has sent a
  /// heartbeat or a packet within the reuse time.
  bool isReachable(TimePoint Now) const { return !isSilent(Now); }

private:
  bool isSilent(TimePoint Now) const;
  bool isUnresponsive(TimePoint Now) const;
  bool isCold(TimePoint Now) const;
  /// Whether this agent was suspended until just now, as its ticks show.
  bool isResuming(TimePoint Now) const {
    return Now - LastTick_ >= SuspendedTicks * TickInterval;
  }
  /// Whether new flows of the service can't reach another one's upstream.
  bool isServiceSure() const;
  /// Takes what the heartbeat says for the present state.
  void accept(const Heartbeat &Beat, TimePoint Now);
  /// How long an upstream of the service is cold after its start, if there is
  /// a manifest that says so.
  std::optional<Duration> warmUp() const;
  /// Once the present start is proven, its heartbeats are not late any more:
  /// they show whether the first one was.
  HeartbeatVerdict confirmAge(const Heartbeat &Beat, TimePoint Now);
  /// Returns whether the present start had seemed younger than this agent. One
  /// that is certainly younger stays so.
  bool refuteAge();
  void doubtPresent(TimePoint Now);
  void updateProvenService(TimePoint Now);

  UpstreamSettings Settings_;
  const Configuration &Config_;
  IncarnationTracker Starts_;
  Heartbeat Beat_; ///< The newest one of the present start.
  /// The service that is sure while there are none in the settings.
  std::string ProvenService_;
  bool HasLeft_ = false;
  /// A call without the time of the start has said that this id leaves, and
  /// there was no heartbeat since. Packets may have been sent before the call.
  bool MayHaveLeft_ = false;
  bool IsAbsent_ = false; ///< Not running when this agent started.
  /// The present start is the first that this agent has heard.
  bool IsFirstHeard_ = false;
  StartAge Age_; ///< Of the present start, while it is the first heard.
  bool IsStopping_ = false;
  bool IsListed_ = true;
  TimePoint LastAlive_{};
  TimePoint LastBeat_{};
  TimePoint LastTick_;
  uint32_t SilentTicks_ = 0; ///< Punctual ticks since LastAlive_.
  /// This agent was suspended, and no heartbeat was heard that is certain to
  /// have been sent since.
  bool WasSuspended_ = false;
  uint32_t TicksSinceSuspended_ = 0; ///< Punctual ones.
  TimePoint ColdUntil_{};
  /// The zone's evacuation has ended and no heartbeat since then has reported
  /// whether the upstream is cold.
  bool ColdUnknown_ = false;
  /// Unset while the evacuations are not known: the zone may have returned just
  /// before.
  std::optional<bool> WasEvacuated_;
  uint32_t UnansweredSyns_ = 0;
  TimePoint FirstUnanswered_{};
  TimePoint LastSyn_{};
  SlidingBudget ColdBudget_;
};

} // namespace dragonflystall::opaque

#endif
