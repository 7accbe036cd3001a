// Settings, rosters and replies of a small deployment, for tests of the
// balancer. It has three zones, each a /24 network.
#ifndef DRAGONFLYSTALL_SRC_STEERING_TESTDEPLOYMENT_H
#define DRAGONFLYSTALL_SRC_STEERING_TESTDEPLOYMENT_H

#include "steering/balancercore.h"

#include <algorithm>

namespace dragonflystall::testing {

constexpr uint32_t ZoneCount = 3;

inline std::string zoneName(uint32_t Zone) {
  return "zone-" + std::to_string(Zone);
}

/// 127.1.ZONE.HOST
inline Endpoint address(uint32_t Zone, uint32_t Host, uint16_t Port = 7000) {
  return {(127U << 24) | (1U << 16) | (Zone << 8) | Host, Port};
}

/// 127.1.100.NUMBER:5683
inline Endpoint serviceAddress(uint32_t Number) {
  return address(100, Number, 5683);
}

inline Endpoint callerAddress(uint32_t Number) {
  return {(10U << 24) | (Number >> 12),
          static_cast<uint16_t>(1 + Number % 4096)};
}

inline ServiceSettings service(const std::string &Name,
                               std::vector<Endpoint> Addresses) {
  ServiceSettings Result;
  Result.Team = "team";
  Result.Name = Name;
  Result.Id = serviceId(Result.Team, Name);
  Result.Addresses = std::move(Addresses);
  return Result;
}

inline Settings settings(uint64_t Version,
                         std::vector<ServiceSettings> Services) {
  Settings Result;
  Result.Version = Version;
  Result.Services = std::move(Services);
  std::sort(Result.Services.begin(), Result.Services.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  for (uint32_t Zone = 0; Zone < ZoneCount; ++Zone)
    Result.Zones.push_back(
        {zoneName(Zone), false, {Network{address(Zone, 0).Ip, 24}}});
  return Result;
}

inline SettingsUpdate update(const Settings &Value) {
  return {std::make_shared<Settings>(Value)};
}

inline RosterEntry agent(uint32_t Zone, uint32_t Host) {
  RosterEntry Entry;
  Entry.Name = "agent-" + std::to_string(Zone) + "-" + std::to_string(Host);
  Entry.Agent = {agentId(Entry.Name), Incarnation{1}};
  Entry.Zone = zoneName(Zone);
  Entry.Data = address(Zone, Host);
  Entry.Control = address(Zone, Host, 7001);
  return Entry;
}

inline Roster roster(const std::string &Service, uint64_t Version,
                     const std::vector<RosterEntry> &Agents) {
  Roster Result;
  Result.Team = "team";
  Result.Name = Service;
  Result.Service = serviceId(Result.Team, Service);
  Result.Version = Version;
  for (const RosterEntry &Entry : Agents)
    upsert(Result, Entry);
  return Result;
}

/// An agent's answer to a caller, as the balancer receives it.
inline InternalPacket reply(const RosterEntry &From, ServiceId Service,
                            Endpoint ServiceAddress, Endpoint Caller,
                            uint64_t RosterVersion) {
  PacketHeader Header;
  Header.Kind = PacketKind::Reply;
  Header.Service = Service;
  Header.ServiceAddress = ServiceAddress;
  Header.Caller = Caller;
  Header.RosterVersion = RosterVersion;
  Header.Holder = From.Agent.Id;
  return {From.Data, Header, "answer"};
}

} // namespace dragonflystall::testing

#endif
