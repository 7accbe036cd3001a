// The speed of the decisions on packets of opaque flows.
#include "bench.h"

#include "opaque/gate.h"
#include "opaque/steering.h"

#include <fmt/format.h>
#include <memory>

namespace dragonflystall::bench {

namespace {

using namespace dragonflystall::opaque;

constexpr uint32_t AgentCount = 10;
constexpr uint32_t FewFlows = 5'000;
constexpr uint32_t ManyFlows = 500'000;
constexpr uint32_t Packets = 1'000'000;
/// The number of packets that one system call receives.
constexpr size_t BatchSize = 64;
constexpr uint32_t Searches = 100'000;
constexpr uint64_t Seed = 20261204;
const Endpoint RouteAddress{0xc6120001, 443};
const Endpoint UpstreamAddress{0x0a010001, 8000};
const TimePoint Now{100s};

Manifest manifest() {
  Manifest M;
  M.Version = 1;
  M.Routes[RouteAddress] = {{{"service", 1}}, 1s, 1};
  M.Services["service"] = {10};
  return M;
}

/// A balancer's cores, with ten agents that accept flows.
struct Setting {
  Configuration Config;
  Directory Agents{"zone-0", Seed};
  std::unique_ptr<Steering> Core;

  explicit Setting(size_t Flows) {
    Config.offer(manifest(), Continuity::Gap, Now);
    Core = std::make_unique<Steering>(Config, Agents, Flows, Now);
    for (uint32_t I = 0; I < AgentCount; ++I) {
      const std::string Name = fmt::format("agent-{}", I);
      Agents.list({Name,
                   "service",
                   fmt::format("zone-{}", I % 3),
                   {0x0a000000 + I, 7000},
                   {0x0a000000 + I, 7001}},
                  {1, 1}, Now);
      Pong P;
      P.Name = Name;
      P.Service = "service";
      P.State = Intake::Open;
      P.Slots = 4;
      Agents.onPong(P, Now);
    }
    Core->onAgentsListed({1, 1}, Now);
  }
};

PacketHead packet(uint32_t Flow, bool Syn) {
  PacketHead Head;
  Head.Source = {0x64400000 + (Flow >> 12),
                 static_cast<uint16_t>(1024 + (Flow & 0xfff))};
  Head.Destination = RouteAddress;
  Head.Syn = Syn;
  Head.Ack = !Syn;
  return Head;
}

uint64_t decisionOf(const SteerAction &Action) {
  return static_cast<uint64_t>(Action.Reason) << 32 |
         (Action.Target ? static_cast<uint32_t>(Action.Target->Id) : 0);
}

Outcome hit(uint32_t Flows) {
  Setting S(Flows);
  for (uint32_t I = 0; I < Flows; ++I)
    S.Core->fromCaller(packet(I, true), "", Now);
  Random Rng(Seed);
  Outcome Result;
  Result.Decisions = Packets;
  const double Start = threadSeconds();
  std::array<PacketHead, BatchSize> Batch;
  for (uint32_t I = 0; I < Packets; I += BatchSize) {
    for (PacketHead &Head : Batch) {
      Head = packet(Rng() % Flows, false);
      S.Core->prefetch(Head);
    }
    for (const PacketHead &Head : Batch)
      Result.Signature =
          mix(Result.Signature, decisionOf(S.Core->fromCaller(Head, "", Now)));
  }
  Result.Seconds = threadSeconds() - Start;
  Result.Remark =
      fmt::format("{:.0f} ns a packet", Result.Seconds / Packets * 1e9);
  return Result;
}

} // namespace

Outcome steerOpaqueFew() { return hit(FewFlows); }
Outcome steerOpaqueMany() { return hit(ManyFlows); }

Outcome placeOpaque() {
  Setting S(Packets);
  Outcome Result;
  Result.Decisions = Packets;
  const double Start = threadSeconds();
  for (uint32_t I = 0; I < Packets; ++I)
    Result.Signature =
        mix(Result.Signature,
            decisionOf(S.Core->fromCaller(packet(I, true), "", Now)));
  Result.Seconds = threadSeconds() - Start;
  uint32_t Most = 0;
  for (const auto &[Name, A] : S.Agents.agents())
    Most = std::max(Most, A->SynsSinceLastPong);
  Result.Remark = fmt::format("{:.0f} ns a SYN, most loaded {:.3f} of the mean",
                              Result.Seconds / Packets * 1e9,
                              double(Most) * AgentCount / Packets);
  return Result;
}

Outcome searchOpaque() {
  Setting S(Packets);
  Outcome Result;
  Result.Decisions = Searches;
  const double Start = threadSeconds();
  for (uint32_t I = 0; I < Searches; ++I) {
    const PacketHead Head = packet(I, false);
    const auto Asked = S.Core->fromCaller(Head, "", Now).QueriedAgents;
    for (const opaque::Agent *A : Asked) {
      const Holding Verdict =
          A == Asked.back() ? Holding::Holds : Holding::Denies;
      for (const DelayedAction &Late :
           S.Core->onLocated({A->Entry.Name, Head.fromCaller(), Verdict}, Now))
        Result.Signature = mix(Result.Signature, decisionOf(Late.Action));
    }
  }
  Result.Seconds = threadSeconds() - Start;
  Result.Remark = fmt::format("{:.0f} ns a search among {}",
                              Result.Seconds / Searches * 1e9, AgentCount);
  return Result;
}

Outcome admitOpaque() {
  Configuration Config;
  Config.offer(manifest(), Continuity::Gap, Now);
  Config.evacuations().offer({{1, 1}, {}}, Now);
  Upstream Beside({UpstreamAddress, "zone-0", 2s, 1s, 1.5, 5}, Config, Now);
  const AgentId Self = agentId("agent");
  Gate Entrance(Config, Beside, Self, "service", FewFlows, Now);
  Heartbeat Beat;
  Beat.Id = "upstream";
  Beat.Service = "service";
  Beat.Address = UpstreamAddress;
  Beat.Slots = 4;
  Beat.Sequence = 1;
  Beside.onHeartbeat(Beat, Now);
  const Endpoint Balancer{0x0a020001, 7000};
  Outcome Result;
  Result.Decisions = Packets;
  const double Start = threadSeconds();
  for (uint32_t I = 0; I < Packets; ++I) {
    PacketHead Head = packet(I % FewFlows, I % 4 == 0);
    ForwardingState Forwarding{Head.Syn ? ForwardingState::Mode::Place
                                        : ForwardingState::Mode::Held};
    Forwarding.Addressee = ForwardingState::addresseeOf(Self);
    Head.Echo = Forwarding.encode();
    Head.PayloadBytes = Head.Syn ? 0 : 100;
    Head.Sequence = I;
    const GateAction In = Entrance.fromBalancer(Head, Balancer, Now);
    PacketHead Answer;
    Answer.Source = Head.Destination;
    Answer.Destination = Head.Source;
    Answer.Ack = true;
    Answer.PayloadBytes = 200;
    const GateAction Out = Entrance.fromUpstream(Answer, Now);
    Result.Signature =
        mix(Result.Signature, static_cast<uint64_t>(In.Reason) << 8 |
                                  static_cast<uint64_t>(Out.Reason));
  }
  Result.Seconds = threadSeconds() - Start;
  Result.Remark = fmt::format("{:.0f} ns a packet and its answer",
                              Result.Seconds / Packets * 1e9);
  return Result;
}

} // namespace dragonflystall::bench
