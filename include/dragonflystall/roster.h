// A service's roster: the agents that announced themselves, as kept in one
// platform object, and the flow's home among them.
#ifndef DRAGONFLYSTALL_ROSTER_H
#define DRAGONFLYSTALL_ROSTER_H

#include "dragonflystall/types.h"

#include <functional>
#include <string>
#include <vector>

namespace dragonflystall {

struct RosterEntry {
  AgentRef Agent;
  std::string Name;
  std::string Zone;
  Endpoint Data;    ///< UDP, packets of flows.
  Endpoint Control; ///< ZeroMQ over TCP, messages between processes.
  AgentPhase Phase = AgentPhase::Serving;
  uint32_t Slots = 0;       ///< Requests that the upstream runs at once.
  uint32_t Connections = 0; ///< Flows that the upstream may hold.
  friend bool operator==(const RosterEntry &, const RosterEntry &) = default;
};

struct Roster {
  ServiceId Service = ServiceId::None;
  std::string Team;
  std::string Name;
  /// The platform's version of the object; 0 when none was ever read.
  uint64_t Version = 0;
  /// Invariant: sorted by id, no id twice.
  std::vector<RosterEntry> Agents;

  const RosterEntry *find(AgentId Id) const;
  friend bool operator==(const Roster &, const Roster &) = default;
};

/// Keeps the invariant: replaces the entry of the same id, or inserts.
void upsert(Roster &R, RosterEntry Entry);
/// Removes the entry only if this very incarnation is listed.
bool removeAgent(Roster &R, AgentRef Agent);

/// The agent whose rendezvous weight for the flow is the highest among those
/// that Eligible accepts; nullptr when it accepts none.
const RosterEntry *
homeOf(const Roster &R, const FlowKey &Flow,
       const std::function<bool(const RosterEntry &)> &Eligible);

/// The rendezvous weight of an agent for a flow hash, the same everywhere.
uint64_t rendezvousWeight(uint64_t FlowHash, AgentId Id);

} // namespace dragonflystall

#endif
