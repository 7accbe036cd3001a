// For tests: one Requests with a virtual clock, and what it did last.
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

/// What of one kind is among the actions, in order.
template <typename T> std::vector<T> only(const AgentActions &Actions) {
  std::vector<T> Found;
  for (const AgentAction &Each : Actions)
    if (const T *Value = std::get_if<T>(&Each))
      Found.push_back(*Value);
  return Found;
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
  /// Gives the message a new id unless it has one.
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
  AgentActions answered(RunId Run, std::string Body = "done",
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
  AgentActions pass(Duration Time) {
    AgentActions Out;
    for (const TimePoint End = Now + Time; Now < End;) {
      Now += std::min<Duration>(100ms, End - Now);
      Core.tick(Now, Out);
    }
    return Out;
  }
  AgentActions peer(const SendPeer &From) {
    AgentActions Out;
    Core.onPeer(*From.Value, Now, Out);
    return Out;
  }
  /// A ticket by the first round trip of a POST.
  std::string ticket(uint16_t Port = 1000) {
    const auto Sent =
        only<SendMessage>(receive(request(Code::Post, "first"), Port));
    return Sent.at(0).Value.Echo.value();
  }
  Message ticketed(std::string Echo, std::string Token = "t") const {
    Message Value = request(Code::Post, std::move(Token));
    Value.Echo = std::move(Echo);
    return Value;
  }

  Endpoint Balancer{0x7f010101, 7000};
};

} // namespace dragonflystall

#endif
