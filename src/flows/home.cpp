// The duties of a flow's home: it keeps the flow's holder in its directory and
// places a flow that has no holder.
#include "state.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

void Flows::State::routeAsHome(AgentPacket Packet, TimePoint Now,
                               FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  if (PendingLocate *Pending = PendingLocates.find(Caller)) {
    if (Pending->Packets.size() >= MaxParkedPerFlow ||
        !park(Packet, Pending->Packets))
      drop(Packet, "too many parked packets", Out);
    return;
  }
  const bool Settled = ServicePeers.isSettled(Now);
  const DirectoryEntry *Entry = HolderDirectory.find(Caller);
  const bool Trusted =
      Entry && (Settled || Entry->ViewNumber == ServicePeers.viewNumber());
  const Peer *Holder =
      Entry ? ServicePeers.findUsable(Entry->HolderClaim.Holder) : nullptr;
  AgentId Excluded = AgentId::None;
  if (Trusted && Holder) {
    const bool Refused = Packet.Header.Placed &&
                         Packet.Header.Holder == Holder->Entry.Agent.Id &&
                         Packet.From == Holder->Entry.Data;
    if (!Refused) {
      sendToHolder(std::move(Packet), Entry->HolderClaim.Holder, Now, Out);
      return;
    }
    Excluded = Holder->Entry.Agent.Id;
    ServicePeers.noteRefusal(Excluded, Now);
    HolderDirectory.erase(Caller);
  }
  // A holder that is no longer usable may have handed the flow over before.
  // Only a settled home is certain to have the successor's registration.
  const PlacementGrant *Grant = PlacementGrants.find(Caller);
  const Peer *GrantedPeer =
      Grant && Grant->Until > Now ? ServicePeers.find(Grant->To) : nullptr;
  if (GrantedPeer && !GrantedPeer->Suspected && !GrantedPeer->Self)
    forward(std::move(Packet), *GrantedPeer, false, Out);
  else if (Settled || Excluded != AgentId::None)
    place(std::move(Packet), Excluded, Now, Out);
  else
    startLocate(std::move(Packet), Now, Out);
}

void Flows::State::place(AgentPacket Packet, AgentId Excluded, TimePoint Now,
                         FlowsOutput &Out) {
  if (!isRequest(Packet.Decoded.Kind)) {
    drop(Packet, "no holder and not a request", Out);
    return;
  }
  // The packet was refused so often that it has no hops left for another holder
  // and its refusal.
  if (Packet.Header.Hops + 2 > MaxHops) {
    refuse(Packet, Out);
    return;
  }
  const auto Candidates =
      ServicePeers.candidates(Excluded, Held.size(), Load, Now);
  const Candidate *Chosen = chooseHolder(Candidates, Context.Rng);
  if (!Chosen) {
    refuse(Packet, Out);
    return;
  }
  const Endpoint Caller = Packet.Header.Caller;
  recordHolder(Caller, {Chosen->Agent, Now}, Now);
  ServicePeers.notePlacement(Chosen->Agent.Id, Now);
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowPlaced, Context.flow(Caller), Chosen->Agent.Id));
  sendToHolder(std::move(Packet), Chosen->Agent, Now, Out);
}

void Flows::State::sendToHolder(AgentPacket Packet, AgentRef Holder,
                                TimePoint Now, FlowsOutput &Out) {
  if (Holder != Context.self()) {
    const Peer *Target = ServicePeers.findUsable(Holder);
    if (Target)
      forward(std::move(Packet), *Target, true, Out);
    else
      drop(Packet, "holder is not usable", Out);
    return;
  }
  HeldFlow *Flow = Held.find(Packet.Header.Caller);
  if (Flow)
    deliver(std::move(Packet), *Flow, Now, Out);
  else if (canAccept(Packet.Header.Caller))
    accept(std::move(Packet), Now, Out);
  else
    place(std::move(Packet), Context.self().Id, Now, Out);
}

void Flows::State::recordHolder(Endpoint Caller, const Claim &HolderClaim,
                                TimePoint Now) {
  HolderDirectory.insert(Caller, {HolderClaim, Now, ServicePeers.viewNumber()});
}

std::optional<Claim> Flows::State::registerFlow(Endpoint Caller,
                                                const Claim &HolderClaim,
                                                TimePoint Now,
                                                FlowsOutput &Out) {
  const DirectoryEntry *Entry = HolderDirectory.find(Caller);
  if (!Entry || Entry->HolderClaim.Holder == HolderClaim.Holder ||
      !ServicePeers.findUsable(Entry->HolderClaim.Holder)) {
    recordHolder(Caller, HolderClaim, Now);
    return std::nullopt;
  }
  if (!takesPrecedence(HolderClaim, Entry->HolderClaim))
    return Entry->HolderClaim;
  const AgentRef Loser = Entry->HolderClaim.Holder;
  recordHolder(Caller, HolderClaim, Now);
  if (Loser == Context.self()) {
    // If the flow is being handed over, the hand-over decides on it.
    const HeldFlow *Flow = Held.find(Caller);
    if (Flow && Flow->Batch == 0)
      giveUp(Caller, Now, Out);
    return std::nullopt;
  }
  ServicePeers.noteLostFlow(Loser.Id);
  return std::nullopt;
}

void Flows::State::onRegister(const wire::ControlMessage &Value,
                              const Peer &From, TimePoint Now,
                              FlowsOutput &Out) {
  ControlPtr Reply = Context.newMessage();
  wire::RegisterReply &Body = *Reply->mutable_register_reply();
  Body.set_id(Value.register_().id());
  const AgentRef Holder = From.Entry.Agent;
  for (const wire::Flow &Flow : Value.register_().flows()) {
    const auto Key = wire::fromWire(Flow, Context.Service);
    if (!Key)
      continue;
    const Claim HolderClaim = claimOf(Holder, Flow, Now);
    const auto Winner = registerFlow(Key->Caller, HolderClaim, Now, Out);
    if (!Winner) {
      onHolderFound(Key->Caller, HolderClaim, Now, Out);
      continue;
    }
    wire::Located &Conflict = *Body.add_conflicts();
    *Conflict.mutable_flow() = Flow;
    setClaim(Conflict, *Winner, Now);
  }
  sendPeer(Context, From.Entry.Control, std::move(Reply), Out);
}

void Flows::State::onUnregister(const wire::ControlMessage &Value) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  for (const wire::Flow &Flow : Value.unregister().flows()) {
    const auto Key = wire::fromWire(Flow, Context.Service);
    const DirectoryEntry *Entry =
        Key ? HolderDirectory.find(Key->Caller) : nullptr;
    if (Entry && Entry->HolderClaim.Holder == Sender)
      HolderDirectory.erase(Key->Caller);
  }
}

void Flows::State::sweepHome(TimePoint Now) {
  for (Endpoint Caller :
       HolderDirectory.select([&](Endpoint, const DirectoryEntry &E) {
         return Now - E.Refreshed > EntryLifetime;
       }))
    HolderDirectory.erase(Caller);
  for (Endpoint Caller :
       PlacementGrants.select([&](Endpoint, const PlacementGrant &Grant) {
         return Grant.Until <= Now;
       }))
    PlacementGrants.erase(Caller);
}

} // namespace dragonflystall
