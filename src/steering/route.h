// How packets of one service travel: its agents as the balancer may use them,
// worked out from the roster and the settings whenever one of them changes.
#ifndef DRAGONFLYSTALL_SRC_STEERING_ROUTE_H
#define DRAGONFLYSTALL_SRC_STEERING_ROUTE_H

#include "dragonflystall/roster.h"
#include "dragonflystall/settings.h"

#include <vector>

namespace dragonflystall {

/// One agent on the hot path.
struct AgentSlot {
  AgentRef Agent;
  Endpoint Data;
  /// The zone that it names is in and its address belongs to that zone. Nothing
  /// is sent to an agent that isn't reachable.
  bool Reachable = false;
  /// It may be a flow's home: serving, in one of the service's zones.
  bool TakesNew = false;
  /// Probes went unanswered.
  bool Suspected = false;
  /// A packet went out and nothing came back since AwaitedSince.
  bool Awaited = false;
  /// In the balancer's list of agents to look after at the next tick.
  bool Listed = false;
  TimePoint AwaitedSince{};
  TimePoint LastProbe{};
};

struct Route {
  ServiceId Service = ServiceId::None;
  /// Version 0 until the first roster came.
  uint64_t RosterVersion = 0;
  /// Invariant: sorted by id, no id twice, as in the roster.
  std::vector<AgentSlot> Agents;
  Roster Known;
  /// The highest roster version that anybody mentioned.
  uint64_t HeardVersion = 0;
  /// When the roster was last asked for, if ever.
  std::optional<TimePoint> Wanted;

  AgentSlot *find(AgentId Id);
  AgentSlot *findByAddress(Endpoint Data);
  /// The flow's home by rendezvous among the agents that take new flows.
  /// Suspects are skipped as long as another agent is left.
  AgentSlot *home(uint64_t FlowHash);

  /// Works the agents out anew; what was observed of an agent stays as long as
  /// it is the same incarnation at the same address.
  void rebuild(const Settings &InForce, const ServiceSettings &Own);
};

} // namespace dragonflystall

#endif
