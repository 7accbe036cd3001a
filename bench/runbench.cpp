// Complete requests at one agent: a POST with a ticket, from arrival to answer.
#include "bench.h"

#include "requests/requests.h"

#include <chrono>

namespace dragonflystall::bench {

namespace {

AgentIdentity identity() {
  AgentIdentity Self;
  Self.Team = "team";
  Self.Service = "tags";
  Self.Self.Agent = {AgentId{1}, Incarnation{1}};
  Self.Self.Slots = 4;
  return Self;
}

/// Returns the answer among the actions, which must contain one.
const Message &answerIn(const AgentActions &Actions) {
  for (const AgentAction &Action : Actions)
    if (const auto *Sent = std::get_if<SendMessage>(&Action))
      return Sent->Value;
  std::abort();
}

RunId runIn(const AgentActions &Actions) {
  for (const AgentAction &Action : Actions)
    if (const auto *Run = std::get_if<RunUpstream>(&Action))
      return Run->Run;
  return RunId::None;
}

} // namespace

Outcome runRequests() {
  constexpr uint32_t Decisions = 100'000;
  constexpr uint16_t Flows = 2000;
  Requests Core(identity(), 1);
  TimePoint Now{1min};
  std::vector<std::string> Tickets(Flows);
  Outcome Result;
  Result.Decisions = Decisions;
  AgentActions Out;
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t I = 0; I < Decisions + Flows; ++I) {
    const auto Flow = static_cast<uint16_t>(I % Flows);
    AgentPacket Packet;
    Packet.Header.Service = serviceId("team", "tags");
    Packet.Header.Caller = {1, Flow};
    Packet.Header.Balancer = {2, 7000};
    Packet.Decoded.Kind = Code::Post;
    Packet.Decoded.MessageId = static_cast<uint16_t>(I / Flows);
    Packet.Decoded.Token = "token";
    Packet.Decoded.Path = "/tags/17";
    if (!Tickets[Flow].empty())
      Packet.Decoded.Echo = Tickets[Flow];
    Out.clear();
    Core.onMessage(Packet, Now, Out);
    if (const RunId Run = runIn(Out); Run != RunId::None) {
      UpstreamAnswer Answer;
      Answer.Run = Run;
      Answer.Outcome = UpstreamOutcome::Answered;
      Answer.HttpStatus = 200;
      Answer.Body = "done";
      Now += 1ms;
      Out.clear();
      Core.onUpstream(Answer, Now, Out);
    }
    const Message &Answer = answerIn(Out);
    Tickets[Flow] = *Answer.Echo;
    Result.Signature =
        mix(Result.Signature, static_cast<uint64_t>(Answer.Kind));
    if (I % 100 == 0)
      Core.tick(Now, Out);
  }
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  Result.Seconds = Elapsed.count();
  return Result;
}

} // namespace dragonflystall::bench
