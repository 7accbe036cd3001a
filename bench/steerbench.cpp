// The steering speed of the balancer's core, and the number of flows whose home
// changes when an agent joins.
#include "bench.h"
#include "oneservice.h"

#include "steering/balancercore.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace dragonflystall::bench {

namespace {

constexpr uint32_t AgentCount = 10;
constexpr uint32_t FewFlows = 5'000;
constexpr uint32_t ManyFlows = 500'000;
constexpr uint32_t Decisions = 5'000'000;
/// The number of packets that one system call receives.
constexpr size_t BatchSize = 64;
const Endpoint ServiceAddress{0x7f016401, 5683};
const TimePoint Now{1s};

RosterEntry agentNumber(uint32_t Number) {
  RosterEntry Entry;
  Entry.Name = fmt::format("agent-{}", Number);
  Entry.Agent = {agentId(Entry.Name), Incarnation{1}};
  Entry.Zone = "zone";
  Entry.Data = {0x7f01010a + Number, 7000};
  return Entry;
}

Roster rosterOf(uint32_t Count) {
  Roster Result;
  Result.Service = serviceId("team", "service");
  Result.Version = 1;
  for (uint32_t I = 0; I < Count; ++I)
    upsert(Result, agentNumber(I));
  return Result;
}

Endpoint callerNumber(uint32_t Number) {
  return {0x0a000000 + (Number >> 12),
          static_cast<uint16_t>(1024 + (Number & 0xfff))};
}

void prepare(BalancerCore &Core) {
  BalancerActions Ignored;
  Core.handle(SettingsUpdate{oneService({0x7f010100, 24}, ServiceAddress)}, Now,
              Ignored);
  Core.handle(RosterUpdate{rosterOf(AgentCount)}, Now, Ignored);
}

/// Feeds an answer for each flow, from which the core learns its holder.
void learnFlows(BalancerCore &Core, uint32_t Flows) {
  const Roster Agents = rosterOf(AgentCount);
  BalancerActions Ignored;
  for (uint32_t I = 0; I < Flows; ++I) {
    const RosterEntry &Holder = Agents.Agents[I % AgentCount];
    PacketHeader Header;
    Header.Kind = PacketKind::Reply;
    Header.Service = Agents.Service;
    Header.ServiceAddress = ServiceAddress;
    Header.Caller = callerNumber(I);
    Header.RosterVersion = 1;
    Header.Holder = Holder.Agent.Id;
    Ignored.clear();
    Core.handle(InternalPacket{Holder.Data, Header, "x"}, Now, Ignored);
  }
}

/// One packet of each flow, in random order.
std::vector<CallerPacket> packetsOf(uint32_t Flows) {
  std::vector<CallerPacket> Packets;
  for (uint32_t I = 0; I < Flows; ++I)
    Packets.push_back({callerNumber(I), ServiceAddress, {}});
  std::shuffle(Packets.begin(), Packets.end(), std::mt19937_64(1));
  return Packets;
}

/// Steers packets batch by batch, as the daemon does.
Outcome steerAll(BalancerCore &Core, const std::vector<CallerPacket> &Packets) {
  Outcome Result;
  const double Start = threadSeconds();
  while (Result.Decisions < Decisions) {
    for (size_t First = 0; First < Packets.size(); First += BatchSize) {
      const size_t Last = std::min(First + BatchSize, Packets.size());
      for (size_t I = First; I < Last; ++I)
        Core.prefetch(Packets[I]);
      for (size_t I = First; I < Last; ++I)
        Result.Signature =
            mix(Result.Signature, Core.steer(Packets[I], Now).To.Ip);
    }
    Result.Decisions += Packets.size();
  }
  Result.Seconds = threadSeconds() - Start;
  return Result;
}

Outcome steerHit(uint32_t Flows) {
  BalancerCore Core({"zone", {0x7f010101, 7000}, ManyFlows});
  prepare(Core);
  learnFlows(Core, Flows);
  Outcome Result = steerAll(Core, packetsOf(Flows));
  Result.Remark = fmt::format("{} flows, {} bytes a flow", Core.cachedFlows(),
                              Core.cacheBytes() / ManyFlows);
  return Result;
}

/// Counts the flows that go to another agent after one more agent has joined.
template <typename ChooseT> uint32_t movedFlows(ChooseT Choose) {
  const Roster Before = rosterOf(AgentCount);
  const Roster After = rosterOf(AgentCount + 1);
  uint32_t Moved = 0;
  for (uint32_t I = 0; I < ManyFlows; ++I) {
    const FlowKey Flow{Before.Service, callerNumber(I)};
    Moved += Choose(Before, Flow) != Choose(After, Flow);
  }
  return Moved;
}

AgentId byRendezvous(const Roster &Agents, const FlowKey &Flow) {
  return homeOf(Agents, Flow, [](const RosterEntry &) { return true; })
      ->Agent.Id;
}

AgentId byModulo(const Roster &Agents, const FlowKey &Flow) {
  return Agents.Agents[hashFlow(Flow) % Agents.Agents.size()].Agent.Id;
}

} // namespace

Outcome steerHitFew() { return steerHit(FewFlows); }
Outcome steerHitMany() { return steerHit(ManyFlows); }

Outcome steerMiss() {
  BalancerCore Core({"zone", {0x7f010101, 7000}, ManyFlows});
  prepare(Core);
  return steerAll(Core, packetsOf(ManyFlows));
}

// The cost of a change of one service in a balancer that has the settings of
// all services, at the expected size: 13,000 addresses with ten agents each.
Outcome changeSettings() {
  constexpr uint32_t Services = 13'000;
  constexpr uint32_t Changes = 20;
  Settings Value;
  Value.Zones = oneService({0x7f010100, 24}, ServiceAddress)->Zones;
  for (uint32_t I = 0; I < Services; ++I) {
    ServiceSettings Service;
    Service.Id = ServiceId{I + 1};
    Service.Addresses = {Endpoint{0x0b000000 + I, 5683}};
    Value.Services.push_back(Service);
  }
  Value.Version = 1;
  BalancerCore Core({"zone", {0x7f010101, 7000}, FewFlows});
  BalancerActions Actions;
  Core.handle(SettingsUpdate{std::make_shared<Settings>(Value)}, Now, Actions);
  Roster Agents = rosterOf(AgentCount);
  for (const ServiceSettings &Service : Value.Services) {
    Agents.Service = Service.Id;
    Core.handle(RosterUpdate{Agents}, Now, Actions);
  }
  Outcome Result;
  for (uint32_t I = 0; I < Changes; ++I) {
    ++Value.Version;
    Value.Services[I].MaxSlots += 1;
    const SettingsUpdate Update{std::make_shared<Settings>(Value)};
    Actions.clear();
    const double Start = threadSeconds();
    Core.handle(Update, Now, Actions);
    Result.Seconds += threadSeconds() - Start;
    Result.Signature = mix(Result.Signature, Core.settingsVersion());
  }
  Result.Decisions = Changes;
  Result.Remark = fmt::format("one service of {} changes: {:.2f} ms", Services,
                              1000 * Result.Seconds / Changes);
  return Result;
}

Outcome joinMoves() {
  Outcome Result;
  const double Start = threadSeconds();
  const uint32_t Rendezvous = movedFlows(byRendezvous);
  Result.Seconds = threadSeconds() - Start;
  const uint32_t Modulo = movedFlows(byModulo);
  Result.Decisions = 2 * ManyFlows;
  Result.Signature = mix(Rendezvous, Modulo);
  Result.Remark = fmt::format(
      "{:.1f}% of flows get a new home when an agent joins 10, modulo {:.1f}%",
      100.0 * Rendezvous / ManyFlows, 100.0 * Modulo / ManyFlows);
  return Result;
}

} // namespace dragonflystall::bench
