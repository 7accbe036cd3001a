// A home whose directory may be incomplete asks every agent of the service for
// the holder of a flow before it places the flow. The flow's packets are parked
// meanwhile, for at most LocateTimeout.
#include "state.h"

#include "wire/convert.h"

#include <algorithm>
#include <tuple>

namespace dragonflystall {

namespace {

/// When two homes locate the same flow at the same time, the one with the newer
/// roster places it, then the one with the newer settings, then the one with
/// the lower agent id.
using Seniority = std::tuple<uint64_t, uint64_t, uint32_t>;

Seniority seniorityOf(const wire::ControlMessage &Value) {
  return {Value.roster_version(), Value.settings_version(),
          ~Value.sender().id()};
}

Seniority seniorityOf(const FlowsContext &Context) {
  const uint64_t Settings = Context.Settings ? Context.Settings->Version : 0;
  return {Context.RosterVersion, Settings,
          ~static_cast<uint32_t>(Context.self().Id)};
}

} // namespace

void Flows::State::startLocate(AgentPacket Packet, TimePoint Now,
                               FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  if (!isRequest(Packet.Decoded.Kind)) {
    drop(Packet, "no holder and not a request", Out);
    return;
  }
  const auto AskedPeers = ServicePeers.reachable();
  if (AskedPeers.empty()) {
    place(std::move(Packet), AgentId::None, Now, Out);
    return;
  }
  PendingLocate Pending;
  Pending.StartedAt = Now;
  Pending.AskedAt = Now;
  for (const Peer *Target : AskedPeers)
    Pending.AwaitedAgents.push_back(Target->Entry.Agent.Id);
  if (!park(Packet, Pending.Packets)) {
    drop(Packet, "too many parked packets", Out);
    return;
  }
  // The packet that places the flow at this holder may not have arrived yet, so
  // that the holder itself would answer "not here".
  const DirectoryEntry *Entry = HolderDirectory.find(Caller);
  if (Entry && ServicePeers.findUsable(Entry->HolderClaim.Holder))
    Pending.BestClaim = Entry->HolderClaim;
  PendingLocates.insert(Caller, std::move(Pending));
  LocateQueue.push_back(Caller);
}

void Flows::State::sendLocates(TimePoint Now, FlowsOutput &Out) {
  const bool TooEarly = LastLocateSent != TimePoint::min() &&
                        Now - LastLocateSent < MinLocateInterval &&
                        LocateQueue.size() < MaxLocateBatch;
  if (LocateQueue.empty() || TooEarly)
    return;
  LastLocateSent = Now;
  for (const Peer *Target : ServicePeers.reachable()) {
    ControlPtr Message = Context.newMessage();
    wire::Locate &Body = *Message->mutable_locate();
    Body.set_id(Context.nextId());
    for (Endpoint Caller : LocateQueue) {
      const PendingLocate *Pending = PendingLocates.find(Caller);
      if (Pending &&
          std::count(Pending->AwaitedAgents.begin(),
                     Pending->AwaitedAgents.end(), Target->Entry.Agent.Id))
        *Body.add_flows() = wire::toWire(Context.flow(Caller));
    }
    if (Body.flows_size() > 0)
      sendPeer(Context, Target->Entry.Control, std::move(Message), Out);
  }
  LocateQueue.clear();
}

void Flows::State::onLocate(const wire::ControlMessage &Value, const Peer &From,
                            TimePoint Now, FlowsOutput &Out) {
  ControlPtr Reply = Context.newMessage();
  Reply->mutable_locate_reply()->set_id(Value.locate().id());
  for (const wire::Flow &Flow : Value.locate().flows())
    if (const auto Key = wire::fromWire(Flow, Context.Service))
      *Reply->mutable_locate_reply()->add_flows() =
          answerLocate(Key->Caller, Value, From, Now, Out);
  sendPeer(Context, From.Entry.Control, std::move(Reply), Out);
}

// After the answer "not here" this agent does not place the flow for
// PlacementGrantLifetime, also if it is the flow's home by its own view: the
// asking agent may place it.
wire::Located Flows::State::answerLocate(Endpoint Caller,
                                         const wire::ControlMessage &Request,
                                         const Peer &From, TimePoint Now,
                                         FlowsOutput &Out) {
  wire::Located Result;
  *Result.mutable_flow() = wire::toWire(Context.flow(Caller));
  if (const HeldFlow *Flow = Held.find(Caller)) {
    setClaim(Result, claimFor(*Flow), Now);
    return Result;
  }
  if (const MovedFlow *MovedTo = Moved.find(Caller)) {
    setClaim(Result, {MovedTo->Successor, MovedTo->At, Context.self().Id}, Now);
    return Result;
  }
  if (PendingLocates.find(Caller)) {
    if (seniorityOf(Context) > seniorityOf(Request)) {
      *Result.mutable_holder() = wire::toWire(Context.self());
      Result.set_pending(true);
      return Result;
    }
    yieldTo(Caller, From, Out);
  }
  const DirectoryEntry *Entry = HolderDirectory.find(Caller);
  if (Entry && ServicePeers.findUsable(Entry->HolderClaim.Holder)) {
    setClaim(Result, Entry->HolderClaim, Now);
    return Result;
  }
  if (PlacementGrants.size() < MaxPlacementGrants)
    PlacementGrants.insert(Caller,
                           {From.Entry.Agent.Id, Now + PlacementGrantLifetime});
  return Result;
}

void Flows::State::onLocateReply(const wire::ControlMessage &Value,
                                 const Peer &From, TimePoint Now,
                                 FlowsOutput &Out) {
  const AgentRef Sender = From.Entry.Agent;
  for (const wire::Located &Answer : Value.locate_reply().flows()) {
    const auto Key = wire::fromWire(Answer.flow(), Context.Service);
    if (!Key)
      continue;
    const AgentRef Holder = wire::fromWire(Answer.holder());
    const Claim HolderClaim = claimOf(Holder, Answer.flow(), Now);
    PendingLocate *Pending = PendingLocates.find(Key->Caller);
    if (!Pending) {
      // This late answer may be the only message that reveals a second holder
      // of the flow.
      if (Answer.has_holder() && Holder == Sender && !Answer.pending())
        applyClaim(Key->Caller, HolderClaim, Now, Out);
      continue;
    }
    std::erase(Pending->AwaitedAgents, Sender.Id);
    if (Answer.pending())
      yieldTo(Key->Caller, From, Out);
    else if (Answer.has_holder() && Holder == Sender)
      onHolderFound(Key->Caller, HolderClaim, Now, Out);
    else {
      if (Answer.has_holder())
        Pending->BestClaim = HolderClaim;
      if (Pending->AwaitedAgents.empty())
        finishLocate(Key->Caller, Now, Out);
    }
  }
}

void Flows::State::onHolderFound(Endpoint Caller, const Claim &HolderClaim,
                                 TimePoint Now, FlowsOutput &Out) {
  PendingLocate *Pending = PendingLocates.find(Caller);
  if (!Pending)
    return;
  std::vector<AgentPacket> Packets = unpark(Pending->Packets);
  PendingLocates.erase(Caller);
  const AgentRef Holder = applyClaim(Caller, HolderClaim, Now, Out);
  for (AgentPacket &Packet : Packets)
    sendToHolder(std::move(Packet), Holder, Now, Out);
}

AgentRef Flows::State::applyClaim(Endpoint Caller, const Claim &HolderClaim,
                                  TimePoint Now, FlowsOutput &Out) {
  const auto Winner = registerFlow(Caller, HolderClaim, Now, Out);
  if (!Winner)
    return HolderClaim.Holder;
  recordHolder(Caller, *Winner, Now);
  ServicePeers.noteLostFlow(HolderClaim.Holder.Id);
  return Winner->Holder;
}

void Flows::State::yieldTo(Endpoint Caller, const Peer &To, FlowsOutput &Out) {
  PendingLocate *Pending = PendingLocates.find(Caller);
  std::vector<AgentPacket> Packets = unpark(Pending->Packets);
  PendingLocates.erase(Caller);
  for (AgentPacket &Packet : Packets)
    forward(std::move(Packet), To, false, Out);
}

// Called when all agents have answered or LocateTimeout has expired; answers
// still missing are ignored.
void Flows::State::finishLocate(Endpoint Caller, TimePoint Now,
                                FlowsOutput &Out) {
  const std::optional<Claim> BestClaim = PendingLocates.find(Caller)->BestClaim;
  if (BestClaim && ServicePeers.findUsable(BestClaim->Holder)) {
    onHolderFound(Caller, *BestClaim, Now, Out);
    return;
  }
  std::vector<AgentPacket> Packets =
      unpark(PendingLocates.find(Caller)->Packets);
  PendingLocates.erase(Caller);
  for (AgentPacket &Packet : Packets) {
    const Peer *Home = ServicePeers.homeOf(Caller);
    const DirectoryEntry *Entry = HolderDirectory.find(Caller);
    const bool IsCurrent =
        Entry && Entry->ViewNumber == ServicePeers.viewNumber();
    if (!Home || !Home->Self || IsCurrent)
      sendToHome(std::move(Packet), Now, Out);
    else
      place(std::move(Packet), AgentId::None, Now, Out);
  }
}

void Flows::State::tickLocate(TimePoint Now, FlowsOutput &Out) {
  std::vector<Endpoint> Overdue;
  PendingLocates.forEach([&](Endpoint Caller, PendingLocate &Pending) {
    if (Now - Pending.StartedAt >= LocateTimeout)
      Overdue.push_back(Caller);
    else if (Now - Pending.AskedAt >= LocateRetry) {
      Pending.AskedAt = Now;
      LocateQueue.push_back(Caller);
    }
  });
  for (Endpoint Caller : Overdue)
    if (PendingLocates.find(Caller))
      finishLocate(Caller, Now, Out);
  sendLocates(Now, Out);
}

} // namespace dragonflystall
