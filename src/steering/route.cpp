// Choosing among a service's agents, and keeping them in step with the roster
// and the settings.
#include "route.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool mayServe(const ServiceSettings &Service, const std::string &Zone) {
  return Service.Zones.empty() ||
         std::find(Service.Zones.begin(), Service.Zones.end(), Zone) !=
             Service.Zones.end();
}

// An agent that names a zone which is in, but has its address in another one,
// is not believed: that other zone may be out.
bool reachable(const Settings &InForce, const RosterEntry &Entry) {
  const ZoneSettings *Zone = InForce.zoneOf(Entry.Data.Ip);
  return Zone && Zone->Name == Entry.Zone && !Zone->Out;
}

AgentSlot slotFor(const RosterEntry &Entry, const Settings &InForce,
                  const ServiceSettings &Service) {
  AgentSlot Slot;
  Slot.Agent = Entry.Agent;
  Slot.Data = Entry.Data;
  Slot.Reachable = reachable(InForce, Entry);
  Slot.TakesNew = Slot.Reachable && Entry.Phase == AgentPhase::Serving &&
                  mayServe(Service, Entry.Zone);
  return Slot;
}

void keepObservations(AgentSlot &Slot, const AgentSlot &Before) {
  if (Slot.Agent != Before.Agent || Slot.Data != Before.Data || !Slot.Reachable)
    return;
  Slot.Suspected = Before.Suspected;
  Slot.Awaited = Before.Awaited;
  Slot.Listed = Before.Listed;
  Slot.AwaitedSince = Before.AwaitedSince;
  Slot.LastProbe = Before.LastProbe;
}

} // namespace

AgentSlot *Route::find(AgentId Id) {
  // About ten agents: a scan is faster than a search by halves.
  for (AgentSlot &Slot : Agents)
    if (Slot.Agent.Id == Id)
      return &Slot;
  return nullptr;
}

AgentSlot *Route::findByAddress(Endpoint Data) {
  for (AgentSlot &Slot : Agents)
    if (Slot.Data == Data)
      return &Slot;
  return nullptr;
}

AgentSlot *Route::home(uint64_t FlowHash) {
  AgentSlot *Best = nullptr;
  uint64_t BestWeight = 0;
  for (AgentSlot &Slot : Agents) {
    if (!Slot.TakesNew || (Best && Slot.Suspected && !Best->Suspected))
      continue;
    const uint64_t Weight = rendezvousWeight(FlowHash, Slot.Agent.Id);
    const bool Trusted = Best && Best->Suspected && !Slot.Suspected;
    if (Best && !Trusted && Weight <= BestWeight)
      continue;
    Best = &Slot;
    BestWeight = Weight;
  }
  return Best;
}

void Route::rebuild(const Settings &InForce, const ServiceSettings &Own) {
  std::vector<AgentSlot> Fresh;
  Fresh.reserve(Known.Agents.size());
  for (const RosterEntry &Entry : Known.Agents) {
    Fresh.push_back(slotFor(Entry, InForce, Own));
    if (const AgentSlot *Before = find(Entry.Agent.Id))
      keepObservations(Fresh.back(), *Before);
  }
  Agents = std::move(Fresh);
  RosterVersion = Known.Version;
  HeardVersion = std::max(HeardVersion, RosterVersion);
}

} // namespace dragonflystall
