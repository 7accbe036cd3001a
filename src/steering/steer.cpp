// A caller's packet: the flow's holder from the cache, else the flow's home.
#include "balancerstate.h"
#include "types/check.h"

namespace dragonflystall {

namespace {

/// Packets that wait for a roster, and for how long: long enough for a read of
/// the platform, and shorter than a caller's retransmission timeout.
constexpr size_t MaxParked = 256;
constexpr Duration MaxParkedTime = 1s;

} // namespace

Route *BalancerCore::State::routeAt(Endpoint ServiceAddress) {
  const AddressMap::Index Index = Addresses.find(ServiceAddress);
  return Index == AddressMap::NotFound ? nullptr : &Routes[Index];
}

// Only a holder that can be reached counts. One that is suspected may be cut
// off from this balancer alone, so the home decides about its flows.
AgentSlot *BalancerCore::State::holder(Route &Via, uint64_t FlowHash,
                                       TimePoint Now) {
  const AgentId Id = Cache.find(FlowHash, cacheTime(Now));
  if (Id == AgentId::None)
    return nullptr;
  AgentSlot *Slot = Via.find(Id);
  return Slot && Slot->Reachable && !Slot->Suspected ? Slot : nullptr;
}

Steering BalancerCore::State::steer(const CallerPacket &Packet, TimePoint Now) {
  Steering Result;
  Route *Via = routeAt(Packet.ServiceAddress);
  if (!Via)
    return Result;
  Result.Service = Via->Service;
  Result.RosterVersion = Via->RosterVersion;
  if (OwnZoneOut) {
    Result.Outcome = SteerCounter::OwnZoneOut;
    return Result;
  }
  if (Via->RosterVersion == 0) {
    Result.Outcome = SteerCounter::NoRoster;
    return Result;
  }
  const uint64_t FlowHash = hashFlow({Via->Service, Packet.Caller});
  AgentSlot *Slot = holder(*Via, FlowHash, Now);
  Result.Outcome = SteerCounter::Hit;
  if (!Slot) {
    Slot = Via->home(FlowHash);
    Result.Outcome = Slot ? SteerCounter::Miss : SteerCounter::NoAgent;
  }
  if (!Slot)
    return Result;
  Result.Agent = Slot->Agent.Id;
  Result.To = Slot->Data;
  await(*Via, *Slot, Now);
  return Result;
}

void BalancerCore::State::onCaller(const CallerPacket &Packet, TimePoint Now,
                                   BalancerActions &Out) {
  const Steering Where = steer(Packet, Now);
  if (Where.Outcome == SteerCounter::NoRoster) {
    park(Packet, Now, Out);
    return;
  }
  Counters.add(Where.Outcome);
  if (Where.forwarded())
    forward(Packet, Where, Out);
}

void BalancerCore::State::forward(const CallerPacket &Packet,
                                  const Steering &Where, BalancerActions &Out) {
  check(accepts(Where.To.Ip), "no packet into a zone that is out");
  PacketHeader Header;
  Header.Kind = PacketKind::Request;
  Header.Service = Where.Service;
  Header.ServiceAddress = Packet.ServiceAddress;
  Header.Caller = Packet.Caller;
  Header.Balancer = Self.Data;
  Header.RosterVersion = Where.RosterVersion;
  Out.push_back(SendPacket{Where.To, Header, Packet.Payload});
}

// The first packets to a service cost a read of its roster. Kept for a moment,
// they save their callers a retransmission timeout.
void BalancerCore::State::park(const CallerPacket &Packet, TimePoint Now,
                               BalancerActions &Out) {
  if (Parked.size() < MaxParked) {
    Counters.add(SteerCounter::Parked);
    Parked.push_back({Packet.Caller, Packet.ServiceAddress,
                      std::string(Packet.Payload), Now});
  } else {
    Counters.add(SteerCounter::NoRoster);
  }
  wantRoster(*routeAt(Packet.ServiceAddress), /*Heard=*/0, Now, Out);
}

void BalancerCore::State::releaseParked(TimePoint Now, BalancerActions &Out) {
  std::vector<ParkedPacket> Waiting;
  Waiting.swap(Parked);
  Released.reserve(Waiting.size());
  for (ParkedPacket &Each : Waiting) {
    if (Now - Each.Since > MaxParkedTime) {
      Counters.add(SteerCounter::NoRoster);
      continue;
    }
    const Route *Via = routeAt(Each.ServiceAddress);
    if (Via && Via->RosterVersion == 0) {
      Parked.push_back(std::move(Each));
      continue;
    }
    Released.push_back(std::move(Each));
    const ParkedPacket &Ready = Released.back();
    onCaller({Ready.Caller, Ready.ServiceAddress, Ready.Payload}, Now, Out);
  }
}

} // namespace dragonflystall
