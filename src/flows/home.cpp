// The duties of a flow's home: it keeps the flow's holder in its directory and
// places a flow that has no holder.
#include "state.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

void Flows::State::routeAsHome(AgentPacket Packet, TimePoint Now,
                               FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  if (Located *Waiting = Locating.find(Caller)) {
    if (Waiting->Packets.size() >= MaxParkedPerFlow ||
        !park(Packet, Waiting->Packets))
      drop(Packet, "too many parked packets", Out);
    return;
  }
  const bool Settled = Others.settled(Now);
  const DirectoryEntry *Entry = Known.find(Caller);
  const bool Trusted = Entry && (Settled || Entry->Episode == Others.episode());
  const Peer *Holder = Entry ? Others.usable(Entry->By.Holder) : nullptr;
  AgentId Except = AgentId::None;
  if (Trusted && Holder) {
    const bool Refused = Packet.Header.Placed &&
                         Packet.Header.Holder == Holder->Entry.Agent.Id &&
                         Packet.From == Holder->Entry.Data;
    if (!Refused) {
      toHolder(std::move(Packet), Entry->By.Holder, Now, Out);
      return;
    }
    Except = Holder->Entry.Agent.Id;
    Others.noteRefused(Except, Now);
    Known.erase(Caller);
  }
  // A holder that is no longer usable may have handed the flow over before.
  // Only a settled home is certain to have the successor's registration.
  const Promise *Given = Promises.find(Caller);
  const Peer *Asker =
      Given && Given->Until > Now ? Others.find(Given->To) : nullptr;
  if (Asker && !Asker->Suspected && !Asker->Self)
    pass(std::move(Packet), *Asker, false, Out);
  else if (Settled || Except != AgentId::None)
    place(std::move(Packet), Except, Now, Out);
  else
    locate(std::move(Packet), Now, Out);
}

void Flows::State::place(AgentPacket Packet, AgentId Except, TimePoint Now,
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
  const auto Candidates = Others.candidates(Except, Held.size(), Load, Now);
  const Candidate *Chosen = choose(Candidates, Context.Rng);
  if (!Chosen) {
    refuse(Packet, Out);
    return;
  }
  const Endpoint Caller = Packet.Header.Caller;
  know(Caller, {Chosen->Agent, Now}, Now);
  Others.notePlaced(Chosen->Agent.Id, Now);
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowPlaced, Context.flow(Caller), Chosen->Agent.Id));
  toHolder(std::move(Packet), Chosen->Agent, Now, Out);
}

void Flows::State::toHolder(AgentPacket Packet, AgentRef Holder, TimePoint Now,
                            FlowsOutput &Out) {
  if (Holder != Context.self()) {
    const Peer *P = Others.usable(Holder);
    if (P)
      pass(std::move(Packet), *P, true, Out);
    else
      drop(Packet, "holder is not usable", Out);
    return;
  }
  HeldFlow *Flow = Held.find(Packet.Header.Caller);
  if (Flow)
    deliver(std::move(Packet), *Flow, Now, Out);
  else if (mayAccept(Packet.Header.Caller))
    accept(std::move(Packet), Now, Out);
  else
    place(std::move(Packet), Context.self().Id, Now, Out);
}

void Flows::State::know(Endpoint Caller, const Claim &By, TimePoint Now) {
  Known.insert(Caller, {By, Now, Others.episode()});
}

std::optional<Claim> Flows::State::registerFlow(Endpoint Caller,
                                                const Claim &By, TimePoint Now,
                                                FlowsOutput &Out) {
  const DirectoryEntry *Entry = Known.find(Caller);
  if (!Entry || Entry->By.Holder == By.Holder ||
      !Others.usable(Entry->By.Holder)) {
    know(Caller, By, Now);
    return std::nullopt;
  }
  if (!winsOver(By, Entry->By))
    return Entry->By;
  const AgentRef Loser = Entry->By.Holder;
  know(Caller, By, Now);
  if (Loser == Context.self()) {
    // If the flow is being handed over, the hand-over decides on it.
    const HeldFlow *Flow = Held.find(Caller);
    if (Flow && Flow->Batch == 0)
      giveUp(Caller, Now, Out);
    return std::nullopt;
  }
  Others.noteLost(Loser.Id);
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
    const Claim By = claimOf(Holder, Flow, Now);
    const auto Winner = registerFlow(Key->Caller, By, Now, Out);
    if (!Winner) {
      found(Key->Caller, By, Now, Out);
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
    const DirectoryEntry *Entry = Key ? Known.find(Key->Caller) : nullptr;
    if (Entry && Entry->By.Holder == Sender)
      Known.erase(Key->Caller);
  }
}

void Flows::State::sweepHome(TimePoint Now) {
  for (Endpoint Caller : Known.select([&](Endpoint, const DirectoryEntry &E) {
         return Now - E.Refreshed > EntryLifetime;
       }))
    Known.erase(Caller);
  for (Endpoint Caller : Promises.select(
           [&](Endpoint, const Promise &P) { return P.Until <= Now; }))
    Promises.erase(Caller);
}

} // namespace dragonflystall
