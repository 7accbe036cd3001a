// Passes each event to Flows and Requests in an order that keeps the two
// consistent with each other.
#include "agentcore.h"

namespace dragonflystall {

namespace {

// Gives Requests a random sequence for its secret and message ids that is
// separate from the sequence of Flows.
constexpr uint64_t RequestsSeedSalt = 0x5851f42d4c957f2dULL;

} // namespace

AgentCore::AgentCore(const AgentIdentity &Self, uint64_t Seed)
    : Self_(Self.Self.Agent.Id), Requests_(Self, Seed ^ RequestsSeedSalt),
      Flows_(Self, Seed, Requests_) {}

bool AgentCore::leaving() const {
  const RosterEntry *Listed = Flows_.roster().find(Self_);
  return Leaving_ || (Listed && Listed->Phase == AgentPhase::Leaving);
}

void AgentCore::handle(const AgentEvent &Input, TimePoint Now,
                       AgentActions &Out) {
  const size_t First = Out.size();
  std::visit([&](const auto &Value) { on(Value, Now, Out); }, Input);
  setHolders(Out, First);
}

void AgentCore::on(const AgentPacket &Packet, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onPacket(Packet, Now, Result);
  applyFlowsOutput(Result, Now, Out);
}

void AgentCore::on(const PeerMessage &Received, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onPeer(*Received.Value, Now, Result);
  Requests_.setPeers(Flows_.peers());
  applyFlowsOutput(Result, Now, Out);
  Requests_.onPeer(*Received.Value, Now, Out);
}

void AgentCore::on(const UpstreamAnswer &Answer, TimePoint Now,
                   AgentActions &Out) {
  Requests_.onUpstream(Answer, Now, Out);
}

// When the upstream drains, the agent leaves the service too, so that its flows
// are handed over before the upstream stops.
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
  applyFlowsOutput(Result, Now, Out);
}

void AgentCore::on(const RosterWritten &Written, TimePoint Now,
                   AgentActions &Out) {
  FlowsOutput Result;
  Flows_.onRosterWritten(Written, Now, Result);
  applyFlowsOutput(Result, Now, Out);
}

void AgentCore::on(const SettingsUpdate &Update, TimePoint Now,
                   AgentActions &Out) {
  Requests_.onSettings(Update.Value, Now, Out);
  FlowsOutput Result;
  Flows_.onSettings(Update.Value, Now, Result);
  Requests_.setPeers(Flows_.peers());
  applyFlowsOutput(Result, Now, Out);
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
  applyFlowsOutput(Result, Now, Out);
  Requests_.tick(Now, Out);
  const bool Idle = Flows_.isDoneLeaving() && Requests_.inProgress() == 0;
  if (!Stopping_ || StopCompleteSent_ || !Idle)
    return;
  StopCompleteSent_ = true;
  Out.emplace_back(StopComplete{});
}

void AgentCore::leave(TimePoint Now, AgentActions &Out) {
  if (Leaving_)
    return;
  Leaving_ = true;
  Requests_.leave(Now, Out);
  FlowsOutput Result;
  Flows_.leave(Now, Result);
  applyFlowsOutput(Result, Now, Out);
}

// The actions of Flows are sent before the messages are processed: a successor
// must receive the hand-over of a flow before a message on that flow can cause
// further actions.
void AgentCore::applyFlowsOutput(FlowsOutput &Result, TimePoint Now,
                                 AgentActions &Out) {
  for (AgentAction &Action : Result.Actions)
    Out.push_back(std::move(Action));
  for (const AgentPacket &Packet : Result.Deliver)
    Requests_.onMessage(Packet, Now, Out);
}

// Sets the current holder in each reply. Balancers learn the holder of a flow
// from its replies, so after a hand-over the replies must name the successor.
void AgentCore::setHolders(AgentActions &Out, size_t First) const {
  for (size_t I = First; I < Out.size(); ++I) {
    auto *Answer = std::get_if<SendMessage>(&Out[I]);
    if (!Answer || Answer->Header.Kind != PacketKind::Reply)
      continue;
    Answer->Header.Holder = Flows_.holderOf(flowOf(Answer->Header));
    Answer->Header.RosterVersion = Flows_.roster().Version;
  }
}

} // namespace dragonflystall
