// Hand-over of flows to successors when this agent leaves, and taking over
// flows from leaving agents. The successor holds a flow from the moment it
// takes it over; the leaving agent takes the flow back only if the successor
// replies that it refused it.
#include "state.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

void Flows::State::handOver(TimePoint Now, FlowsOutput &Out) {
  if (!ServicePeers.isLeaving() || ServicePeers.isSuperseded() ||
      Context.ownZoneOut())
    return;
  std::map<AgentRef, std::vector<Endpoint>> BySuccessor;
  size_t Budget =
      MaxHandOverBatches - std::min(MaxHandOverBatches, HandOvers.size());
  Budget *= MaxHandOverFlows;
  for (Endpoint Caller : Held.select([&](Endpoint C, const HeldFlow &Flow) {
         return Flow.Batch == 0 && !Store.isBusy(Context.flow(C));
       })) {
    if (Budget-- == 0)
      break;
    const auto Candidates =
        ServicePeers.candidates(Context.self().Id, Held.size(), Load, Now);
    const Candidate *Chosen = chooseHolder(Candidates, Context.Rng);
    if (!Chosen)
      break;
    ServicePeers.notePlacement(Chosen->Agent.Id, Now);
    BySuccessor[Chosen->Agent].push_back(Caller);
  }
  for (auto &[Successor, Callers] : BySuccessor)
    handOverTo(Successor, std::move(Callers), Now, Out);
}

void Flows::State::handOverTo(AgentRef Successor, std::vector<Endpoint> Flows,
                              TimePoint Now, FlowsOutput &Out) {
  size_t Next = 0;
  while (Next < Flows.size()) {
    const uint64_t Id = Context.nextId();
    HandOverBatch &Batch = HandOvers[Id];
    Batch.Successor = Successor;
    Batch.SentAt = Now;
    Batch.Message = Context.newMessage();
    wire::HandOver &Body = *Batch.Message->mutable_hand_over();
    Body.set_id(Id);
    Body.set_receiver(static_cast<uint64_t>(Successor.Start));
    size_t Bytes = 0;
    for (; Next < Flows.size(); ++Next) {
      const bool Full =
          static_cast<size_t>(Body.flows_size()) == MaxHandOverFlows ||
          Bytes >= MaxHandOverBytes;
      if (Full)
        break;
      const FlowKey Flow = Context.flow(Flows[Next]);
      wire::FlowState &Target = *Body.add_flows();
      Target = Store.exportFlow(Flow, Now);
      *Target.mutable_flow() = wire::toWire(Flow);
      Bytes += Target.ByteSizeLong();
      Held.find(Flows[Next])->Batch = Id;
    }
    sendPeer(Context, ServicePeers.find(Successor.Id)->Entry.Control,
             Batch.Message, Out);
  }
}

// Duplicates of a batch get the reply that was sent to the first copy.
void Flows::State::onHandOver(const wire::ControlMessage &Value,
                              const Peer &From, TimePoint Now,
                              FlowsOutput &Out) {
  const wire::HandOver &Body = Value.hand_over();
  if (Incarnation{Body.receiver()} != Context.self().Start)
    return;
  SentReply &Sent = SentReplies[{From.Entry.Agent, Body.id()}];
  if (!Sent.Message) {
    Sent.Message = Context.newMessage();
    wire::HandOverReply &Reply = *Sent.Message->mutable_hand_over_reply();
    Reply.set_id(Body.id());
    for (const wire::FlowState &Flow : Body.flows()) {
      const bool Taken = takeOver(Flow, From, Now, Out);
      *(Taken ? Reply.add_taken() : Reply.add_refused()) = Flow.flow();
    }
  }
  Sent.At = Now;
  sendPeer(Context, From.Entry.Control, Sent.Message, Out);
}

bool Flows::State::takeOver(const wire::FlowState &Value, const Peer &From,
                            TimePoint Now, FlowsOutput &Out) {
  const auto Key = wire::fromWire(Value.flow(), Context.Service);
  if (!Key || Held.find(Key->Caller) || ServicePeers.isLeaving() ||
      !ServicePeers.isListed() || ServicePeers.isSuperseded() ||
      Held.size() >= Context.capacity(Context.Identity.Self.Connections))
    return false;
  Store.importFlow(*Key, Value, Now);
  Tombstones.erase(Key->Caller);
  Moved.erase(Key->Caller);
  HeldFlow Flow;
  Flow.Accepted = Now;
  Flow.LastUsed = Now;
  Flow.Previous = From.Entry.Agent.Id;
  Held.insert(Key->Caller, Flow);
  Unregistered.push_back(Key->Caller);
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowTakenOver, *Key, AgentId::None));
  return true;
}

void Flows::State::onHandOverReply(const wire::ControlMessage &Value,
                                   TimePoint Now, FlowsOutput &Out) {
  const wire::HandOverReply &Reply = Value.hand_over_reply();
  const auto It = HandOvers.find(Reply.id());
  if (It == HandOvers.end() ||
      It->second.Successor != wire::fromWire(Value.sender()))
    return;
  HandOverBatch Batch = std::move(It->second);
  HandOvers.erase(It);
  std::vector<AgentPacket> Parked = unpark(Batch.Parked);
  for (const wire::Flow &Flow : Reply.taken()) {
    const auto Key = wire::fromWire(Flow, Context.Service);
    if (!Key || !Held.erase(Key->Caller))
      continue;
    Moved.insert(Key->Caller, {Batch.Successor, Now});
    LastMoved = Now;
    Out.Actions.emplace_back(
        flowEvent(EventKind::FlowHandedOver, *Key, Batch.Successor.Id));
  }
  for (const wire::FlowState &State : Batch.Message->hand_over().flows()) {
    const auto Key = wire::fromWire(State.flow(), Context.Service);
    HeldFlow *Flow = Held.find(Key->Caller);
    if (!Flow || Flow->Batch != Reply.id())
      continue;
    Flow->Batch = 0;
    Store.importFlow(*Key, State, Now);
  }
  if (Reply.refused_size() > 0)
    ServicePeers.noteRefusal(Batch.Successor.Id, Now);
  for (AgentPacket &Packet : Parked)
    onRequest(std::move(Packet), Now, Out);
}

void Flows::State::retryHandOvers(TimePoint Now, FlowsOutput &Out) {
  std::vector<uint64_t> Failed;
  for (auto &[Id, Batch] : HandOvers) {
    const Peer *Successor = ServicePeers.findUsable(Batch.Successor);
    if (!Successor) {
      Failed.push_back(Id);
      continue;
    }
    if (Now - Batch.SentAt < HandOverRetry)
      continue;
    Batch.SentAt = Now;
    sendPeer(Context, Successor->Entry.Control, Batch.Message, Out);
  }
  for (uint64_t Id : Failed) {
    HandOverBatch Batch = std::move(HandOvers[Id]);
    HandOvers.erase(Id);
    abandon(Batch, Now, Out);
  }
}

// The successor failed and may have run requests of these flows before. The
// flows stay fenced at this agent, and their homes place them anew.
void Flows::State::abandon(HandOverBatch &Batch, TimePoint Now,
                           FlowsOutput &Out) {
  std::vector<AgentPacket> Parked = unpark(Batch.Parked);
  for (const wire::FlowState &State : Batch.Message->hand_over().flows()) {
    const auto Key = wire::fromWire(State.flow(), Context.Service);
    const HeldFlow *Flow = Held.find(Key->Caller);
    if (Flow && Flow->Batch == Batch.Message->hand_over().id())
      giveUp(Key->Caller, Now, Out);
  }
  for (AgentPacket &Packet : Parked)
    sendToHome(std::move(Packet), Now, Out);
}

void Flows::State::finishLeaving(TimePoint Now, FlowsOutput &Out) {
  if (!StopRequested)
    return;
  if (!ServicePeers.candidates(Context.self().Id, 0, Load, Now).empty())
    LastSuccessorSeen = Now;
  if (Now - LastSuccessorSeen >= LeaveTimeout && HandOvers.empty())
    for (Endpoint Caller : Held.select([&](Endpoint C, const HeldFlow &) {
           return !Store.isBusy(Context.flow(C));
         }))
      giveUp(Caller, Now, Out);
  if (!Held.empty()) {
    EmptySince.reset();
    return;
  }
  if (!EmptySince)
    EmptySince = Now;
  Members.leaveRoster();
}

// True when no flow is held, ForwardingPeriod is over, and this agent has left
// the roster or could not write that within LeaveTimeout, in which case its
// peers remove the entry.
bool Flows::State::isDoneLeaving() const {
  if (!EmptySince || !Held.empty())
    return false;
  if (LastMoved != TimePoint::min() && LastRun - LastMoved < ForwardingPeriod)
    return false;
  return Members.hasLeft() || LastRun - *EmptySince >= LeaveTimeout;
}

void Flows::State::sweepMoved(TimePoint Now) {
  if (!ServicePeers.isLeaving())
    for (Endpoint Caller : Moved.select([&](Endpoint, const MovedFlow &M) {
           return Now - M.At >= MovedLifetime;
         }))
      Moved.erase(Caller);
  std::erase_if(SentReplies, [&](const auto &G) {
    return Now - G.second.At >= ReplyLifetime;
  });
}

} // namespace dragonflystall
