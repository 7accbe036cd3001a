// Handles packets on the internal port: forwards answers to callers, and learns
// from them about flow holders, roster versions and agents' health.
#include "balancerstate.h"

namespace dragonflystall {

void BalancerCore::State::onInternal(const InternalPacket &Packet,
                                     TimePoint Now, BalancerActions &Out) {
  if (!accepts(Packet.From.Ip)) {
    Counters.add(SteerCounter::ForeignSender);
    return;
  }
  switch (Packet.Header.Kind) {
  case PacketKind::Reply:
    onReply(Packet, Now, Out);
    return;
  case PacketKind::ProbeReply:
    if (Route *ServiceRoute = route(Packet.Header.Service))
      onAgentResponse(*ServiceRoute, Packet.From, Out);
    return;
  case PacketKind::Request:
  case PacketKind::Probe:
    Counters.add(SteerCounter::Unexpected);
    return;
  }
}

// The service address may have been assigned to another service since the
// request. The caller then addressed a service other than the answering one, so
// the answer is dropped.
void BalancerCore::State::onReply(const InternalPacket &Packet, TimePoint Now,
                                  BalancerActions &Out) {
  const PacketHeader &Header = Packet.Header;
  Route *ServiceRoute = routeAt(Header.ServiceAddress);
  if (!ServiceRoute || ServiceRoute->Service != Header.Service ||
      !Header.Caller) {
    Counters.add(SteerCounter::WrongService);
    return;
  }
  onAgentResponse(*ServiceRoute, Packet.From, Out);
  learnHolder(Header, *ServiceRoute, Now);
  if (Header.RosterVersion > ServiceRoute->RosterVersion)
    requestRoster(*ServiceRoute, Header.RosterVersion, Now, Out);
  if (Packet.Payload.empty())
    return;
  Counters.add(SteerCounter::Reply);
  Out.push_back(
      SendToCaller{Header.Caller, Header.ServiceAddress, Packet.Payload});
}

// A late answer may name a holder that has since left the roster; such a holder
// is not cached. A holder that is unknown here only because this balancer's
// roster is older than the agent's is cached.
void BalancerCore::State::learnHolder(const PacketHeader &Header,
                                      Route &ServiceRoute, TimePoint Now) {
  const uint64_t FlowHash = hashFlow(flowOf(Header));
  if (Header.Holder == AgentId::None) {
    Cache.erase(FlowHash);
    return;
  }
  const bool RosterIsOlder = Header.RosterVersion > ServiceRoute.RosterVersion;
  if (RosterIsOlder || ServiceRoute.find(Header.Holder))
    Cache.store(FlowHash, Header.Holder, cacheTime(Now));
}

} // namespace dragonflystall
