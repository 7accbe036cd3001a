// Steers callers' packets: to the flow's holder if it is cached, otherwise to
// the flow's home.
#include "balancerstate.h"
#include "types/check.h"

namespace dragonflystall {

namespace {

/// Limits on the packets held until a roster is received. The time allows for a
/// read from the platform, and is shorter than a caller's retransmission
/// timeout.
constexpr size_t MaxParkedPackets = 256;
constexpr Duration MaxParkedTime = 1s;

} // namespace

Route *BalancerCore::State::routeAt(Endpoint ServiceAddress) {
  const AddressMap::Index Index = Addresses.find(ServiceAddress);
  return Index == AddressMap::NotFound ? nullptr : &Routes[Index];
}

// Returns the cached holder only if it is reachable and not suspected. A
// suspected holder may be unreachable from this balancer alone, so packets of
// its flows go to the flow's home, which decides.
AgentSlot *BalancerCore::State::findHolder(Route &ServiceRoute,
                                           uint64_t FlowHash, TimePoint Now) {
  const AgentId Id = Cache.find(FlowHash, cacheTime(Now));
  if (Id == AgentId::None)
    return nullptr;
  AgentSlot *Slot = ServiceRoute.find(Id);
  return Slot && Slot->Reachable && !Slot->Suspected ? Slot : nullptr;
}

Steering BalancerCore::State::steer(const CallerPacket &Packet, TimePoint Now) {
  Steering Result;
  Route *ServiceRoute = routeAt(Packet.ServiceAddress);
  if (!ServiceRoute)
    return Result;
  Result.Service = ServiceRoute->Service;
  Result.RosterVersion = ServiceRoute->RosterVersion;
  if (OwnZoneOut) {
    Result.Outcome = SteerCounter::OwnZoneOut;
    return Result;
  }
  if (ServiceRoute->RosterVersion == 0) {
    Result.Outcome = SteerCounter::NoRoster;
    return Result;
  }
  const uint64_t FlowHash = hashFlow({ServiceRoute->Service, Packet.Caller});
  AgentSlot *Slot = findHolder(*ServiceRoute, FlowHash, Now);
  Result.Outcome = SteerCounter::Hit;
  if (!Slot) {
    Slot = ServiceRoute->home(FlowHash);
    Result.Outcome = Slot ? SteerCounter::Miss : SteerCounter::NoAgent;
  }
  if (!Slot)
    return Result;
  Result.Agent = Slot->Agent.Id;
  Result.To = Slot->Data;
  expectResponse(*ServiceRoute, *Slot, Now);
  return Result;
}

void BalancerCore::State::onCaller(const CallerPacket &Packet, TimePoint Now,
                                   BalancerActions &Out) {
  const Steering Target = steer(Packet, Now);
  if (Target.Outcome == SteerCounter::NoRoster) {
    park(Packet, Now, Out);
    return;
  }
  Counters.add(Target.Outcome);
  if (Target.forwarded())
    forward(Packet, Target, Out);
}

void BalancerCore::State::forward(const CallerPacket &Packet,
                                  const Steering &Target,
                                  BalancerActions &Out) {
  check(accepts(Target.To.Ip),
        "packets are sent only to agents in zones that are in");
  PacketHeader Header;
  Header.Kind = PacketKind::Request;
  Header.Service = Target.Service;
  Header.ServiceAddress = Packet.ServiceAddress;
  Header.Caller = Packet.Caller;
  Header.Balancer = Self.Data;
  Header.RosterVersion = Target.RosterVersion;
  Out.push_back(SendPacket{Target.To, Header, Packet.Payload});
}

// The first packets to a service require a read of its roster. Holding the
// packets until then saves their callers a retransmission timeout.
void BalancerCore::State::park(const CallerPacket &Packet, TimePoint Now,
                               BalancerActions &Out) {
  if (ParkedPackets.size() < MaxParkedPackets) {
    Counters.add(SteerCounter::Parked);
    ParkedPackets.push_back({Packet.Caller, Packet.ServiceAddress,
                             std::string(Packet.Payload), Now});
  } else {
    Counters.add(SteerCounter::NoRoster);
  }
  requestRoster(*routeAt(Packet.ServiceAddress), /*MentionedVersion=*/0, Now,
                Out);
}

void BalancerCore::State::releaseParked(TimePoint Now, BalancerActions &Out) {
  std::vector<ParkedPacket> Pending;
  Pending.swap(ParkedPackets);
  ReleasedPackets.reserve(Pending.size());
  for (ParkedPacket &Packet : Pending) {
    if (Now - Packet.Since > MaxParkedTime) {
      Counters.add(SteerCounter::NoRoster);
      continue;
    }
    const Route *ServiceRoute = routeAt(Packet.ServiceAddress);
    if (ServiceRoute && ServiceRoute->RosterVersion == 0) {
      ParkedPackets.push_back(std::move(Packet));
      continue;
    }
    ReleasedPackets.push_back(std::move(Packet));
    const ParkedPacket &Current = ReleasedPackets.back();
    onCaller({Current.Caller, Current.ServiceAddress, Current.Payload}, Now,
             Out);
  }
}

} // namespace dragonflystall
