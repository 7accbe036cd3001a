// An agent's gate before one upstream, for tests of the scheduling of requests.
#ifndef DRAGONFLYSTALL_SRC_SCHEDULING_GATEFIXTURE_TEST_H
#define DRAGONFLYSTALL_SRC_SCHEDULING_GATEFIXTURE_TEST_H

#include "opaque/gate.h"

#include <map>
#include <memory>

namespace dragonflystall::scheduling::test {

using namespace dragonflystall::opaque;

const Endpoint UrgentRoute{0xc6120001, 443};
const Endpoint OtherRoute{0xc6120001, 80};
const Endpoint UpstreamAddress{0x0a010001, 8000};
const Endpoint NorthBalancer{0x0a020001, 7000};
const Endpoint SouthBalancer{0x0a020002, 7000};

/// A caller's flow with the sequence number of its next data.
struct CallerFlow {
  FlowId Id;
  uint32_t NextSequence = 1;
};

class GateBench {
public:
  static constexpr uint32_t Slots = 2;
  /// The slots and a reserve.
  static constexpr uint32_t Limit = 3;
  static constexpr uint16_t RequestBytes = 100;

  explicit GateBench(uint32_t OtherPriority = 2) {
    Rules.Routes[UrgentRoute] = {
        {{"desk", 1}}, 2000ms, 1, 200ms, RequestKind::NonIdempotent};
    Rules.Routes[OtherRoute] = {
        {{"desk", 1}}, 1500ms, OtherPriority, 200ms, RequestKind::Idempotent};
    Rules.Services["desk"] = {10};
    publish();
    State = std::make_unique<Upstream>(
        UpstreamSettings{UpstreamAddress, "zone-0", 2s, 1s, 1, 0, "desk"},
        Config, Now);
    State->setListed(true);
    Core = std::make_unique<Gate>(Config, *State, Self, "desk", 1000, Now);
    Core->setZoneLookup([](Endpoint Balancer) { return Balancer.Ip; });
    State->onHeartbeat(beat(), Now);
    Core->tick(Now);
    // Until heartbeats show that the upstream runs, it counts as cold.
    run(1s);
  }

  void publish() {
    ++Rules.Version;
    Config.offer(Rules, Continuity::Unbroken, Now);
    Config.evacuations().offer({{1, 1}, {}}, Now);
  }
  Heartbeat beat() {
    Heartbeat Beat;
    Beat.Id = "upstream-" + std::to_string(Started);
    Beat.Service = "desk";
    Beat.Address = UpstreamAddress;
    Beat.Slots = Slots;
    Beat.Sequence = ++Beats;
    Beat.Started = Started;
    return Beat;
  }
  /// Advances the time with heartbeats and ticks every 100 ms.
  void run(Duration Time) {
    for (const TimePoint End = Now + Time; Now + 100ms <= End;) {
      Now += 100ms;
      State->tick(Now);
      State->onHeartbeat(beat(), Now);
      Core->tick(Now);
    }
  }
  CallerFlow newFlow(Endpoint Route) {
    return {{{0x64400000 + ++LastCaller_, 1024}, Route}};
  }

  GateAction syn(const CallerFlow &Flow, uint32_t Tried = 0b111) {
    PacketHead Head = head(Flow);
    Head.Syn = true;
    ForwardingState Forwarding{ForwardingState::Mode::Place};
    Forwarding.Tried = Tried;
    Head.Echo = Forwarding.encode();
    return Core->fromBalancer(Head, NorthBalancer, Now, "syn");
  }
  /// Sends a packet of an open flow.
  GateAction send(const PacketHead &Head, const std::string &Bytes,
                  Endpoint Balancer = NorthBalancer) {
    return Core->fromBalancer(Head, Balancer, Now, Bytes);
  }
  PacketHead data(CallerFlow &Flow) {
    PacketHead Head = head(Flow);
    Head.PayloadBytes = RequestBytes;
    Flow.NextSequence += RequestBytes;
    return Head;
  }
  PacketHead head(const CallerFlow &Flow) {
    PacketHead Head;
    Head.Source = Flow.Id.Caller;
    Head.Destination = Flow.Id.Route;
    Head.Sequence = Flow.NextSequence;
    ForwardingState Forwarding{ForwardingState::Mode::Held};
    Forwarding.Addressee = ForwardingState::addresseeOf(Self);
    Head.Echo = Forwarding.encode();
    return Head;
  }
  /// Sends a request; returns whether it was passed at once.
  bool request(CallerFlow &Flow, const std::string &Bytes,
               Endpoint Balancer = NorthBalancer) {
    const GateAction Action = send(data(Flow), Bytes, Balancer);
    return Action.Disposition == GateAction::Kind::ToUpstream;
  }
  GateAction answer(const CallerFlow &Flow) {
    PacketHead Head = toCaller(Flow);
    Head.PayloadBytes = 200;
    return Core->fromUpstream(Head, Now);
  }
  static PacketHead toCaller(const CallerFlow &Flow) {
    PacketHead Head;
    Head.Source = Flow.Id.Route;
    Head.Destination = Flow.Id.Caller;
    Head.Ack = true;
    return Head;
  }
  /// The packets that the gate has released.
  std::vector<std::string> released() {
    std::vector<std::string> Result;
    for (const HeldPacket &Packet : Core->takeReleased())
      Result.push_back(Packet.Bytes);
    return Result;
  }
  /// Requests on open flows that take all places of the upstream.
  std::vector<CallerFlow> fill() {
    std::vector<CallerFlow> Result;
    for (uint32_t I = 0; I < Limit; ++I) {
      Result.push_back(newFlow(OtherRoute));
      request(Result.back(), "fill");
    }
    return Result;
  }
  size_t waiting() const { return Core->scheduler().waiting(); }

  TimePoint Now{100s};
  Manifest Rules;
  Configuration Config;
  std::unique_ptr<Upstream> State;
  std::unique_ptr<Gate> Core;
  int64_t Started = 1;
  int64_t Beats = 0;
  const AgentId Self = agentId("agent");

private:
  uint32_t LastCaller_ = 0;
};

} // namespace dragonflystall::scheduling::test

#endif
