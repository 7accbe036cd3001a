// The private state of BalancerCore, shared by the sources that implement it:
// steering, answers, updates and detection of failed agents.
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATE_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATE_H

#include "steering/addressmap.h"
#include "steering/balancercore.h"
#include "steering/flowcache.h"
#include "steering/route.h"

namespace dragonflystall {

/// A caller's packet, held until its service's roster is received.
struct ParkedPacket {
  Endpoint Caller;
  Endpoint ServiceAddress;
  std::string Payload;
  TimePoint Since;
};

/// An agent that is checked at each tick because it has not responded or is
/// suspected.
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
  SettingsPtr CurrentSettings = std::make_shared<Settings>();
  bool OwnZoneOut = false;
  /// Networks of the zones that are in.
  std::vector<Network> AcceptedNetworks;
  /// Invariant: parallel to CurrentSettings->Services.
  std::vector<Route> Routes;
  AddressMap Addresses;
  std::vector<WatchedAgent> Watched;
  std::vector<ParkedPacket> ParkedPackets;
  /// Owns the payloads that the actions of the last call borrow.
  std::vector<ParkedPacket> ReleasedPackets;

  Route *routeAt(Endpoint ServiceAddress);
  Route *route(ServiceId Service);

  // steer.cpp
  Steering steer(const CallerPacket &Packet, TimePoint Now);
  AgentSlot *findHolder(Route &ServiceRoute, uint64_t FlowHash, TimePoint Now);
  void onCaller(const CallerPacket &Packet, TimePoint Now,
                BalancerActions &Out);
  void forward(const CallerPacket &Packet, const Steering &Target,
               BalancerActions &Out);
  void park(const CallerPacket &Packet, TimePoint Now, BalancerActions &Out);
  void releaseParked(TimePoint Now, BalancerActions &Out);

  // answer.cpp
  void onInternal(const InternalPacket &Packet, TimePoint Now,
                  BalancerActions &Out);
  void onReply(const InternalPacket &Packet, TimePoint Now,
               BalancerActions &Out);
  void learnHolder(const PacketHeader &Header, Route &ServiceRoute,
                   TimePoint Now);

  // update.cpp
  void onSettings(const SettingsPtr &NewSettings, TimePoint Now,
                  BalancerActions &Out);
  void onRoster(const Roster &NewRoster, TimePoint Now, BalancerActions &Out);
  void requestRoster(Route &ServiceRoute, uint64_t MentionedVersion,
                     TimePoint Now, BalancerActions &Out);
  bool accepts(uint32_t Ip) const;

  // failuredetection.cpp
  void expectResponse(Route &ServiceRoute, AgentSlot &Slot, TimePoint Now);
  void onAgentResponse(Route &ServiceRoute, Endpoint From,
                       BalancerActions &Out);
  void onTick(TimePoint Now, BalancerActions &Out);
  bool checkSilence(Route &ServiceRoute, AgentSlot &Slot, TimePoint Now,
                    BalancerActions &Out);
  void probe(Route &ServiceRoute, AgentSlot &Slot, TimePoint Now,
             BalancerActions &Out);
};

/// Converts a time to the cache's clock, which counts whole seconds.
inline FlowCache::Seconds cacheTime(TimePoint Now) {
  return static_cast<FlowCache::Seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count());
}

} // namespace dragonflystall

#endif
