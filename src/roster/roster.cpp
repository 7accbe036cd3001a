// Roster updates, and the choice of a flow's home by rendezvous hashing.
#include "dragonflystall/roster.h"

#include <algorithm>
#include <xxhash.h>

namespace dragonflystall {

namespace {

auto lowerBound(std::vector<RosterEntry> &Agents, AgentId Id) {
  return std::lower_bound(
      Agents.begin(), Agents.end(), Id,
      [](const RosterEntry &E, AgentId Wanted) { return E.Agent.Id < Wanted; });
}

} // namespace

const RosterEntry *Roster::find(AgentId Id) const {
  auto It = std::lower_bound(
      Agents.begin(), Agents.end(), Id,
      [](const RosterEntry &E, AgentId Wanted) { return E.Agent.Id < Wanted; });
  if (It == Agents.end() || It->Agent.Id != Id)
    return nullptr;
  return &*It;
}

void upsert(Roster &R, RosterEntry Entry) {
  auto It = lowerBound(R.Agents, Entry.Agent.Id);
  if (It != R.Agents.end() && It->Agent.Id == Entry.Agent.Id)
    *It = std::move(Entry);
  else
    R.Agents.insert(It, std::move(Entry));
}

bool removeAgent(Roster &R, AgentRef Agent) {
  auto It = lowerBound(R.Agents, Agent.Id);
  if (It == R.Agents.end() || It->Agent != Agent)
    return false;
  R.Agents.erase(It);
  return true;
}

uint64_t rendezvousWeight(uint64_t FlowHash, AgentId Id) {
  return XXH3_64bits_withSeed(&FlowHash, sizeof(FlowHash),
                              static_cast<uint64_t>(Id));
}

const RosterEntry *
homeOf(const Roster &R, const FlowKey &Flow,
       const std::function<bool(const RosterEntry &)> &Eligible) {
  const uint64_t Hash = hashFlow(Flow);
  const RosterEntry *Best = nullptr;
  uint64_t BestWeight = 0;
  for (const RosterEntry &Entry : R.Agents) {
    if (!Eligible(Entry))
      continue;
    const uint64_t Weight = rendezvousWeight(Hash, Entry.Agent.Id);
    if (Best && Weight <= BestWeight)
      continue;
    Best = &Entry;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace dragonflystall
