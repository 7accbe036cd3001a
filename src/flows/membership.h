// This agent's membership in its service's roster: it adds its own entry,
// removes it when the agent stops, removes failed agents when enough agents
// agree, exchanges rosters with its peers and sends them a heartbeat about once
// a second.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_MEMBERSHIP_H
#define DRAGONFLYSTALL_SRC_FLOWS_MEMBERSHIP_H

#include "flows/peers.h"

#include <map>

namespace dragonflystall {

/// Bounds of the random interval between heartbeats.
constexpr Duration MinHeartbeatInterval = 800ms;
constexpr Duration MaxHeartbeatInterval = 1200ms;
/// A suspected agent is removed after this long if a majority of the roster
/// suspects it.
constexpr Duration RemoveAfter = 10s;
/// Without such a majority it is removed after this long if a majority of the
/// agents not suspected by this one suspects it.
constexpr Duration RemoveAfterWithoutMajority = 60s;
/// The delay between the agents that may write the same removal, so that
/// normally only the first of them does.
constexpr Duration RemovalStagger = 2s;
/// Upper bound of the extra delay before an agent that was removed and rejoined
/// is removed again.
constexpr Duration MaxRemovalBackoff = 10min;

/// A first join is written after a random delay up to MaxJoinDelay, which
/// spreads the writes and leaves time to receive the roster. A restart may take
/// up to MaxRestartDelay, because the peers learn of it from heartbeats.
constexpr Duration MaxJoinDelay = 300ms;
constexpr Duration MaxRestartDelay = 3s;
/// Bounds of the backoff after a failed write of the roster.
constexpr Duration MinWriteBackoff = 100ms;
constexpr Duration MaxWriteBackoff = 30s;
constexpr Duration WriteTimeout = 10s;

/// How often the platform is asked for a roster that this agent lacks.
constexpr Duration RosterRequestPeriod = 5s;
/// Minimum interval between two roster pulls from peers.
constexpr Duration MinPullInterval = 100ms;

class Membership {
public:
  Membership(FlowsContext &Context, Peers &ServicePeers)
      : Context_(Context), Peers_(ServicePeers) {}

  /// Processes a roster from the platform or a peer.
  void onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  void onWritten(const RosterWritten &Result, TimePoint Now, FlowsOutput &Out);
  /// Processes roster pushes and pulls, and the roster version that any message
  /// states.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  /// Requests the roster if the version in a packet's header is a newer one.
  void onPacketVersion(uint64_t Version, Endpoint From, TimePoint Now,
                       FlowsOutput &Out);
  void tick(TimePoint Now, const wire::Load &Load, FlowsOutput &Out);
  /// Sends a heartbeat to all peers at the next tick, after a change of the
  /// load, the phase or the roster.
  void scheduleHeartbeat() { NextHeartbeat_ = TimePoint::min(); }
  /// Removes this agent's entry from the roster, once it holds no flow.
  void leaveRoster() { LeaveRequested_ = true; }
  /// True when the roster in force has no entry of this incarnation.
  bool hasLeft() const;

private:
  FlowsContext &Context_;
  Peers &Peers_;
  TimePoint NextHeartbeat_ = TimePoint::min();
  TimePoint NextRosterRequest_ = TimePoint::min();
  TimePoint LastPull_ = TimePoint::min();
  /// When the pending change will be written; unset while none is pending.
  std::optional<TimePoint> WriteAt_;
  /// When the write in progress was started; unset while there is none.
  std::optional<TimePoint> WriteStarted_;
  Duration Backoff_{};
  bool LeaveRequested_ = false;
  /// How often this agent has removed each incarnation.
  std::map<AgentRef, unsigned> Removals_;

  bool canBeListed() const;
  Roster desiredRoster(TimePoint Now) const;
  bool hasFailed(const Peer &Member, TimePoint Now) const;
  Duration removalDelay(const Peer &Member) const;
  unsigned removalRank(const Peer &Member) const;
  Duration initialWriteDelay();
  void write(TimePoint Now, FlowsOutput &Out);
  void retryLater(TimePoint Now);
  void sendHeartbeats(TimePoint Now, const wire::Load &Load, FlowsOutput &Out);
  void sendRosterPush(Endpoint To, FlowsOutput &Out);
  void sendRosterPull(Endpoint To, TimePoint Now, FlowsOutput &Out);
  void requestRoster(FlowsOutput &Out) const;
};

} // namespace dragonflystall

#endif
