// Maintains the state of the service's agents from rosters and messages.
#include "peers.h"

#include "wire/convert.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr size_t MaxRetiredIncarnations = 8;
constexpr uint64_t ViewSeed = 0x9e3779b97f4a7c15ULL;

uint64_t mix(uint64_t Hash, uint64_t Value) {
  Hash = (Hash ^ Value) * ViewSeed;
  return Hash ^ (Hash >> 29);
}

bool contains(const std::vector<Incarnation> &Values, Incarnation Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

void retire(Peer &Member, Incarnation Old) {
  if (Member.RetiredIncarnations.size() == MaxRetiredIncarnations)
    Member.RetiredIncarnations.erase(Member.RetiredIncarnations.begin());
  Member.RetiredIncarnations.push_back(Old);
}

Peer newPeer(const RosterEntry &Entry, TimePoint Now) {
  Peer Member;
  Member.Entry = Entry;
  Member.LastMessage = Now;
  Member.RefusedAt = Now - RefusalBackoff;
  return Member;
}

Event agentEvent(EventKind Kind, AgentId Agent) {
  Event NewEvent;
  NewEvent.Kind = Kind;
  NewEvent.Agent = Agent;
  return NewEvent;
}

} // namespace

Peer *Peers::find(AgentId Id) {
  return const_cast<Peer *>(std::as_const(*this).find(Id));
}

const Peer *Peers::find(AgentId Id) const {
  const RosterEntry *Entry = Roster_.find(Id);
  return Entry ? &All_[Entry - Roster_.Agents.data()] : nullptr;
}

const Peer *Peers::findUsable(AgentRef Agent) const {
  const Peer *Member = find(Agent.Id);
  if (!Member || Member->Entry.Agent != Agent || Member->Suspected)
    return nullptr;
  return Context_.isZoneEvacuated(Member->Entry.Zone) ? nullptr : Member;
}

const Peer *Peers::findByDataAddress(Endpoint Data) const {
  for (const Peer &Member : All_)
    if (Member.Entry.Data == Data)
      return &Member;
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
  noteVersion(Value.Version);
  const RosterEntry *OwnEntry = Roster_.find(Context_.self().Id);
  const bool OwnIncarnation = OwnEntry && OwnEntry->Agent == Context_.self();
  if (OwnEntry && !Listed_)
    forgetViews(Now);
  Listed_ = OwnEntry != nullptr;
  WasListed_ = WasListed_ || OwnIncarnation;
  Superseded_ = WasListed_ && OwnEntry && !OwnIncarnation;
  refreshView();
  Event NewEvent;
  NewEvent.Kind = EventKind::RosterInForce;
  NewEvent.Value = Value.Version;
  Out.Actions.emplace_back(NewEvent);
  return true;
}

// The state of a peer is kept while its incarnation is the same, and also when
// the roster lists an older incarnation because it was written by an agent that
// did not know of the restart yet.
Peer Peers::carryOver(const RosterEntry &Entry, TimePoint Now) const {
  if (Entry.Agent.Id == Context_.self().Id) {
    Peer OwnPeer = newPeer(Context_.Identity.Self, Now);
    OwnPeer.Self = true;
    return OwnPeer;
  }
  const Peer *Old = find(Entry.Agent.Id);
  if (!Old)
    return newPeer(Entry, Now);
  Peer Result = *Old;
  const bool AlreadyRetired =
      contains(Old->RetiredIncarnations, Entry.Agent.Start);
  if (!AlreadyRetired && Old->Entry.Agent.Start != Entry.Agent.Start) {
    Result = newPeer(Entry, Now);
    Result.RetiredIncarnations = Old->RetiredIncarnations;
    retire(Result, Old->Entry.Agent.Start);
    return Result;
  }
  Result.Entry = Entry;
  Result.Entry.Agent.Start = Old->Entry.Agent.Start;
  Result.Provisional = AlreadyRetired;
  if (AlreadyRetired)
    Result.Entry.Phase = AgentPhase::Serving;
  return Result;
}

// A heartbeat from a process with the name, address and roster version of a
// listed one shows that the listed process was restarted. The new incarnation
// is used at once, before it is written to the platform.
bool Peers::adoptRestart(Peer &Member, const wire::ControlMessage &Value,
                         TimePoint Now) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  const auto ReplyTo = wire::fromWire(Value.reply_to());
  if (contains(Member.RetiredIncarnations, Sender.Start) ||
      !Value.has_heartbeat())
    return false;
  if (Value.roster_version() != Roster_.Version ||
      ReplyTo != Member.Entry.Control)
    return false;
  Peer Next = newPeer(Member.Entry, Now);
  Next.RetiredIncarnations = Member.RetiredIncarnations;
  retire(Next, Member.Entry.Agent.Start);
  Next.Entry.Agent = Sender;
  Next.Entry.Phase = AgentPhase::Serving;
  Next.Provisional = true;
  Member = std::move(Next);
  return true;
}

Peer *Peers::onMessage(const wire::ControlMessage &Value, TimePoint Now,
                       FlowsOutput &Out) {
  const AgentRef Sender = wire::fromWire(Value.sender());
  Peer *Member = find(Sender.Id);
  if (!Member || Member->Self)
    return nullptr;
  const bool Restarted =
      Member->Entry.Agent != Sender && adoptRestart(*Member, Value, Now);
  if (Member->Entry.Agent != Sender)
    return nullptr;
  const bool WasLeaving = Member->Leaving;
  const bool WasSuspected = Member->Suspected;
  Member->HasReported = true;
  Member->LastMessage = std::max(Member->LastMessage, Now);
  Member->Suspected = false;
  if (Value.view() != 0 && Value.sequence() > Member->Sequence) {
    Member->View = Value.view();
    Member->Sequence = Value.sequence();
    if (Value.has_heartbeat())
      updateLoad(*Member, Value.heartbeat(), Now);
  }
  if (WasSuspected)
    Out.Actions.emplace_back(agentEvent(EventKind::AgentTrusted, Sender.Id));
  if (Restarted || WasSuspected || WasLeaving != Member->Leaving)
    refreshView();
  return Member;
}

void Peers::updateLoad(Peer &Member, const wire::Heartbeat &Value,
                       TimePoint Now) {
  const wire::Load &Reported = Value.load();
  Member.Flows = Reported.flows();
  Member.Load = {Reported.running(), Reported.queued(), Reported.limit()};
  Member.Leaving = Reported.leaving();
  std::erase_if(Member.RecentPlacements,
                [&](TimePoint At) { return At + PlacementLag < Now; });
  Member.Suspects.clear();
  for (const wire::Agent &Suspect : Value.suspects())
    Member.Suspects.push_back(wire::fromWire(Suspect));
}

void Peers::noteVersion(uint64_t Version) {
  NewestKnown_ = std::max(NewestKnown_, Version);
}

// An agent that is not in the roster gets no heartbeats, so it can't conclude
// from missing ones that a peer has failed.
void Peers::suspectSilent(TimePoint Now, FlowsOutput &Out) {
  if (!isListed()) {
    forgetViews(Now);
    return;
  }
  bool Changed = false;
  for (Peer &Member : All_) {
    if (Member.Self || Member.Suspected ||
        Context_.isZoneEvacuated(Member.Entry.Zone))
      continue;
    if (Now - Member.LastMessage < SuspectAfter)
      continue;
    Member.Suspected = true;
    Member.SuspectedSince = Now;
    Changed = true;
    Out.Actions.emplace_back(
        agentEvent(EventKind::AgentSuspected, Member.Entry.Agent.Id));
  }
  if (Changed)
    refreshView();
}

void Peers::forgetViews(TimePoint Now) {
  for (Peer &Member : All_) {
    Member.View = 0;
    Member.LastMessage = Now;
  }
}

void Peers::setLeaving(bool Leaving) {
  Leaving_ = Leaving;
  refreshView();
}

bool Peers::canBeHome(const Peer &Member) const {
  if (!Context_.zoneServes(Member.Entry.Zone))
    return false;
  if (Member.Self)
    return !Leaving_ && !Superseded_;
  return Member.Entry.Phase == AgentPhase::Serving && !Member.Leaving &&
         !Member.Suspected;
}

// A lapse is counted when a peer becomes usable again, because until then more
// of its flows may be placed elsewhere.
void Peers::updateLapses() {
  for (Peer &Member : All_) {
    const bool Usable = findUsable(Member.Entry.Agent) != nullptr;
    if (Usable && !Member.Usable)
      Member.Lapse = ++LastLapse_;
    Member.Usable = Usable;
  }
}

void Peers::refreshView() {
  updateLapses();
  uint64_t Hash = ViewSeed;
  for (const Peer &Member : All_) {
    if (!canBeHome(Member))
      continue;
    const AgentRef Agent = Member.Entry.Agent;
    Hash = mix(Hash, static_cast<uint64_t>(Agent.Id));
    Hash = mix(Hash, static_cast<uint64_t>(Agent.Start));
  }
  Hash |= 2; // Distinct from 0 (no view) and UnregisteredView.
  if (Hash == View_)
    return;
  View_ = Hash;
  ++ViewNumber_;
}

const Peer *Peers::homeOf(Endpoint Caller) const {
  const RosterEntry *Home = dragonflystall::homeOf(
      Roster_, Context_.flow(Caller), [this](const RosterEntry &Entry) {
        return canBeHome(All_[&Entry - Roster_.Agents.data()]);
      });
  return Home ? &All_[Home - Roster_.Agents.data()] : nullptr;
}

bool Peers::isSettled(TimePoint Now) const {
  if (NewestKnown_ > Roster_.Version)
    return false;
  return std::all_of(All_.begin(), All_.end(), [&](const Peer &Member) {
    if (Member.Self || Member.Suspected ||
        Context_.isZoneEvacuated(Member.Entry.Zone))
      return true;
    return Member.HasReported && Member.View == View_ &&
           Now - Member.LastMessage <= ViewLifetime;
  });
}

std::vector<const Peer *> Peers::reachable() const {
  std::vector<const Peer *> Result;
  for (const Peer &Member : All_)
    if (!Member.Self && !Member.Suspected &&
        !Context_.isZoneEvacuated(Member.Entry.Zone))
      Result.push_back(&Member);
  return Result;
}

std::vector<Candidate> Peers::candidates(AgentId Excluded, size_t OwnFlows,
                                         const RequestLoad &OwnRequests,
                                         TimePoint Now) const {
  std::vector<Candidate> Result;
  // Each home places about the same share of the new flows, so the other homes
  // are assumed to have placed as many as this one.
  const auto OtherHomes = static_cast<uint32_t>(
      std::count_if(All_.begin(), All_.end(), [&](const Peer &Member) {
        return !Member.Self && canBeHome(Member);
      }));
  for (const Peer &Member : All_) {
    if (Member.Entry.Agent.Id == Excluded || !canBeHome(Member))
      continue;
    if (!Member.Self &&
        (!Member.HasReported || Member.RefusedAt + RefusalBackoff > Now))
      continue;
    const RequestLoad &Load = Member.Self ? OwnRequests : Member.Load;
    Candidate Option;
    Option.Agent = Member.Entry.Agent;
    Option.Flows = static_cast<uint32_t>(
        Member.Self ? OwnFlows : Member.Flows + Member.RecentPlacements.size());
    Option.UnreportedFlows =
        static_cast<uint32_t>(Member.RecentPlacements.size()) * OtherHomes;
    Option.Capacity = Context_.capacity(Member.Entry.Connections);
    Option.Requests = Load.Running + Load.Queued;
    Option.Limit = Load.Limit;
    Option.Slots = Member.Entry.Slots;
    Option.SameZone = Member.Entry.Zone == Context_.Identity.Self.Zone;
    Result.push_back(Option);
  }
  return Result;
}

void Peers::notePlacement(AgentId Id, TimePoint Now) {
  if (Peer *Member = find(Id); Member && !Member->Self)
    Member->RecentPlacements.push_back(Now);
}

void Peers::noteLostFlow(AgentId Id) {
  Peer *Member = find(Id);
  if (Member && !Member->Leaving)
    Member->Lapse = ++LastLapse_;
}

void Peers::noteRefusal(AgentId Id, TimePoint Now) {
  if (Peer *Member = find(Id))
    Member->RefusedAt = Now;
}

} // namespace dragonflystall
