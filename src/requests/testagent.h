// Test support: one Requests instance with a virtual clock.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTAGENT_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTAGENT_H

#include "requests.h"

#include <algorithm>

namespace dragonflystall {

inline AgentIdentity testIdentity(std::string Name, uint64_t Start = 1,
                                  uint32_t Slots = 4) {
  AgentIdentity Self;
  Self.Team = "team";
  Self.Service = "tags";
  Self.Self.Agent = {agentId(Name), Incarnation{Start}};
  Self.Self.Name = std::move(Name);
  Self.Self.Control = {static_cast<uint32_t>(Self.Self.Agent.Id) | 1, 7001};
  Self.Self.Slots = Slots;
  return Self;
}

/// Returns the actions of type T, in order.
template <typename T>
std::vector<T> actionsOfType(const AgentActions &Actions) {
  std::vector<T> Matching;
  for (const AgentAction &Action : Actions)
    if (const T *Value = std::get_if<T>(&Action))
      Matching.push_back(*Value);
  return Matching;
}

struct TestAgent {
  explicit TestAgent(AgentIdentity Identity, uint64_t Seed = 1)
      : Self(Identity), Core(std::move(Identity), Seed) {}

  AgentIdentity Self;
  Requests Core;
  TimePoint Now{1min};
  uint16_t NextMessageId = 1;

  FlowKey flow(uint16_t Port = 1000) const {
    return {serviceId(Self.Team, Self.Service), {0x7f000001, Port}};
  }
  static Message request(Code Method, std::string Token = "t") {
    Message Value;
    Value.Kind = Method;
    Value.Path = "/tags/1";
    Value.Token = std::move(Token);
    return Value;
  }
  /// Delivers a message from a caller. Assigns a message id unless it has one.
  AgentActions receive(Message Value, uint16_t Port = 1000) {
    if (Value.MessageId == 0)
      Value.MessageId = NextMessageId++;
    AgentPacket Packet;
    Packet.Header.Service = flow().Service;
    Packet.Header.Caller = flow(Port).Caller;
    Packet.Header.Balancer = Balancer;
    Packet.Decoded = std::move(Value);
    AgentActions Out;
    Core.onMessage(Packet, Now, Out);
    return Out;
  }
  AgentActions answerRun(RunId Run, std::string Body = "done",
                         UpstreamOutcome Outcome = UpstreamOutcome::Answered) {
    UpstreamAnswer Value;
    Value.Run = Run;
    Value.Outcome = Outcome;
    Value.HttpStatus = Outcome == UpstreamOutcome::Answered ? 200 : 0;
    Value.Body = std::move(Body);
    AgentActions Out;
    Core.onUpstream(Value, Now, Out);
    return Out;
  }
  AgentActions advance(Duration Time) {
    AgentActions Out;
    for (const TimePoint End = Now + Time; Now < End;) {
      Now += std::min<Duration>(100ms, End - Now);
      Core.tick(Now, Out);
    }
    return Out;
  }
  AgentActions receiveFromPeer(const SendPeer &From) {
    AgentActions Out;
    Core.onPeer(*From.Value, Now, Out);
    return Out;
  }
  void setHedgePercent(uint32_t Percent) {
    auto Value = std::make_shared<Settings>();
    ServiceSettings Service;
    Service.Id = serviceId(Self.Team, Self.Service);
    Service.HedgePercent = Percent;
    Value->Services.push_back(Service);
    AgentActions Out;
    Core.onSettings(Value, Now, Out);
  }
  uint64_t hedges(RequestHedgeResult Result) const {
    return Core.hedges(Now).Counts[static_cast<size_t>(Result)];
  }
  /// Obtains a ticket by sending a POST without one.
  std::string obtainTicket(uint16_t Port = 1000) {
    const auto Sent =
        actionsOfType<SendMessage>(receive(request(Code::Post, "first"), Port));
    return Sent.at(0).Value.Echo.value();
  }
  Message postWithTicket(std::string Echo, std::string Token = "t") const {
    Message Value = request(Code::Post, std::move(Token));
    Value.Echo = std::move(Echo);
    return Value;
  }

  Endpoint Balancer{0x7f010101, 7000};
};

} // namespace dragonflystall

#endif
