// Embeds the cores in another program: two agents and a balancer in virtual
// time, connected by queues in memory instead of sockets. A caller's GET passes
// through the whole path, from the balancer to an agent and back.
#include "agent/agentcore.h"
#include "dragonflystall/clock.h"
#include "steering/balancercore.h"
#include "wire/coap.h"

#include <deque>
#include <fmt/format.h>
#include <memory>

#include <control.pb.h>

using namespace dragonflystall;

namespace {

constexpr Endpoint Caller{0x7f000001, 40000};
constexpr Endpoint ServiceAddress{0x7f016401, 5683};
constexpr Endpoint BalancerAddress{0x7f010101, 7000};

/// One datagram between the balancer and an agent, or between two agents.
struct Datagram {
  Endpoint From;
  Endpoint To;
  PacketHeader Header;
  std::string Payload;
};

SettingsPtr exampleSettings() {
  auto Value = std::make_shared<Settings>();
  ServiceSettings Tags;
  Tags.Team = "hangarlabbet";
  Tags.Name = "tags";
  Tags.Id = serviceId(Tags.Team, Tags.Name);
  Tags.Addresses = {ServiceAddress};
  Value->Version = 1;
  Value->Services = {Tags};
  Value->Zones = {{"lund-a", false, {{0x7f010100, 24}}}};
  return Value;
}

AgentIdentity identity(unsigned Number) {
  AgentIdentity Result;
  Result.Team = "hangarlabbet";
  Result.Service = "tags";
  RosterEntry &Self = Result.Self;
  Self.Name = fmt::format("tags-{}", Number);
  Self.Agent = {agentId(Self.Name), Incarnation{Number}};
  Self.Zone = "lund-a";
  Self.Data = {0x7f01010a + Number, 7000};
  Self.Control = {0x7f01010a + Number, 7001};
  Self.Slots = 4;
  Self.Connections = 2000;
  return Result;
}

BalancerIdentity balancerIdentity() {
  BalancerIdentity Result;
  Result.Zone = "lund-a";
  Result.Data = BalancerAddress;
  return Result;
}

/// The balancer, the agents, the platform's roster object and the network
/// between them, all in memory.
class Simulation {
public:
  Simulation() : Balancer_(balancerIdentity()) {
    for (unsigned I = 0; I < 2; ++I) {
      Identities_.push_back(identity(I));
      Agents_.push_back(std::make_unique<AgentCore>(Identities_[I], I + 1));
    }
    Stored_.Service = serviceId("hangarlabbet", "tags");
    Stored_.Team = "hangarlabbet";
    Stored_.Name = "tags";
    const SettingsPtr Value = exampleSettings();
    toBalancer(SettingsUpdate{Value});
    for (size_t I = 0; I < Agents_.size(); ++I) {
      toAgent(I, SettingsUpdate{Value});
      toAgent(I, RosterUpdate{Stored_});
    }
  }

  void advance(Duration By) {
    Clock_.advance(By);
    toBalancer(Tick{});
    for (size_t I = 0; I < Agents_.size(); ++I)
      toAgent(I, Tick{});
    deliver();
  }

  void send(const Message &Request) {
    const std::string Bytes = wire::encodeCoap(Request);
    toBalancer(CallerPacket{Caller, ServiceAddress, Bytes});
    deliver();
  }

  std::optional<Message> Answer;

private:
  void toBalancer(const BalancerEvent &Event) {
    BalancerActions Actions;
    Balancer_.handle(Event, Clock_.now(), Actions);
    for (const BalancerAction &Action : Actions)
      if (const auto *Packet = std::get_if<SendPacket>(&Action))
        Network_.push_back({BalancerAddress, Packet->To, Packet->Header,
                            std::string(Packet->Payload)});
      else if (const auto *Reply = std::get_if<SendToCaller>(&Action))
        Answer = wire::decodeCoap(Reply->Payload).value();
  }

  void toAgent(size_t Index, const AgentEvent &Event) {
    AgentActions Actions;
    Agents_[Index]->handle(Event, Clock_.now(), Actions);
    for (const AgentAction &Action : Actions)
      perform(Index, Action);
  }

  void perform(size_t Index, const AgentAction &Action) {
    const Endpoint From = Identities_[Index].Self.Data;
    if (const auto *Packet = std::get_if<SendDatagram>(&Action))
      Network_.push_back({From, Packet->To, Packet->Header, Packet->Payload});
    else if (const auto *Out = std::get_if<SendMessage>(&Action))
      Network_.push_back(
          {From, Out->To, Out->Header, wire::encodeCoap(Out->Value)});
    else if (const auto *Peer = std::get_if<SendPeer>(&Action))
      Control_.push_back(*Peer);
    else if (const auto *Run = std::get_if<RunUpstream>(&Action))
      answerRun(Index, *Run);
    else if (const auto *Update = std::get_if<UpdateRoster>(&Action))
      writeRoster(Index, *Update);
  }

  void answerRun(size_t Index, const RunUpstream &Run) {
    UpstreamAnswer Result;
    Result.Run = Run.Run;
    Result.Outcome = UpstreamOutcome::Answered;
    Result.HttpStatus = 200;
    Result.Body = "tag for " + Run.Path;
    toAgent(Index, Result);
  }

  void writeRoster(size_t Index, const UpdateRoster &Update) {
    RosterWritten Result{RosterWritten::Result::Conflict, Stored_};
    if (Update.Expected == Stored_.Version) {
      Stored_ = Update.Value;
      Stored_.Version = Update.Expected + 1;
      Result = {RosterWritten::Result::Written, Stored_};
    }
    toAgent(Index, Result);
    toBalancer(RosterUpdate{Stored_});
    for (size_t I = 0; I < Agents_.size(); ++I)
      if (I != Index)
        toAgent(I, RosterUpdate{Stored_});
  }

  void deliver() {
    while (!Network_.empty() || !Control_.empty()) {
      if (!Control_.empty()) {
        const SendPeer Next = Control_.front();
        Control_.pop_front();
        for (size_t I = 0; I < Agents_.size(); ++I)
          if (Identities_[I].Self.Control == Next.To)
            toAgent(I, PeerMessage{Next.Value});
        continue;
      }
      const Datagram Next = Network_.front();
      Network_.pop_front();
      if (Next.To == BalancerAddress)
        toBalancer(InternalPacket{Next.From, Next.Header, Next.Payload});
      for (size_t I = 0; I < Agents_.size(); ++I)
        if (Identities_[I].Self.Data == Next.To)
          toAgent(I, AgentPacket{Next.From, Next.Header, Next.Payload,
                                 wire::decodeCoap(Next.Payload).value()});
    }
  }

  VirtualClock Clock_;
  BalancerCore Balancer_;
  std::vector<AgentIdentity> Identities_;
  std::vector<std::unique_ptr<AgentCore>> Agents_;
  Roster Stored_;
  std::deque<Datagram> Network_;
  std::deque<SendPeer> Control_;
};

} // namespace

int main() {
  Simulation Example;
  constexpr int SettlingTicks = 100;
  for (int I = 0; I < SettlingTicks; ++I)
    Example.advance(50ms);
  Message Get;
  Get.Kind = Code::Get;
  Get.MessageId = 1;
  Get.Token = "t1";
  Get.Path = "/tags/17";
  Example.send(Get);
  for (int I = 0; I < SettlingTicks && !Example.Answer; ++I)
    Example.advance(50ms);
  if (!Example.Answer || Example.Answer->Payload != "tag for /tags/17") {
    fmt::print(stderr, "no answer\n");
    return 1;
  }
  fmt::print("answer: {}\n", Example.Answer->Payload);
  return 0;
}
