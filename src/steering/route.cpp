// Chooses among a service's agents, and updates them from the roster and the
// settings.
#include "route.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool servesInZone(const ServiceSettings &Service, const std::string &Zone) {
  return Service.Zones.empty() ||
         std::find(Service.Zones.begin(), Service.Zones.end(), Zone) !=
             Service.Zones.end();
}

// An agent whose address lies in a zone other than the one its roster entry
// names is not reachable: the zone of the address may be out.
bool isReachable(const Settings &CurrentSettings, const RosterEntry &Entry) {
  const ZoneSettings *Zone = CurrentSettings.zoneOf(Entry.Data.Ip);
  return Zone && Zone->Name == Entry.Zone && !Zone->Evacuated;
}

AgentSlot slotFor(const RosterEntry &Entry, const Settings &CurrentSettings,
                  const ServiceSettings &Service) {
  AgentSlot Slot;
  Slot.Agent = Entry.Agent;
  Slot.Data = Entry.Data;
  Slot.Reachable = isReachable(CurrentSettings, Entry);
  Slot.AcceptsNewFlows = Slot.Reachable && Entry.Phase == AgentPhase::Serving &&
                         servesInZone(Service, Entry.Zone);
  return Slot;
}

void keepObservations(AgentSlot &Slot, const AgentSlot &Previous) {
  if (Slot.Agent != Previous.Agent || Slot.Data != Previous.Data ||
      !Slot.Reachable)
    return;
  Slot.Suspected = Previous.Suspected;
  Slot.AwaitsResponse = Previous.AwaitsResponse;
  Slot.IsWatched = Previous.IsWatched;
  Slot.AwaitingSince = Previous.AwaitingSince;
  Slot.LastProbe = Previous.LastProbe;
}

} // namespace

AgentSlot *Route::find(AgentId Id) {
  // Services have about ten agents: a linear scan beats a binary search.
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
    if (!Slot.AcceptsNewFlows || (Best && Slot.Suspected && !Best->Suspected))
      continue;
    const uint64_t Weight = rendezvousWeight(FlowHash, Slot.Agent.Id);
    const bool ReplacesSuspect = Best && Best->Suspected && !Slot.Suspected;
    if (Best && !ReplacesSuspect && Weight <= BestWeight)
      continue;
    Best = &Slot;
    BestWeight = Weight;
  }
  return Best;
}

void Route::rebuild(const Settings &CurrentSettings,
                    const ServiceSettings &CurrentService) {
  std::vector<AgentSlot> Rebuilt;
  Rebuilt.reserve(CurrentRoster.Agents.size());
  for (const RosterEntry &Entry : CurrentRoster.Agents) {
    Rebuilt.push_back(slotFor(Entry, CurrentSettings, CurrentService));
    if (const AgentSlot *Previous = find(Entry.Agent.Id))
      keepObservations(Rebuilt.back(), *Previous);
  }
  Agents = std::move(Rebuilt);
  RosterVersion = CurrentRoster.Version;
  HighestMentionedVersion = std::max(HighestMentionedVersion, RosterVersion);
}

} // namespace dragonflystall
