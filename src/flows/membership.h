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
constexpr Duration HeartbeatLeast = 800ms;
constexpr Duration HeartbeatMost = 1200ms;
/// A suspected agent is removed after this long if a majority of the roster
/// suspects it.
constexpr Duration RemoveAfter = 10s;
/// Without such a majority it is removed after this long if a majority of the
/// agents not suspected by this one suspects it.
constexpr Duration RemoveAfterWithoutMajority = 60s;
/// The delay between the agents that may write the same removal, so that
/// normally only the first of them does.
constexpr Duration RemovalTurn = 2s;
/// Upper bound of the extra delay before an agent that was removed and rejoined
/// is removed again.
constexpr Duration MaxRemovalBackoff = 10min;

/// A first join is written after a random delay up to JoinSpread, which leaves
/// time to receive the roster. A restart is less urgent, because the peers
/// learn of it from heartbeats.
constexpr Duration JoinSpread = 300ms;
constexpr Duration RestartSpread = 3s;
/// Bounds of the backoff after a failed write of the roster.
constexpr Duration WriteBackoffLeast = 100ms;
constexpr Duration WriteBackoffMost = 30s;
constexpr Duration WriteTimeout = 10s;

/// How often the platform is asked for a roster that this agent lacks.
constexpr Duration WantRosterPeriod = 5s;
/// Minimum interval between two roster pulls from peers.
constexpr Duration PullPeriod = 100ms;

class Membership {
public:
  Membership(FlowsContext &Context, Peers &Others)
      : Context_(Context), Peers_(Others) {}

  /// Processes a roster from the platform or a peer.
  void onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  void onWritten(const RosterWritten &Result, TimePoint Now, FlowsOutput &Out);
  /// Processes roster pushes and pulls, and the roster version that any message
  /// states.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  /// Requests the roster if the version in a packet's header is a newer one.
  void sawVersion(uint64_t Version, Endpoint From, TimePoint Now,
                  FlowsOutput &Out);
  void tick(TimePoint Now, const wire::Load &Load, FlowsOutput &Out);
  /// Sends a heartbeat to all peers at the next tick, after a change of the
  /// load, the phase or the roster.
  void heartbeatNow() { NextHeartbeat_ = TimePoint::min(); }
  /// Removes this agent's entry from the roster, once it holds no flow.
  void leaveRoster() { Gone_ = true; }
  /// True when the roster in force has no entry of this incarnation.
  bool left() const;

private:
  FlowsContext &Context_;
  Peers &Peers_;
  TimePoint NextHeartbeat_ = TimePoint::min();
  TimePoint NextWant_ = TimePoint::min();
  TimePoint LastPull_ = TimePoint::min();
  /// When the pending change will be written; unset while none is pending.
  std::optional<TimePoint> WriteAt_;
  /// When the write in progress was started; unset while there is none.
  std::optional<TimePoint> WrittenAt_;
  Duration Backoff_{};
  bool Gone_ = false;
  /// How often this agent has removed each incarnation.
  std::map<AgentRef, unsigned> Removals_;

  bool mayJoin() const;
  Roster desired(TimePoint Now) const;
  bool isDead(const Peer &P, TimePoint Now) const;
  Duration removalDelay(const Peer &P) const;
  unsigned turnOf(const Peer &P) const;
  Duration firstDelay();
  void write(TimePoint Now, FlowsOutput &Out);
  void retryLater(TimePoint Now);
  void sendHeartbeats(TimePoint Now, const wire::Load &Load, FlowsOutput &Out);
  void push(Endpoint To, FlowsOutput &Out);
  void pull(Endpoint To, TimePoint Now, FlowsOutput &Out);
  void wantRoster(FlowsOutput &Out) const;
};

} // namespace dragonflystall

#endif
