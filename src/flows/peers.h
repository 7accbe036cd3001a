// The agents of the service as this one sees them: the roster in force, who is
// heard, who is suspected, and which of them are homes of flows.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_PEERS_H
#define DRAGONFLYSTALL_SRC_FLOWS_PEERS_H

#include "flows/context.h"
#include "flows/placement.h"

namespace dragonflystall {

/// A peer that stays silent for this long is suspected.
constexpr Duration SuspectAfter = 3s;
/// A view that a peer stated longer ago proves nothing, since this agent may
/// have been paused and the others may suspect it by now. Longer than the time
/// between two heartbeats; the sum of both is shorter than SuspectAfter.
constexpr Duration ViewLifetime = 1500ms;
/// A peer that refused a flow is not tried again for this long.
constexpr Duration RefusalPause = 500ms;
/// Placements that were sent this long before a heartbeat came in are counted
/// in it.
constexpr Duration PlacementLag = 50ms;

/// Stated instead of a view while flows are still being registered.
constexpr uint64_t UnregisteredView = 1;

struct Peer {
  /// As in the roster, but for the incarnation of a peer that restarted and is
  /// not written yet.
  RosterEntry Entry;
  bool Self = false;
  /// Overrides the roster's incarnation.
  bool Provisional = false;
  bool Heard = false;
  bool Suspected = false;
  bool Leaving = false; ///< Said so in a heartbeat.
  /// Not suspected and in a zone that is in, as of the last view.
  bool Usable = true;
  /// Stated in heartbeats, see wire::Lapse.
  uint32_t Lapse = 0;
  TimePoint LastHeard;
  TimePoint SuspectedSince;
  TimePoint RefusedAt;
  uint64_t View = 0;
  uint64_t Sequence = 0;
  OwnLoad Load;
  uint32_t Flows = 0;
  /// Flows placed there that its last heartbeat can't contain.
  std::vector<TimePoint> Recent;
  std::vector<AgentRef> Suspects;
  /// Incarnations that this id had before; messages of theirs are late.
  std::vector<Incarnation> Retired;
};

class Peers {
public:
  explicit Peers(FlowsContext &Context) : Context_(Context) {}

  const Roster &roster() const { return Roster_; }
  const std::vector<Peer> &all() const { return All_; }
  Peer *find(AgentId Id);
  const Peer *find(AgentId Id) const;
  /// This very incarnation is a member and not suspected, and its zone is in.
  const Peer *usable(AgentRef Agent) const;
  const Peer *byData(Endpoint Data) const;
  /// This agent's id is in the roster.
  bool listed() const { return find(Context_.self().Id) != nullptr; }
  /// A later process of this agent's name took its place.
  bool superseded() const { return Superseded_; }

  /// False when the roster is not newer than the one in force.
  bool adopt(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  /// Notes the sender's state. Null when it is no member as far as this agent
  /// knows, or when the message is from an earlier process of its name.
  Peer *heard(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  void noteNewer(uint64_t Version);
  uint64_t newestKnown() const { return NewestKnown_; }
  /// Suspects the peers that were silent for too long.
  void suspectSilent(TimePoint Now, FlowsOutput &Out);
  /// The process did not run for a while: what it heard is out of date.
  void forgetViews(TimePoint Now);
  void setLeaving(bool Leaving);
  bool leaving() const { return Leaving_; }
  /// Recomputes the homes after a change of the settings.
  void refreshView();

  /// A hash of the agents that may be homes; changes when their set does.
  uint64_t view() const { return View_; }
  /// Counts the changes of the view.
  uint32_t episode() const { return Episode_; }
  /// Null when no agent may be a home.
  const Peer *homeOf(Endpoint Caller) const;
  /// Every other agent has stated the view that this one has, and so has
  /// registered its flows here.
  bool settled(TimePoint Now) const;
  /// The agents that a question about a flow goes to.
  std::vector<const Peer *> reachable() const;
  /// Agents that may take a new flow. Without Except.
  std::vector<Candidate> candidates(AgentId Except, size_t OwnFlows,
                                    const OwnLoad &Own, TimePoint Now) const;
  void notePlaced(AgentId Id, TimePoint Now);
  /// A flow of the peer has a newer holder, which the peer has to learn. One
  /// that leaves is moving its flows itself.
  void noteLost(AgentId Id);
  void noteRefused(AgentId Id, TimePoint Now);

private:
  FlowsContext &Context_;
  Roster Roster_;
  /// Invariant: All_[I] belongs to Roster_.Agents[I].
  std::vector<Peer> All_;
  uint64_t NewestKnown_ = 0;
  uint64_t View_ = 0;
  uint32_t Episode_ = 0;
  /// Never falls, also when a peer was removed and is back.
  uint32_t LastLapse_ = 0;
  bool Leaving_ = false;
  bool Listed_ = false;
  /// This incarnation was in a roster once.
  bool WasListed_ = false;
  bool Superseded_ = false;

  bool mayBeHome(const Peer &P) const;
  void countLapses();
  Peer carryOver(const RosterEntry &Entry, TimePoint Now) const;
  bool restarted(Peer &P, const wire::ControlMessage &Value, TimePoint Now);
  void takeLoad(Peer &P, const wire::Heartbeat &Value, TimePoint Now);
};

} // namespace dragonflystall

#endif
