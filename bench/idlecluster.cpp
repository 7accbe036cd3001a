// Runs the agents' cores in virtual time for measurements.
#include "idlecluster.h"

#include <fmt/format.h>

#include <control.pb.h>

namespace dragonflystall::bench {

namespace {

constexpr Duration TickPeriod = 50ms;
constexpr Duration SettlingTime = 30s;
constexpr Endpoint ServiceAddress{0x7f016401, 5683};
constexpr uint32_t AgentNetwork = 0x0a000000;
constexpr Endpoint Balancer{0x0a0000fe, 7000};
constexpr uint32_t Connections = 1'000'000;

SettingsPtr clusterSettings() {
  auto Value = std::make_shared<Settings>();
  ServiceSettings Tags;
  Tags.Team = "hangarlabbet";
  Tags.Name = "tags";
  Tags.Id = serviceId(Tags.Team, Tags.Name);
  Tags.Addresses = {ServiceAddress};
  Tags.MaxConnections = Connections;
  Value->Version = 1;
  Value->Services = {Tags};
  Value->Zones = {{"lund-a", false, {{AgentNetwork, 8}}}};
  return Value;
}

} // namespace

IdleCluster::IdleCluster(uint32_t Agents) : Settings_(clusterSettings()) {
  const ServiceSettings &Service = Settings_->Services[0];
  Stored_.Service = Service.Id;
  Stored_.Team = Service.Team;
  Stored_.Name = Service.Name;
  Identities_.resize(Agents);
  Cores_.resize(Agents);
  for (uint32_t I = 0; I < Agents; ++I) {
    AgentIdentity &Identity = Identities_[I];
    Identity.Team = Service.Team;
    Identity.Service = Service.Name;
    RosterEntry &Self = Identity.Self;
    Self.Name = fmt::format("lund-a/tags-{}", I);
    Self.Zone = "lund-a";
    Self.Data = {AgentNetwork + 1 + I, 7000};
    Self.Control = {Self.Data.Ip, 7001};
    Self.Slots = 4;
    Self.Connections = Connections;
    start(I);
  }
}

void IdleCluster::start(uint32_t Agent) {
  AgentIdentity &Identity = Identities_[Agent];
  Identity.Self.Agent = {agentId(Identity.Self.Name), Incarnation{Random_()}};
  Cores_[Agent] = std::make_unique<AgentCore>(Identity, Random_());
  feed(Agent, SettingsUpdate{Settings_});
  feed(Agent, RosterUpdate{Stored_});
}

void IdleCluster::restart(uint32_t Agent) { start(Agent); }

void IdleCluster::settle() { run(SettlingTime); }

void IdleCluster::run(Duration Length) {
  const TimePoint End = Clock_.now() + Length;
  while (Clock_.now() < End) {
    Clock_.advance(TickPeriod);
    for (size_t I = 0; I < Cores_.size(); ++I)
      feed(I, Tick{});
    deliver();
  }
}

void IdleCluster::deliver() {
  while (!Network_.empty() || RosterChanged_) {
    if (RosterChanged_) {
      RosterChanged_ = false;
      for (size_t I = 0; I < Cores_.size(); ++I)
        feed(I, RosterUpdate{Stored_});
      continue;
    }
    const Envelope Next = std::move(Network_.front());
    Network_.pop_front();
    for (size_t I = 0; I < Cores_.size(); ++I) {
      if (Identities_[I].Self.Control != Next.To)
        continue;
      auto Parsed = std::make_shared<wire::ControlMessage>();
      Parsed->ParseFromString(Next.Bytes);
      feed(I, PeerMessage{Parsed});
      break;
    }
  }
}

void IdleCluster::get(Endpoint Caller) {
  AgentPacket Packet;
  Packet.From = Balancer;
  Packet.Header.Service = Stored_.Service;
  Packet.Header.ServiceAddress = ServiceAddress;
  Packet.Header.Caller = Caller;
  Packet.Header.Balancer = Balancer;
  Packet.Header.RosterVersion = Stored_.Version;
  Packet.Decoded.Kind = Code::Get;
  Packet.Decoded.MessageId = NextMessage_++;
  Packet.Decoded.Token = "token";
  Packet.Decoded.Path = "/tags/17";
  feed(0, Packet);
}

void IdleCluster::feed(size_t Index, const AgentEvent &Event) {
  AgentActions Actions;
  Cores_[Index]->handle(Event, Clock_.now(), Actions);
  for (const AgentAction &Action : Actions)
    perform(Index, Action);
}

void IdleCluster::perform(size_t Index, const AgentAction &Action) {
  if (const auto *Peer = std::get_if<SendPeer>(&Action)) {
    Network_.push_back({Peer->To, Peer->Value->SerializeAsString()});
    ControlBytes_ += Network_.back().Bytes.size();
  } else if (const auto *Update = std::get_if<UpdateRoster>(&Action)) {
    write(Index, *Update);
  } else if (const auto *Run = std::get_if<RunUpstream>(&Action)) {
    UpstreamAnswer Answer;
    Answer.Run = Run->Run;
    Answer.Outcome = UpstreamOutcome::Answered;
    Answer.HttpStatus = 200;
    Answer.Body = "tag";
    feed(Index, Answer);
  }
}

void IdleCluster::write(size_t Index, const UpdateRoster &Update) {
  RosterWritten Result{RosterWritten::Result::Conflict, Stored_};
  if (Update.Expected == Stored_.Version) {
    Stored_ = Update.Value;
    Stored_.Version = Update.Expected + 1;
    RosterChanged_ = true;
    Result = {RosterWritten::Result::Written, Stored_};
  }
  feed(Index, Result);
}

size_t IdleCluster::flows() const {
  size_t Sum = 0;
  for (const auto &Core : Cores_)
    Sum += Core->flows().size();
  return Sum;
}

} // namespace dragonflystall::bench
