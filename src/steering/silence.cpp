// Passive failure detection: an agent that got packets and sends nothing back
// is probed, and suspected when the probes stay unanswered too. A suspicion is
// this balancer's own opinion; it removes nobody from a roster.
#include "balancerstate.h"
#include "types/check.h"

namespace dragonflystall {

namespace {

/// Silence after a packet before the first probe.
constexpr Duration ProbeAfter = 500ms;
constexpr Duration ProbeInterval = 200ms;
/// Silence after a packet before the agent is suspected: five lost probes.
constexpr Duration SuspectAfter = 1500ms;
/// Suspects are probed more slowly, to see them come back.
constexpr Duration SuspectProbeInterval = 1s;

Event about(EventKind Kind, const Route &Via, const AgentSlot &Slot) {
  Event What;
  What.Kind = Kind;
  What.Flow.Service = Via.Service;
  What.Agent = Slot.Agent.Id;
  return What;
}

} // namespace

void BalancerCore::State::await(Route &Via, AgentSlot &Slot, TimePoint Now) {
  if (Slot.Awaited)
    return;
  Slot.Awaited = true;
  Slot.AwaitedSince = Now;
  if (Slot.Listed)
    return;
  Slot.Listed = true;
  Watched.push_back({Via.Service, Slot.Agent.Id});
}

void BalancerCore::State::onHeard(Route &Via, Endpoint From,
                                  BalancerActions &Out) {
  AgentSlot *Slot = Via.findByAddress(From);
  if (!Slot)
    return;
  Slot->Awaited = false;
  if (!Slot->Suspected)
    return;
  Slot->Suspected = false;
  Out.push_back(about(EventKind::AgentTrusted, Via, *Slot));
}

void BalancerCore::State::onTick(TimePoint Now, BalancerActions &Out) {
  Cache.sweep(cacheTime(Now));
  releaseParked(Now, Out);
  std::vector<WatchedAgent> Still;
  for (const WatchedAgent &Each : Watched) {
    Route *Via = route(Each.Service);
    AgentSlot *Slot = Via ? Via->find(Each.Agent) : nullptr;
    // Not listed: another incarnation took the place of the watched one.
    if (!Slot || !Slot->Listed)
      continue;
    Slot->Listed = lookAfter(*Via, *Slot, Now, Out);
    if (Slot->Listed)
      Still.push_back(Each);
  }
  Watched = std::move(Still);
}

/// Returns whether the agent stays watched.
bool BalancerCore::State::lookAfter(Route &Via, AgentSlot &Slot, TimePoint Now,
                                    BalancerActions &Out) {
  if (!Slot.Reachable || (!Slot.Awaited && !Slot.Suspected))
    return false;
  const Duration Silence = Now - Slot.AwaitedSince;
  if (!Slot.Suspected && Silence >= SuspectAfter) {
    Slot.Suspected = true;
    Out.push_back(about(EventKind::AgentSuspected, Via, Slot));
  }
  const Duration Interval =
      Slot.Suspected ? SuspectProbeInterval : ProbeInterval;
  if (Silence >= ProbeAfter && Now - Slot.LastProbe >= Interval)
    probe(Via, Slot, Now, Out);
  return true;
}

void BalancerCore::State::probe(Route &Via, AgentSlot &Slot, TimePoint Now,
                                BalancerActions &Out) {
  check(Slot.Reachable && accepts(Slot.Data.Ip),
        "no packet into a zone that is out");
  Slot.LastProbe = Now;
  Counters.add(SteerCounter::Probe);
  PacketHeader Header;
  Header.Kind = PacketKind::Probe;
  Header.Service = Via.Service;
  const std::vector<Endpoint> &Addresses =
      InForce->service(Via.Service)->Addresses;
  if (!Addresses.empty())
    Header.ServiceAddress = Addresses.front();
  Header.Balancer = Self.Data;
  Header.RosterVersion = Via.RosterVersion;
  Out.push_back(SendPacket{Slot.Data, Header, {}});
}

} // namespace dragonflystall
