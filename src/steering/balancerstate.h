// The state behind BalancerCore, shared by the sources that implement it:
// steering, answers, updates and the watch over silent agents.
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATE_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATE_H

#include "steering/addressmap.h"
#include "steering/balancercore.h"
#include "steering/flowcache.h"
#include "steering/route.h"

namespace dragonflystall {

/// A packet that waits for its service's roster.
struct ParkedPacket {
  Endpoint Caller;
  Endpoint ServiceAddress;
  std::string Payload;
  TimePoint Since;
};

/// Names an agent whose silence or suspicion is looked after at each tick.
struct WatchedAgent {
  ServiceId Service = ServiceId::None;
  AgentId Agent = AgentId::None;
};

struct BalancerCore::State {
  explicit State(BalancerIdentity Identity)
      : Self(std::move(Identity)), Cache(Self.FlowCapacity) {}

  BalancerIdentity Self;
  FlowCache Cache;
  SteerCounters Counters;
  SettingsPtr InForce = std::make_shared<Settings>();
  bool OwnZoneOut = false;
  /// Networks of the zones that are in.
  std::vector<Network> Accepted;
  /// Invariant: parallel to InForce->Services.
  std::vector<Route> Routes;
  AddressMap Addresses;
  std::vector<WatchedAgent> Watched;
  std::vector<ParkedPacket> Parked;
  /// Packets whose payload the actions of the last call borrow.
  std::vector<ParkedPacket> Released;

  Route *routeAt(Endpoint ServiceAddress);
  Route *route(ServiceId Service);

  // steer.cpp
  Steering steer(const CallerPacket &Packet, TimePoint Now);
  AgentSlot *holder(Route &Via, uint64_t FlowHash, TimePoint Now);
  void onCaller(const CallerPacket &Packet, TimePoint Now,
                BalancerActions &Out);
  void forward(const CallerPacket &Packet, const Steering &Where,
               BalancerActions &Out);
  void park(const CallerPacket &Packet, TimePoint Now, BalancerActions &Out);
  void releaseParked(TimePoint Now, BalancerActions &Out);

  // answer.cpp
  void onInternal(const InternalPacket &Packet, TimePoint Now,
                  BalancerActions &Out);
  void onReply(const InternalPacket &Packet, TimePoint Now,
               BalancerActions &Out);
  void learnHolder(const PacketHeader &Header, Route &Via, TimePoint Now);

  // update.cpp
  void onSettings(const SettingsPtr &Value, TimePoint Now,
                  BalancerActions &Out);
  void onRoster(const Roster &Value, TimePoint Now, BalancerActions &Out);
  void wantRoster(Route &Via, uint64_t Heard, TimePoint Now,
                  BalancerActions &Out);
  bool accepts(uint32_t Ip) const;

  // silence.cpp
  void await(Route &Via, AgentSlot &Slot, TimePoint Now);
  void onHeard(Route &Via, Endpoint From, BalancerActions &Out);
  void onTick(TimePoint Now, BalancerActions &Out);
  bool lookAfter(Route &Via, AgentSlot &Slot, TimePoint Now,
                 BalancerActions &Out);
  void probe(Route &Via, AgentSlot &Slot, TimePoint Now, BalancerActions &Out);
};

/// The cache's coarse clock.
inline FlowCache::Seconds cacheTime(TimePoint Now) {
  return static_cast<FlowCache::Seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count());
}

} // namespace dragonflystall

#endif
