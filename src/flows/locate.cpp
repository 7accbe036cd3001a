// A home whose directory may be incomplete asks every agent of the service for
// the holder of a flow before it places the flow. The flow's packets are parked
// meanwhile, for at most LocateWait.
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

void Flows::State::locate(AgentPacket Packet, TimePoint Now, FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  if (!isRequest(Packet.Decoded.Kind)) {
    drop(Packet, "no holder and not a request", Out);
    return;
  }
  const auto Asked = Others.reachable();
  if (Asked.empty()) {
    place(std::move(Packet), AgentId::None, Now, Out);
    return;
  }
  Located Waiting;
  Waiting.Since = Now;
  Waiting.AskedAt = Now;
  for (const Peer *P : Asked)
    Waiting.Waiting.push_back(P->Entry.Agent.Id);
  if (!park(Packet, Waiting.Packets)) {
    drop(Packet, "too many parked packets", Out);
    return;
  }
  // The packet that places the flow at this holder may not have arrived yet, so
  // that the holder itself would answer "not here".
  const DirectoryEntry *Entry = Known.find(Caller);
  if (Entry && Others.usable(Entry->By.Holder))
    Waiting.Best = Entry->By;
  Locating.insert(Caller, std::move(Waiting));
  ToAsk.push_back(Caller);
}

void Flows::State::ask(TimePoint Now, FlowsOutput &Out) {
  const bool Soon = LastAsked != TimePoint::min() &&
                    Now - LastAsked < LocateSpacing &&
                    ToAsk.size() < MaxLocateBatch;
  if (ToAsk.empty() || Soon)
    return;
  LastAsked = Now;
  for (const Peer *P : Others.reachable()) {
    ControlPtr Message = Context.newMessage();
    wire::Locate &Body = *Message->mutable_locate();
    Body.set_id(Context.nextId());
    for (Endpoint Caller : ToAsk) {
      const Located *Waiting = Locating.find(Caller);
      if (Waiting && std::count(Waiting->Waiting.begin(),
                                Waiting->Waiting.end(), P->Entry.Agent.Id))
        *Body.add_flows() = wire::toWire(Context.flow(Caller));
    }
    if (Body.flows_size() > 0)
      sendPeer(Context, P->Entry.Control, std::move(Message), Out);
  }
  ToAsk.clear();
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
// PromiseLifetime, also if it is the flow's home by its own view: the asking
// agent may place it.
wire::Located Flows::State::answerLocate(Endpoint Caller,
                                         const wire::ControlMessage &Asked,
                                         const Peer &From, TimePoint Now,
                                         FlowsOutput &Out) {
  wire::Located Result;
  *Result.mutable_flow() = wire::toWire(Context.flow(Caller));
  if (const HeldFlow *Flow = Held.find(Caller)) {
    setClaim(Result, ownClaim(*Flow), Now);
    return Result;
  }
  if (const MovedFlow *Gone = Moved.find(Caller)) {
    setClaim(Result, {Gone->Successor, Gone->At, Context.self().Id}, Now);
    return Result;
  }
  if (Locating.find(Caller)) {
    if (seniorityOf(Context) > seniorityOf(Asked)) {
      *Result.mutable_holder() = wire::toWire(Context.self());
      Result.set_pending(true);
      return Result;
    }
    yieldTo(Caller, From, Out);
  }
  const DirectoryEntry *Entry = Known.find(Caller);
  if (Entry && Others.usable(Entry->By.Holder)) {
    setClaim(Result, Entry->By, Now);
    return Result;
  }
  if (Promises.size() < MaxPromises)
    Promises.insert(Caller, {From.Entry.Agent.Id, Now + PromiseLifetime});
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
    const Claim By = claimOf(Holder, Answer.flow(), Now);
    Located *Waiting = Locating.find(Key->Caller);
    if (!Waiting) {
      // This late answer may be the only message that reveals a second holder
      // of the flow.
      if (Answer.has_holder() && Holder == Sender && !Answer.pending())
        learn(Key->Caller, By, Now, Out);
      continue;
    }
    std::erase(Waiting->Waiting, Sender.Id);
    if (Answer.pending())
      yieldTo(Key->Caller, From, Out);
    else if (Answer.has_holder() && Holder == Sender)
      found(Key->Caller, By, Now, Out);
    else {
      if (Answer.has_holder())
        Waiting->Best = By;
      if (Waiting->Waiting.empty())
        resolve(Key->Caller, Now, Out);
    }
  }
}

void Flows::State::found(Endpoint Caller, const Claim &By, TimePoint Now,
                         FlowsOutput &Out) {
  Located *Waiting = Locating.find(Caller);
  if (!Waiting)
    return;
  std::vector<AgentPacket> Packets = unpark(Waiting->Packets);
  Locating.erase(Caller);
  const AgentRef Holder = learn(Caller, By, Now, Out);
  for (AgentPacket &Packet : Packets)
    toHolder(std::move(Packet), Holder, Now, Out);
}

AgentRef Flows::State::learn(Endpoint Caller, const Claim &By, TimePoint Now,
                             FlowsOutput &Out) {
  const auto Winner = registerFlow(Caller, By, Now, Out);
  if (!Winner)
    return By.Holder;
  know(Caller, *Winner, Now);
  Others.noteLost(By.Holder.Id);
  return Winner->Holder;
}

void Flows::State::yieldTo(Endpoint Caller, const Peer &To, FlowsOutput &Out) {
  Located *Waiting = Locating.find(Caller);
  std::vector<AgentPacket> Packets = unpark(Waiting->Packets);
  Locating.erase(Caller);
  for (AgentPacket &Packet : Packets)
    pass(std::move(Packet), To, false, Out);
}

// Called when all agents have answered or LocateWait has expired; answers still
// missing are ignored.
void Flows::State::resolve(Endpoint Caller, TimePoint Now, FlowsOutput &Out) {
  const std::optional<Claim> Best = Locating.find(Caller)->Best;
  if (Best && Others.usable(Best->Holder)) {
    found(Caller, *Best, Now, Out);
    return;
  }
  std::vector<AgentPacket> Packets = unpark(Locating.find(Caller)->Packets);
  Locating.erase(Caller);
  for (AgentPacket &Packet : Packets) {
    const Peer *Home = Others.homeOf(Caller);
    const DirectoryEntry *Entry = Known.find(Caller);
    const bool Fresh = Entry && Entry->Episode == Others.episode();
    if (!Home || !Home->Self || Fresh)
      toHome(std::move(Packet), Now, Out);
    else
      place(std::move(Packet), AgentId::None, Now, Out);
  }
}

void Flows::State::tickLocate(TimePoint Now, FlowsOutput &Out) {
  std::vector<Endpoint> Overdue;
  Locating.forEach([&](Endpoint Caller, Located &Waiting) {
    if (Now - Waiting.Since >= LocateWait)
      Overdue.push_back(Caller);
    else if (Now - Waiting.AskedAt >= LocateAskAgain) {
      Waiting.AskedAt = Now;
      ToAsk.push_back(Caller);
    }
  });
  for (Endpoint Caller : Overdue)
    if (Locating.find(Caller))
      resolve(Caller, Now, Out);
  ask(Now, Out);
}

} // namespace dragonflystall
