// Maintains the state of the service's agents from rosters and messages.
#include "peers.h"

#include "wire/convert.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr size_t MaxRetired = 8;
constexpr uint64_t ViewSeed = 0x9e3779b97f4a7c15ULL;

uint64_t mix(uint64_t Hash, uint64_t Value) {
  Hash = (Hash ^ Value) * ViewSeed;
  return Hash ^ (Hash >> 29);
}

bool contains(const std::vector<Incarnation> &Values, Incarnation Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

void retire(Peer &P, Incarnation Old) {
  if (P.Retired.size() == MaxRetired)
    P.Retired.erase(P.Retired.begin());
  P.Retired.push_back(Old);
}

Peer freshPeer(const RosterEntry &Entry, TimePoint Now) {
  Peer P;
  P.Entry = Entry;
  P.LastHeard = Now;
  P.RefusedAt = Now - RefusalPause;
  return P;
}

Event agentEvent(EventKind Kind, AgentId Agent) {
  Event E;
  E.Kind = Kind;
  E.Agent = Agent;
  return E;
}

} // namespace

Peer *Peers::find(AgentId Id) {
  return const_cast<Peer *>(std::as_const(*this).find(Id));
}

const Peer *Peers::find(AgentId Id) const {
  const RosterEntry *Entry = Roster_.find(Id);
  return Entry ? &All_[Entry - Roster_.Agents.data()] : nullptr;
}

const Peer *Peers::usable(AgentRef Agent) const {
  const Peer *P = find(Agent.Id);
  if (!P || P->Entry.Agent != Agent || P->Suspected)
    return nullptr;
  return Context_.zoneOut(P->Entry.Zone) ? nullptr : P;
}

const Peer *Peers::byData(Endpoint Data) const {
  for (const Peer &P : All_)
    if (P.Entry.Data == Data)
      return &P;
  return nullptr;
}

bool Peers::adopt(const Roster &Value, TimePoint Now, FlowsOutput &Out) {
  if (Value.Service != Context_.Service || Value.Version <= Roster_.Version)
    return false;
  std::vector<Peer> Next;
  for (const RosterEntry &Entry : Value.Agents)
    Next.push_back(carryOver(Entry, Now));
  Roster_ = Value;
  All_ = std::move(Next);
  Context_.RosterVersion = Value.Version;
  noteNewer(Value.Version);
  const RosterEntry *Own = Roster_.find(Context_.self().Id);
  const bool OwnStart = Own && Own->Agent == Context_.self();
  if (Own && !Listed_)
    forgetViews(Now);
  Listed_ = Own != nullptr;
  WasListed_ = WasListed_ || OwnStart;
  Superseded_ = WasListed_ && Own && !OwnStart;
  refreshView();
  Event E;
  E.Kind = EventKind::RosterInForce;
  E.Value = Value.Version;
  Out.Actions.emplace_back(E);
  return true;
}

// The state of a peer is kept while its incarnation is the same, and also when
// the roster lists an older incarnation because it was written by an agent that
// did not know of the restart yet.
Peer Peers::carryOver(const RosterEntry &Entry, TimePoint Now) const {
  if (Entry.Agent.Id == Context_.self().Id) {
    Peer Own = freshPeer(Context_.Identity.Self, Now);
    Own.Self = true;
    return Own;
  }
  const Peer *Old = find(Entry.Agent.Id);
  if (!Old)
    return freshPeer(Entry, Now);
  Peer Result = *Old;
  const bool Late = contains(Old->Retired, Entry.Agent.Start);
  if (!Late && Old->Entry.Agent.Start != Entry.Agent.Start) {
    Result = freshPeer(Entry, Now);
    Result.Retired = Old->Retired;
    retire(Result, Old->Entry.Agent.Start);
    return Result;
  }
  Result.Entry = Entry;
  Result.Entry.Agent.Start = Old->Entry.Agent.Start;
  Result.Provisional = Late;
  if (Late)
    Result.Entry.Phase = AgentPhase::Serving;
  return Result;
}

// A heartbeat from a process with the name, address and roster version of a
// listed one shows that the listed process was restarted. The new incarnation
// is used at once, before it is written to the platform.
bool Peers::restarted(Peer &P, const wire::ControlMessage &Value,
                      TimePoint Now) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  const auto ReplyTo = wire::fromWire(Value.reply_to());
  if (contains(P.Retired, Sender.Start) || !Value.has_heartbeat())
    return false;
  if (Value.roster_version() != Roster_.Version || ReplyTo != P.Entry.Control)
    return false;
  Peer Next = freshPeer(P.Entry, Now);
  Next.Retired = P.Retired;
  retire(Next, P.Entry.Agent.Start);
  Next.Entry.Agent = Sender;
  Next.Entry.Phase = AgentPhase::Serving;
  Next.Provisional = true;
  P = std::move(Next);
  return true;
}

Peer *Peers::heard(const wire::ControlMessage &Value, TimePoint Now,
                   FlowsOutput &Out) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  Peer *P = find(Sender.Id);
  if (!P || P->Self)
    return nullptr;
  const bool Restarted = P->Entry.Agent != Sender && restarted(*P, Value, Now);
  if (P->Entry.Agent != Sender)
    return nullptr;
  const bool WasLeaving = P->Leaving;
  const bool WasSuspected = P->Suspected;
  P->Heard = true;
  P->LastHeard = std::max(P->LastHeard, Now);
  P->Suspected = false;
  if (Value.view() != 0 && Value.sequence() > P->Sequence) {
    P->View = Value.view();
    P->Sequence = Value.sequence();
    if (Value.has_heartbeat())
      takeLoad(*P, Value.heartbeat(), Now);
  }
  if (WasSuspected)
    Out.Actions.emplace_back(agentEvent(EventKind::AgentTrusted, Sender.Id));
  if (Restarted || WasSuspected || WasLeaving != P->Leaving)
    refreshView();
  return P;
}

void Peers::takeLoad(Peer &P, const wire::Heartbeat &Value, TimePoint Now) {
  const wire::Load &Said = Value.load();
  P.Flows = Said.flows();
  P.Load = {Said.running(), Said.queued(), Said.limit()};
  P.Leaving = Said.leaving();
  std::erase_if(P.Recent,
                [&](TimePoint At) { return At + PlacementLag < Now; });
  P.Suspects.clear();
  for (const wire::Agent &Suspect : Value.suspects())
    P.Suspects.push_back(wire::fromWire(Suspect));
}

void Peers::noteNewer(uint64_t Version) {
  NewestKnown_ = std::max(NewestKnown_, Version);
}

// An agent that is not in the roster gets no heartbeats, so it can't conclude
// from missing ones that a peer has failed.
void Peers::suspectSilent(TimePoint Now, FlowsOutput &Out) {
  if (!listed()) {
    forgetViews(Now);
    return;
  }
  bool Changed = false;
  for (Peer &P : All_) {
    if (P.Self || P.Suspected || Context_.zoneOut(P.Entry.Zone))
      continue;
    if (Now - P.LastHeard < SuspectAfter)
      continue;
    P.Suspected = true;
    P.SuspectedSince = Now;
    Changed = true;
    Out.Actions.emplace_back(
        agentEvent(EventKind::AgentSuspected, P.Entry.Agent.Id));
  }
  if (Changed)
    refreshView();
}

void Peers::forgetViews(TimePoint Now) {
  for (Peer &P : All_) {
    P.View = 0;
    P.LastHeard = Now;
  }
}

void Peers::setLeaving(bool Leaving) {
  Leaving_ = Leaving;
  refreshView();
}

bool Peers::mayBeHome(const Peer &P) const {
  if (!Context_.zoneServes(P.Entry.Zone))
    return false;
  if (P.Self)
    return !Leaving_ && !Superseded_;
  return P.Entry.Phase == AgentPhase::Serving && !P.Leaving && !P.Suspected;
}

// Counts a lapse when a peer becomes usable again: only then its flows can't be
// placed elsewhere any more on the ground that it was unusable.
void Peers::countLapses() {
  for (Peer &P : All_) {
    const bool Usable = usable(P.Entry.Agent) != nullptr;
    if (Usable && !P.Usable)
      P.Lapse = ++LastLapse_;
    P.Usable = Usable;
  }
}

void Peers::refreshView() {
  countLapses();
  uint64_t Hash = ViewSeed;
  for (const Peer &P : All_) {
    if (!mayBeHome(P))
      continue;
    const AgentRef Agent = P.Entry.Agent;
    Hash = mix(Hash, static_cast<uint64_t>(Agent.Id));
    Hash = mix(Hash, static_cast<uint64_t>(Agent.Start));
  }
  Hash |= 2; // Distinct from 0 (no view) and UnregisteredView.
  if (Hash == View_)
    return;
  View_ = Hash;
  ++Episode_;
}

const Peer *Peers::homeOf(Endpoint Caller) const {
  const RosterEntry *Home = dragonflystall::homeOf(
      Roster_, Context_.flow(Caller), [this](const RosterEntry &Entry) {
        return mayBeHome(All_[&Entry - Roster_.Agents.data()]);
      });
  return Home ? &All_[Home - Roster_.Agents.data()] : nullptr;
}

bool Peers::settled(TimePoint Now) const {
  if (NewestKnown_ > Roster_.Version)
    return false;
  return std::all_of(All_.begin(), All_.end(), [&](const Peer &P) {
    if (P.Self || P.Suspected || Context_.zoneOut(P.Entry.Zone))
      return true;
    return P.Heard && P.View == View_ && Now - P.LastHeard <= ViewLifetime;
  });
}

std::vector<const Peer *> Peers::reachable() const {
  std::vector<const Peer *> Result;
  for (const Peer &P : All_)
    if (!P.Self && !P.Suspected && !Context_.zoneOut(P.Entry.Zone))
      Result.push_back(&P);
  return Result;
}

std::vector<Candidate> Peers::candidates(AgentId Except, size_t OwnFlows,
                                         const OwnLoad &Own,
                                         TimePoint Now) const {
  std::vector<Candidate> Result;
  // Each home places about the same share of the new flows, so the other homes
  // are assumed to have placed as many as this one.
  const auto OtherHomes = static_cast<uint32_t>(
      std::count_if(All_.begin(), All_.end(),
                    [&](const Peer &P) { return !P.Self && mayBeHome(P); }));
  for (const Peer &P : All_) {
    if (P.Entry.Agent.Id == Except || !mayBeHome(P))
      continue;
    if (!P.Self && (!P.Heard || P.RefusedAt + RefusalPause > Now))
      continue;
    const OwnLoad &Load = P.Self ? Own : P.Load;
    Candidate C;
    C.Agent = P.Entry.Agent;
    C.Flows =
        static_cast<uint32_t>(P.Self ? OwnFlows : P.Flows + P.Recent.size());
    C.Unseen = static_cast<uint32_t>(P.Recent.size()) * OtherHomes;
    C.Capacity = Context_.capacity(P.Entry.Connections);
    C.Requests = Load.Running + Load.Queued;
    C.Limit = Load.Limit;
    C.Slots = P.Entry.Slots;
    C.Near = P.Entry.Zone == Context_.Identity.Self.Zone;
    Result.push_back(C);
  }
  return Result;
}

void Peers::notePlaced(AgentId Id, TimePoint Now) {
  if (Peer *P = find(Id); P && !P->Self)
    P->Recent.push_back(Now);
}

void Peers::noteLost(AgentId Id) {
  Peer *P = find(Id);
  if (P && !P->Leaving)
    P->Lapse = ++LastLapse_;
}

void Peers::noteRefused(AgentId Id, TimePoint Now) {
  if (Peer *P = find(Id))
    P->RefusedAt = Now;
}

} // namespace dragonflystall
