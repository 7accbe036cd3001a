// Passes events to the slices in the order that keeps them consistent.
#include "agentcore.h"

namespace dragonflystall {

namespace {

// Requests draws its secret and its message ids from a stream of its own.
constexpr uint64_t RequestsSeedSalt = 0x5851f42d4c957f2dULL;

} // namespace

AgentCore::AgentCore(const AgentIdentity &Self, uint64_t Seed)
    : Self_(Self.Self.Agent.Id), Requests_(Self, Seed ^ RequestsSeedSalt),
      Flows_(Self, Seed, Requests_) {}

bool AgentCore::leaving() const {
  const RosterEntry *Listed = Flows_.roster().find(Self_);
  return Leaving_ || (Listed && Listed->Phase == AgentPhase::Leaving);
}

void AgentCore::handle(const AgentEvent &What, TimePoint Now,
                       AgentActions &Out) {
  const size_t First = Out.size();
  std::visit([&](const auto &Value) { on(Value, Now, Out); }, What);
  nameHolders(Out, First);
}

void AgentCore::on(const AgentPacket &Packet, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onPacket(Packet, Now, Result);
  finish(Result, Now, Out);
}

void AgentCore::on(const PeerMessage &Value, TimePoint Now, AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onPeer(*Value.Value, Now, Result);
  Requests_.setPeers(Flows_.peers());
  finish(Result, Now, Out);
  Requests_.onPeer(*Value.Value, Now, Out);
}

void AgentCore::on(const UpstreamAnswer &Answer, TimePoint Now,
                   AgentActions &Out) {
  Requests_.onUpstream(Answer, Now, Out);
}

// An upstream that drains takes its agent along: flows move before it goes.
void AgentCore::on(const UpstreamHint &Hint, TimePoint Now, AgentActions &Out) {
  Requests_.onHint(Hint, Now, Out);
  if (Hint.Draining)
    leave(Now, Out);
}

void AgentCore::on(const RosterUpdate &Update, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onRoster(Update.Value, Now, Result);
  Requests_.setPeers(Flows_.peers());
  finish(Result, Now, Out);
}

void AgentCore::on(const RosterWritten &Written, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onRosterWritten(Written, Now, Result);
  finish(Result, Now, Out);
}

void AgentCore::on(const SettingsUpdate &Update, TimePoint Now,
                   AgentActions &Out) {
  Requests_.onSettings(Update.Value, Now, Out);
  FlowsOutput Result;
  Flows_.onSettings(Update.Value, Now, Result);
  Requests_.setPeers(Flows_.peers());
  finish(Result, Now, Out);
}

void AgentCore::on(const StopRequested & /*Stop*/, TimePoint Now,
                   AgentActions &Out) {
  Stopping_ = true;
  leave(Now, Out);
}

void AgentCore::on(const Tick & /*Time*/, TimePoint Now, AgentActions &Out) {
  FlowsOutput Result;
  Flows_.tick(Now, Requests_.load(), Result);
  Requests_.setPeers(Flows_.peers());
  finish(Result, Now, Out);
  Requests_.tick(Now, Out);
  const bool Idle = Flows_.isDoneLeaving() && Requests_.inProgress() == 0;
  if (!Stopping_ || Complete_ || !Idle)
    return;
  Complete_ = true;
  Out.emplace_back(StopComplete{});
}

void AgentCore::leave(TimePoint Now, AgentActions &Out) {
  if (Leaving_)
    return;
  Leaving_ = true;
  Requests_.leave(Now, Out);
  FlowsOutput Result;
  Flows_.leave(Now, Result);
  finish(Result, Now, Out);
}

// Flows' own actions go first: a successor must know of a flow before a
// message on it can cause another.
void AgentCore::finish(FlowsOutput &From, TimePoint Now, AgentActions &Out) {
  for (AgentAction &Action : From.Actions)
    Out.push_back(std::move(Action));
  for (const AgentPacket &Packet : From.Deliver)
    Requests_.onMessage(Packet, Now, Out);
}

// Balancers learn a flow's holder from its answers, so these must name the
// successor once the flow was handed over.
void AgentCore::nameHolders(AgentActions &Out, size_t First) const {
  for (size_t I = First; I < Out.size(); ++I) {
    auto *Answer = std::get_if<SendMessage>(&Out[I]);
    if (!Answer || Answer->Header.Kind != PacketKind::Reply)
      continue;
    Answer->Header.Holder = Flows_.holderOf(flowOf(Answer->Header));
    Answer->Header.RosterVersion = Flows_.roster().Version;
  }
}

} // namespace dragonflystall
