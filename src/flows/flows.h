// The flows of one agent: those that it holds, those for which it is the home,
// the roster with the agent's peers, and the hand-over when the agent leaves.
// No I/O.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FLOWS_H
#define DRAGONFLYSTALL_SRC_FLOWS_FLOWS_H

#include "dragonflystall/agentcore.h"
#include "flows/flowstate.h"

#include <memory>
#include <vector>

namespace dragonflystall {

/// The request load of an agent as stated in its heartbeats: requests running
/// and queued, and its admission limit.
struct RequestLoad {
  uint32_t Running = 0;
  uint32_t Queued = 0;
  uint32_t Limit = 1;
};

struct FlowsOutput {
  AgentActions Actions;
  /// Packets of flows that this agent holds, to be passed to Requests in this
  /// order.
  std::vector<AgentPacket> Deliver;
};

class Flows {
public:
  Flows(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store);
  ~Flows();
  Flows(const Flows &) = delete;
  Flows &operator=(const Flows &) = delete;

  void onPacket(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  /// Processes messages about flows and rosters and ignores all others.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  void onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  void onRosterWritten(const RosterWritten &Result, TimePoint Now,
                       FlowsOutput &Out);
  void onSettings(const SettingsPtr &Value, TimePoint Now, FlowsOutput &Out);
  /// Announces the leaving phase and starts to hand over the flows.
  void leave(TimePoint Now, FlowsOutput &Out);
  void tick(TimePoint Now, const RequestLoad &Load, FlowsOutput &Out);

  /// False for a flow whose hand-over is in progress.
  bool holds(const FlowKey &Flow) const;
  /// The agent to name as the holder in an answer: this one, the successor
  /// after a hand-over, or None.
  AgentId holderOf(const FlowKey &Flow) const;
  std::vector<PeerView> peers() const;
  const Roster &roster() const;
  /// The number of flows held, including those being handed over.
  size_t size() const;
  /// True once this agent was asked to stop, holds no flow, no longer forwards
  /// packets, and has left the roster or could not do so in time.
  bool isDoneLeaving() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
