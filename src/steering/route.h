// The routing table of one service: its agents and their eligibility, derived
// from the roster and the settings whenever either of them changes.
#ifndef DRAGONFLYSTALL_SRC_STEERING_ROUTE_H
#define DRAGONFLYSTALL_SRC_STEERING_ROUTE_H

#include "dragonflystall/roster.h"
#include "dragonflystall/settings.h"

#include <vector>

namespace dragonflystall {

/// An agent as the forwarding path uses it.
struct AgentSlot {
  AgentRef Agent;
  Endpoint Data;
  /// The zone that the agent's roster entry names is in, and the agent's
  /// address belongs to that zone. No packet is sent to an unreachable agent.
  bool Reachable = false;
  /// The agent may be a flow's home: it is reachable, in phase Serving, and in
  /// one of the service's zones.
  bool AcceptsNewFlows = false;
  /// The agent did not respond to probes.
  bool Suspected = false;
  /// A packet was sent to the agent at AwaitingSince, and the agent has sent
  /// nothing since.
  bool AwaitsResponse = false;
  /// The agent is in the balancer's list of agents to check at the next tick.
  bool IsWatched = false;
  TimePoint AwaitingSince{};
  TimePoint LastProbe{};
};

struct Route {
  ServiceId Service = ServiceId::None;
  /// 0 until the first roster is received.
  uint64_t RosterVersion = 0;
  /// Invariant: sorted by id, no id twice, as in the roster.
  std::vector<AgentSlot> Agents;
  Roster CurrentRoster;
  /// The highest version of the roster received or mentioned in a reply.
  uint64_t HighestMentionedVersion = 0;
  /// When the roster was last requested, if ever.
  std::optional<TimePoint> LastRequested;

  AgentSlot *find(AgentId Id);
  AgentSlot *findByAddress(Endpoint Data);
  /// The flow's home, by rendezvous hashing among the agents that accept new
  /// flows; nullptr if there are none. Suspected agents are skipped unless all
  /// of these agents are suspected.
  AgentSlot *home(uint64_t FlowHash);

  /// Rebuilds Agents. Observations about an agent are kept if it is still the
  /// same incarnation at the same address and reachable.
  void rebuild(const Settings &CurrentSettings,
               const ServiceSettings &CurrentService);
};

} // namespace dragonflystall

#endif
