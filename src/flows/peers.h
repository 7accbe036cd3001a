// The agents of the service as seen by this agent: the roster in force, the
// state that each peer reported, which of them are suspected, and which are
// homes of flows.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_PEERS_H
#define DRAGONFLYSTALL_SRC_FLOWS_PEERS_H

#include "flows/context.h"
#include "flows/placement.h"

namespace dragonflystall {

/// A peer from which no message arrives for this long is suspected.
constexpr Duration SuspectAfter = 3s;
/// A view that a peer stated longer ago is not relied on, since this agent may
/// have been paused and its peers may suspect it by now. Longer than the
/// interval between two heartbeats; the sum of both is shorter than
/// SuspectAfter.
constexpr Duration ViewLifetime = 1500ms;
/// A peer that refused a flow is not chosen as holder again for this long.
constexpr Duration RefusalBackoff = 500ms;
/// Placements sent at least this long before a heartbeat arrived are assumed to
/// be included in its flow count.
constexpr Duration PlacementLag = 50ms;

/// Announced in place of the view while flows are still being registered.
constexpr uint64_t UnregisteredView = 1;

struct Peer {
  /// The roster's entry, but with the new incarnation of a peer that restarted
  /// and has not been written to the roster yet.
  RosterEntry Entry;
  bool Self = false;
  /// Entry has a newer incarnation than the roster.
  bool Provisional = false;
  /// A message of this incarnation has arrived.
  bool HasReported = false;
  bool Suspected = false;
  bool Leaving = false; ///< As stated in its last heartbeat.
  /// Not suspected and in a zone that is not out, as of the last refreshView().
  bool Usable = true;
  /// The lapse count stated in this agent's heartbeats, see wire::Lapse.
  uint32_t Lapse = 0;
  TimePoint LastMessage;
  TimePoint SuspectedSince;
  TimePoint RefusedAt;
  uint64_t View = 0;
  uint64_t Sequence = 0;
  RequestLoad Load;
  uint32_t Flows = 0;
  /// Placements at this peer that its last heartbeat can't include.
  std::vector<TimePoint> RecentPlacements;
  std::vector<AgentRef> Suspects;
  /// Earlier incarnations of this id, whose messages are ignored.
  std::vector<Incarnation> RetiredIncarnations;
};

class Peers {
public:
  explicit Peers(FlowsContext &Context) : Context_(Context) {}

  const Roster &roster() const { return Roster_; }
  const std::vector<Peer> &all() const { return All_; }
  Peer *find(AgentId Id);
  const Peer *find(AgentId Id) const;
  /// The peer, if this incarnation is a member, is not suspected and its zone
  /// is not out; else null.
  const Peer *findUsable(AgentRef Agent) const;
  const Peer *findByDataAddress(Endpoint Data) const;
  /// True when this agent's id is in the roster.
  bool isListed() const { return find(Context_.self().Id) != nullptr; }
  /// True when a later process with this agent's name has replaced it in the
  /// roster.
  bool isSuperseded() const { return Superseded_; }

  /// Puts a roster in force; returns false when it is not newer than the
  /// present one.
  bool adopt(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  /// Updates the sender's state from its message. Null when the sender is not
  /// in the roster in force, or is an earlier process of its name.
  Peer *onMessage(const wire::ControlMessage &Value, TimePoint Now,
                  FlowsOutput &Out);
  void noteVersion(uint64_t Version);
  uint64_t newestKnown() const { return NewestKnown_; }
  /// Suspects the peers from which no message arrived within SuspectAfter.
  void suspectSilent(TimePoint Now, FlowsOutput &Out);
  /// Discards the views that peers stated and restarts their silence timers,
  /// for example after a pause of this process.
  void forgetViews(TimePoint Now);
  void setLeaving(bool Leaving);
  bool isLeaving() const { return Leaving_; }
  /// Recomputes the view after a change of the settings or of a peer's state.
  void refreshView();

  /// A hash of the set of agents that may be homes.
  uint64_t view() const { return View_; }
  /// The number of changes of the view so far.
  uint32_t viewNumber() const { return ViewNumber_; }
  /// Null when no agent may be a home.
  const Peer *homeOf(Endpoint Caller) const;
  /// True when no newer roster is known and every other agent, except suspects
  /// and those in zones that are out, has stated the same view as this one
  /// within ViewLifetime. Each of them has then registered its flows with their
  /// homes, so the directory is complete.
  bool isSettled(TimePoint Now) const;
  /// The peers to which control messages are sent: not suspected, and in a zone
  /// that is not out.
  std::vector<const Peer *> reachable() const;
  /// Agents that may take a new flow, other than Excluded.
  std::vector<Candidate> candidates(AgentId Excluded, size_t OwnFlows,
                                    const RequestLoad &OwnRequests,
                                    TimePoint Now) const;
  void notePlacement(AgentId Id, TimePoint Now);
  /// A flow of the peer has a newer holder. Raises the peer's lapse count so
  /// that the peer registers its flows again and learns of the conflict; does
  /// nothing for a leaving peer, which is handing its flows over.
  void noteLostFlow(AgentId Id);
  void noteRefusal(AgentId Id, TimePoint Now);

private:
  FlowsContext &Context_;
  Roster Roster_;
  /// Invariant: All_[I] belongs to Roster_.Agents[I].
  std::vector<Peer> All_;
  uint64_t NewestKnown_ = 0;
  uint64_t View_ = 0;
  uint32_t ViewNumber_ = 0;
  /// Never decreases, so that lapse counts keep increasing also for a peer that
  /// was removed and rejoined.
  uint32_t LastLapse_ = 0;
  bool Leaving_ = false;
  bool Listed_ = false;
  /// This incarnation has been in a roster.
  bool WasListed_ = false;
  bool Superseded_ = false;

  bool canBeHome(const Peer &Member) const;
  void updateLapses();
  Peer carryOver(const RosterEntry &Entry, TimePoint Now) const;
  bool adoptRestart(Peer &Member, const wire::ControlMessage &Value,
                    TimePoint Now);
  void updateLoad(Peer &Member, const wire::Heartbeat &Value, TimePoint Now);
};

} // namespace dragonflystall

#endif
