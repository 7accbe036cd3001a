// Flows of one agent: which it holds, which it has placed as their home, the
// roster and its peers, and the planned hand-over. No I/O.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FLOWS_H
#define DRAGONFLYSTALL_SRC_FLOWS_FLOWS_H

#include "dragonflystall/agentcore.h"
#include "flows/flowstate.h"

#include <memory>
#include <vector>

namespace dragonflystall {

/// What this agent says of itself in heartbeats, from Requests.
struct OwnLoad {
  uint32_t Running = 0;
  uint32_t Queued = 0;
  uint32_t Limit = 1;
};

struct FlowsOutput {
  AgentActions Actions;
  /// Packets of flows that this agent holds: for Requests, in this order.
  std::vector<AgentPacket> Deliver;
};

class Flows {
public:
  Flows(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store);
  ~Flows();
  Flows(const Flows &) = delete;
  Flows &operator=(const Flows &) = delete;

  void onPacket(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  /// Takes the bodies that concern flows and rosters, ignores the others.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              FlowsOutput &Out);
  void onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out);
  void onRosterWritten(const RosterWritten &Result, TimePoint Now,
                       FlowsOutput &Out);
  void onSettings(const SettingsPtr &Value, TimePoint Now, FlowsOutput &Out);
  /// Announces the leaving phase and starts to hand flows over.
  void leave(TimePoint Now, FlowsOutput &Out);
  void tick(TimePoint Now, const OwnLoad &Load, FlowsOutput &Out);

  bool holds(const FlowKey &Flow) const;
  /// The agent that an answer names as the holder: this one, the successor
  /// after a hand-over, or None.
  AgentId holderOf(const FlowKey &Flow) const;
  std::vector<PeerView> peers() const;
  const Roster &roster() const;
  /// Flows held now.
  size_t size() const;
  /// Leaving, and nothing is left to hand over.
  bool empty() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
