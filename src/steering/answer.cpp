// Packets on the internal port: answers on their way to callers, and what they
// tell about flows, rosters and agents.
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
    if (Route *Via = route(Packet.Header.Service))
      onHeard(*Via, Packet.From, Out);
    return;
  case PacketKind::Request:
  case PacketKind::Probe:
    Counters.add(SteerCounter::Unexpected);
    return;
  }
}

// The address may have changed hands since the request: then the caller asked
// another service than the one that answers, and must not see the answer.
void BalancerCore::State::onReply(const InternalPacket &Packet, TimePoint Now,
                                  BalancerActions &Out) {
  const PacketHeader &Header = Packet.Header;
  Route *Via = routeAt(Header.ServiceAddress);
  if (!Via || Via->Service != Header.Service || !Header.Caller) {
    Counters.add(SteerCounter::WrongService);
    return;
  }
  onHeard(*Via, Packet.From, Out);
  learnHolder(Header, *Via, Now);
  if (Header.RosterVersion > Via->RosterVersion)
    wantRoster(*Via, Header.RosterVersion, Now, Out);
  if (Packet.Payload.empty())
    return;
  Counters.add(SteerCounter::Reply);
  Out.push_back(
      SendToCaller{Header.Caller, Header.ServiceAddress, Packet.Payload});
}

// A late answer may name an agent that has left since; an agent that is only
// missing here, because the roster here is older, is worth keeping.
void BalancerCore::State::learnHolder(const PacketHeader &Header, Route &Via,
                                      TimePoint Now) {
  const uint64_t FlowHash = hashFlow(flowOf(Header));
  if (Header.Holder == AgentId::None) {
    Cache.erase(FlowHash);
    return;
  }
  const bool Newer = Header.RosterVersion > Via.RosterVersion;
  if (Newer || Via.find(Header.Holder))
    Cache.store(FlowHash, Header.Holder, cacheTime(Now));
}

} // namespace dragonflystall
