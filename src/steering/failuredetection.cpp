// Passive failure detection: an agent that was sent packets and sends nothing
// back is probed, and suspected if it does not answer the probes either.
// Suspicion is local to this balancer; it does not remove the agent from a
// roster.
#include "balancerstate.h"
#include "types/check.h"

namespace dragonflystall {

namespace {

/// Time without a response after a packet until the first probe is sent.
constexpr Duration ProbeAfter = 500ms;
constexpr Duration ProbeInterval = 200ms;
/// Time without a response after a packet until the agent is suspected: five
/// probes unanswered.
constexpr Duration SuspectAfter = 1500ms;
/// Suspected agents are still probed, more slowly, to detect their recovery.
constexpr Duration SuspectProbeInterval = 1s;

Event agentEvent(EventKind Kind, const Route &ServiceRoute,
                 const AgentSlot &Slot) {
  Event Result;
  Result.Kind = Kind;
  Result.Flow.Service = ServiceRoute.Service;
  Result.Agent = Slot.Agent.Id;
  return Result;
}

} // namespace

void BalancerCore::State::expectResponse(Route &ServiceRoute, AgentSlot &Slot,
                                         TimePoint Now) {
  if (Slot.AwaitsResponse)
    return;
  Slot.AwaitsResponse = true;
  Slot.AwaitingSince = Now;
  if (Slot.IsWatched)
    return;
  Slot.IsWatched = true;
  Watched.push_back({ServiceRoute.Service, Slot.Agent.Id});
}

void BalancerCore::State::onAgentResponse(Route &ServiceRoute, Endpoint From,
                                          BalancerActions &Out) {
  AgentSlot *Slot = ServiceRoute.findByAddress(From);
  if (!Slot)
    return;
  Slot->AwaitsResponse = false;
  if (!Slot->Suspected)
    return;
  Slot->Suspected = false;
  Out.push_back(agentEvent(EventKind::AgentTrusted, ServiceRoute, *Slot));
}

void BalancerCore::State::onTick(TimePoint Now, BalancerActions &Out) {
  Cache.sweep(cacheTime(Now));
  releaseParked(Now, Out);
  std::vector<WatchedAgent> StillWatched;
  for (const WatchedAgent &Watch : Watched) {
    Route *ServiceRoute = route(Watch.Service);
    AgentSlot *Slot = ServiceRoute ? ServiceRoute->find(Watch.Agent) : nullptr;
    // Not watched: a new incarnation has replaced the watched one.
    if (!Slot || !Slot->IsWatched)
      continue;
    Slot->IsWatched = checkSilence(*ServiceRoute, *Slot, Now, Out);
    if (Slot->IsWatched)
      StillWatched.push_back(Watch);
  }
  Watched = std::move(StillWatched);
}

/// Returns whether the agent must be checked again at the next tick.
bool BalancerCore::State::checkSilence(Route &ServiceRoute, AgentSlot &Slot,
                                       TimePoint Now, BalancerActions &Out) {
  if (!Slot.Reachable || (!Slot.AwaitsResponse && !Slot.Suspected))
    return false;
  const Duration SilentTime = Now - Slot.AwaitingSince;
  if (!Slot.Suspected && SilentTime >= SuspectAfter) {
    Slot.Suspected = true;
    Out.push_back(agentEvent(EventKind::AgentSuspected, ServiceRoute, Slot));
  }
  const Duration Interval =
      Slot.Suspected ? SuspectProbeInterval : ProbeInterval;
  if (SilentTime >= ProbeAfter && Now - Slot.LastProbe >= Interval)
    probe(ServiceRoute, Slot, Now, Out);
  return true;
}

void BalancerCore::State::probe(Route &ServiceRoute, AgentSlot &Slot,
                                TimePoint Now, BalancerActions &Out) {
  check(Slot.Reachable && accepts(Slot.Data.Ip),
        "probes are sent only to agents in zones that are in");
  Slot.LastProbe = Now;
  Counters.add(SteerCounter::Probe);
  PacketHeader Header;
  Header.Kind = PacketKind::Probe;
  Header.Service = ServiceRoute.Service;
  const std::vector<Endpoint> &Addresses =
      CurrentSettings->service(ServiceRoute.Service)->Addresses;
  if (!Addresses.empty())
    Header.ServiceAddress = Addresses.front();
  Header.Balancer = Self.Data;
  Header.RosterVersion = ServiceRoute.RosterVersion;
  Out.push_back(SendPacket{Slot.Data, Header, {}});
}

} // namespace dragonflystall
