// A service's roster: the agents that have registered, stored in one object of
// the platform, and the choice of a flow's home among them.
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
  Endpoint Data;    ///< UDP: packets of flows.
  Endpoint Control; ///< ZeroMQ over TCP: messages between processes.
  AgentPhase Phase = AgentPhase::Serving;
  uint32_t Slots = 0;       ///< Requests that the upstream runs concurrently.
  uint32_t Connections = 0; ///< Most flows that the upstream holds.
  friend bool operator==(const RosterEntry &, const RosterEntry &) = default;
};

struct Roster {
  ServiceId Service = ServiceId::None;
  std::string Team;
  std::string Name;
  /// The platform's version of the object; 0 when it has never been read.
  uint64_t Version = 0;
  /// Invariant: sorted by id, ids are unique.
  std::vector<RosterEntry> Agents;

  const RosterEntry *find(AgentId Id) const;
  friend bool operator==(const Roster &, const Roster &) = default;
};

/// Replaces the entry with the same id, or inserts a new one in order of id.
void upsert(Roster &R, RosterEntry Entry);
/// Removes the entry only if it has the same incarnation. Returns whether it
/// did.
bool removeAgent(Roster &R, AgentRef Agent);

/// The flow's home: the agent with the highest rendezvous weight for the flow
/// among those that Eligible accepts; nullptr when it accepts none.
const RosterEntry *
homeOf(const Roster &R, const FlowKey &Flow,
       const std::function<bool(const RosterEntry &)> &Eligible);

/// The rendezvous weight of an agent for a flow hash, equal in every process.
uint64_t rendezvousWeight(uint64_t FlowHash, AgentId Id);

} // namespace dragonflystall

#endif
