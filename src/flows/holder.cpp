// Flows held by this agent: accepting them, registering them with their homes,
// and giving them up. The holder's table is authoritative for who holds a flow;
// the homes' directories are caches of it.
#include "state.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

uint32_t homeTag(AgentRef Home) {
  uint64_t Hash = static_cast<uint64_t>(Home.Start) ^
                  (static_cast<uint64_t>(Home.Id) << 32);
  Hash *= 0x9e3779b97f4a7c15ULL;
  return static_cast<uint32_t>(Hash >> 32) | 1;
}

Claim Flows::State::claimFor(const HeldFlow &Flow) const {
  return {Context.self(), Flow.Accepted, Flow.Previous};
}

bool Flows::State::canAccept(Endpoint Caller) const {
  if (!ServicePeers.isListed() || ServicePeers.isLeaving() ||
      ServicePeers.isSuperseded())
    return false;
  if (Tombstones.find(Caller))
    return false;
  return Held.size() < Context.capacity(Context.Identity.Self.Connections);
}

void Flows::State::accept(AgentPacket Packet, TimePoint Now, FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  HeldFlow Flow;
  Flow.Accepted = Now;
  Flow.LastUsed = Now;
  const Peer *Home = ServicePeers.homeOf(Caller);
  const bool HomeHasEntry =
      Home && (Home->Self || Home->Entry.Data == Packet.From);
  if (Home && Home->Self)
    recordHolder(Caller, {Context.self(), Now}, Now);
  // The packet may have been delayed for long, so the flow is registered also
  // with the home that placed it here, but with the lower priority of a
  // refresh.
  if (HomeHasEntry)
    Flow.HomeTag = homeTag(Home->Entry.Agent);
  (HomeHasEntry ? ToRefresh : Unregistered).push_back(Caller);
  Held.insert(Caller, Flow);
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowAccepted, Context.flow(Caller), AgentId::None));
  Out.Deliver.push_back(std::move(Packet));
}

void Flows::State::giveUp(Endpoint Caller, TimePoint Now, FlowsOutput &Out) {
  Held.erase(Caller);
  Store.dropFlow(Context.flow(Caller), Now);
  Tombstones.insert(Caller, Now + TombstoneLifetime);
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowGivenUp, Context.flow(Caller), AgentId::None));
}

void Flows::State::giveUpAll(TimePoint Now, FlowsOutput &Out) {
  for (Endpoint Caller : Held.select([](Endpoint, auto &) { return true; }))
    giveUp(Caller, Now, Out);
  for (auto &[Id, Batch] : HandOvers)
    unpark(Batch.Parked);
  HandOvers.clear();
  Moved.clear();
  Unregistered.clear();
  ToRefresh.clear();
  RegisterBatches.clear();
}

// Called when the set of homes has changed; registers the flows whose home is
// now another agent.
void Flows::State::scanHomes(TimePoint Now, FlowsOutput &Out) {
  ScannedView = ServicePeers.view();
  Unregistered.clear();
  std::erase_if(RegisterBatches,
                [](const auto &B) { return !B.second.Refresh; });
  Held.forEach([&](Endpoint Caller, HeldFlow &Flow) {
    const Peer *Home = ServicePeers.homeOf(Caller);
    if (!Home || Flow.HomeTag == homeTag(Home->Entry.Agent))
      return;
    Flow.HomeTag = 0;
    Unregistered.push_back(Caller);
  });
  sendRegisters(Unregistered, false, Now, Out);
}

void Flows::State::registerAll() {
  Unregistered.clear();
  Held.forEach([&](Endpoint Caller, HeldFlow &Flow) {
    Flow.HomeTag = 0;
    Unregistered.push_back(Caller);
  });
}

// True when no registration of this agent's flows under the present view is
// outstanding. Only then does the agent announce its view: a home is settled,
// and treats its directory as complete, once all its peers have announced its
// view.
bool Flows::State::allFlowsRegistered() const {
  if (ScannedView != ServicePeers.view() || !Unregistered.empty())
    return false;
  return std::all_of(RegisterBatches.begin(), RegisterBatches.end(),
                     [](const auto &B) { return B.second.Refresh; });
}

void Flows::State::sendRegisters(std::deque<Endpoint> &Queue, bool Refresh,
                                 TimePoint Now, FlowsOutput &Out) {
  std::map<AgentRef, std::vector<Endpoint>> ByHome;
  size_t Budget = MaxRegisterBatch * MaxRegisterBatchesPerRound;
  for (; !Queue.empty() && Budget > 0; --Budget) {
    const Endpoint Caller = Queue.front();
    Queue.pop_front();
    HeldFlow *Flow = Held.find(Caller);
    const Peer *Home = Flow ? ServicePeers.homeOf(Caller) : nullptr;
    if (!Home)
      continue;
    if (!Home->Self) {
      ByHome[Home->Entry.Agent].push_back(Caller);
      continue;
    }
    Flow->HomeTag = homeTag(Context.self());
    if (registerFlow(Caller, claimFor(*Flow), Now, Out))
      giveUp(Caller, Now, Out);
  }
  for (auto &[Home, Callers] : ByHome)
    for (size_t I = 0; I < Callers.size(); I += MaxRegisterBatch) {
      const auto First = Callers.begin() + static_cast<ptrdiff_t>(I);
      const auto Last =
          Callers.begin() + static_cast<ptrdiff_t>(
                                std::min(I + MaxRegisterBatch, Callers.size()));
      const uint64_t Id = Context.nextId();
      RegisterBatch &Batch = RegisterBatches[Id];
      Batch = {Home, Now, {First, Last}, Refresh};
      sendRegister(Id, Batch, Now, Out);
    }
}

void Flows::State::sendRegister(uint64_t Id, RegisterBatch &Batch,
                                TimePoint Now, FlowsOutput &Out) {
  const Peer *Home = ServicePeers.findUsable(Batch.Home);
  if (!Home)
    return;
  Batch.SentAt = Now;
  ControlPtr Message = Context.newMessage();
  wire::Register &Body = *Message->mutable_register_();
  Body.set_id(Id);
  for (Endpoint Caller : Batch.Flows) {
    const HeldFlow *Flow = Held.find(Caller);
    if (!Flow)
      continue;
    wire::Flow &Target = *Body.add_flows();
    Target = wire::toWire(Context.flow(Caller));
    setClaim(Target, claimFor(*Flow), Now);
  }
  sendPeer(Context, Home->Entry.Control, std::move(Message), Out);
}

void Flows::State::onRegisterReply(const wire::ControlMessage &Value,
                                   TimePoint Now, FlowsOutput &Out) {
  const wire::RegisterReply &Body = Value.register_reply();
  const auto It = RegisterBatches.find(Body.id());
  if (It == RegisterBatches.end())
    return;
  for (Endpoint Caller : It->second.Flows)
    if (HeldFlow *Flow = Held.find(Caller))
      Flow->HomeTag = homeTag(It->second.Home);
  RegisterBatches.erase(It);
  for (const wire::Located &Conflict : Body.conflicts()) {
    const auto Key = wire::fromWire(Conflict.flow(), Context.Service);
    HeldFlow *Flow = Key ? Held.find(Key->Caller) : nullptr;
    if (!Flow || Flow->Batch != 0)
      continue;
    const Claim Winner =
        claimOf(wire::fromWire(Conflict.holder()), Conflict.flow(), Now);
    if (Winner.Holder != Context.self() &&
        takesPrecedence(Winner, claimFor(*Flow)))
      giveUp(Key->Caller, Now, Out);
  }
}

void Flows::State::retryRegisters(TimePoint Now, FlowsOutput &Out) {
  std::vector<uint64_t> Orphaned;
  for (auto &[Id, Batch] : RegisterBatches) {
    if (!ServicePeers.findUsable(Batch.Home))
      Orphaned.push_back(Id);
    else if (Now - Batch.SentAt >= RegisterRetry)
      sendRegister(Id, Batch, Now, Out);
  }
  for (uint64_t Id : Orphaned) {
    for (Endpoint Caller : RegisterBatches[Id].Flows)
      Unregistered.push_back(Caller);
    RegisterBatches.erase(Id);
  }
}

// Removes flows that exceeded the idle timeout and registers all others again
// every RefreshPeriod, so that the homes can expire entries that no holder
// refreshes.
void Flows::State::sweepHeld(TimePoint Now, FlowsOutput &Out) {
  const Duration Idle = Context.serviceSettings()
                            ? Context.serviceSettings()->FlowIdleTimeout
                            : ServiceSettings{}.FlowIdleTimeout;
  std::map<AgentRef, std::vector<Endpoint>> Ended;
  for (Endpoint Caller : Held.select([&](Endpoint C, const HeldFlow &Flow) {
         return Now - Flow.LastUsed >= Idle && Flow.Batch == 0 &&
                !Store.isBusy(Context.flow(C));
       })) {
    Held.erase(Caller);
    Store.dropFlow(Context.flow(Caller), Now);
    const Peer *Home = ServicePeers.homeOf(Caller);
    if (Home && Home->Self)
      HolderDirectory.erase(Caller);
    else if (Home)
      Ended[Home->Entry.Agent].push_back(Caller);
  }
  for (const auto &[Home, Callers] : Ended) {
    ControlPtr Message = Context.newMessage();
    for (Endpoint Caller : Callers)
      *Message->mutable_unregister()->add_flows() =
          wire::toWire(Context.flow(Caller));
    sendPeer(Context, ServicePeers.find(Home.Id)->Entry.Control, Message, Out);
  }
  for (Endpoint Caller : Tombstones.select(
           [&](Endpoint, TimePoint Until) { return Until <= Now; }))
    Tombstones.erase(Caller);
  if (Now < NextRefresh)
    return;
  NextRefresh = Now + RefreshPeriod;
  Held.forEach(
      [&](Endpoint Caller, const HeldFlow &) { ToRefresh.push_back(Caller); });
}

// A peer that considered this agent unusable for a time may have placed its
// flows elsewhere. Registering them with that peer again reveals the
// conflicts.
void Flows::State::noteLapses(const wire::ControlMessage &Value) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  for (const wire::Lapse &Lapse : Value.heartbeat().lapses()) {
    uint32_t &Seen = LapsesSeen[Sender];
    if (wire::fromWire(Lapse.agent()) != Context.self() ||
        Lapse.count() <= Seen)
      continue;
    Seen = Lapse.count();
    Held.forEach([&](Endpoint Caller, HeldFlow &Flow) {
      const Peer *Home = ServicePeers.homeOf(Caller);
      if (!Home || Home->Entry.Agent != Sender)
        return;
      Flow.HomeTag = 0;
      Unregistered.push_back(Caller);
    });
  }
}

} // namespace dragonflystall
