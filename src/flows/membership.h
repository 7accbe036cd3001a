// This agent's part in its service's roster: it announces itself, removes
// itself when it stops and the dead when enough agents agree, exchanges rosters
// with its peers and tells them each second that it lives.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_MEMBERSHIP_H
#define DRAGONFLYSTALL_SRC_FLOWS_MEMBERSHIP_H

#include "flows/peers.h"

#include <map>

namespace dragonflystall {

constexpr Duration HeartbeatLeast = 800ms;
constexpr Duration HeartbeatMost = 1200ms;
/// A suspect is removed after this long, by a majority of the roster.
constexpr Duration RemoveAfter = 10s;
/// When no majority of the roster is alive: by a majority of those that are.
constexpr Duration RemoveAfterWithoutMajority = 60s;
/// Between the agents that may write the same removal, in their order.
constexpr Duration RemovalTurn = 2s;
/// An agent that came back after a removal is left alone this much longer.
constexpr Duration MaxRemovalBackoff = 10min;

/// A first join waits for the roster and spreads over this time; a restart
/// that the peers know of is in no hurry.
constexpr Duration JoinSpread = 300ms;
constexpr Duration RestartSpread = 3s;
constexpr Duration WriteBackoffLeast = 100ms;
constexpr Duration WriteBackoffMost = 30s;
constexpr Duration WriteTimeout = 10s;

constexpr Duration WantRosterPeriod = 5s;
constexpr Duration PullPeriod = 100ms;

class Membership {
public:
  Membership(FlowsContext &Context, Peers &Others)
      : Context_(Context), Peers_(Others) {}

  /// A roster from the platform or a peer.
  void onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  void onWritten(const RosterWritten &Result, TimePoint Now, FlowsOutput &Out);
  /// The roster exchange; any message shows which version its sender has.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  /// A packet's header names a newer version.
  void sawVersion(uint64_t Version, Endpoint From, TimePoint Now,
                  FlowsOutput &Out);
  void tick(TimePoint Now, const wire::Load &Load, FlowsOutput &Out);
  /// Tells all peers at once: the load or the phase changed.
  void heartbeatNow() { NextHeartbeat_ = TimePoint::min(); }
  /// Nothing is left here: take the entry out of the roster.
  void leaveRoster() { Gone_ = true; }
  /// Out of the roster, as far as this agent knows.
  bool left() const;

private:
  FlowsContext &Context_;
  Peers &Peers_;
  TimePoint NextHeartbeat_ = TimePoint::min();
  TimePoint NextWant_ = TimePoint::min();
  TimePoint LastPull_ = TimePoint::min();
  /// When the pending change is written; unset while none is pending.
  std::optional<TimePoint> WriteAt_;
  /// A write is under way since then.
  std::optional<TimePoint> WrittenAt_;
  Duration Backoff_{};
  bool Gone_ = false;
  /// How often an incarnation was removed from here.
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
