// The public methods of Flows, which dispatch each event to the parts.
#include "flows.h"

#include "state.h"
#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

Event flowEvent(EventKind Kind, const FlowKey &Flow, AgentId Agent) {
  Event E;
  E.Kind = Kind;
  E.Flow = Flow;
  E.Agent = Agent;
  return E;
}

uint32_t ageMs(TimePoint Since, TimePoint Now) {
  using std::chrono::milliseconds;
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - Since);
  return static_cast<uint32_t>(std::clamp<int64_t>(Age.count(), 0, UINT32_MAX));
}

Claim claimOf(AgentRef Holder, const wire::Flow &Value, TimePoint Now) {
  return {Holder, Now - std::chrono::milliseconds(Value.age_ms()),
          AgentId{Value.previous()}};
}

void setClaim(wire::Flow &Target, const Claim &By, TimePoint Now) {
  Target.set_age_ms(ageMs(By.Accepted, Now));
  Target.set_previous(static_cast<uint32_t>(By.Previous));
}

void setClaim(wire::Located &Target, const Claim &By, TimePoint Now) {
  *Target.mutable_holder() = wire::toWire(By.Holder);
  setClaim(*Target.mutable_flow(), By, Now);
}

bool winsOver(const Claim &A, const Claim &B) {
  const bool FromB = A.Previous == B.Holder.Id;
  const bool FromA = B.Previous == A.Holder.Id;
  const Duration Apart = std::chrono::abs(A.Accepted - B.Accepted);
  if (FromA != FromB && Apart < ClaimAgeError)
    return FromB;
  return A.Accepted != B.Accepted ? A.Accepted > B.Accepted
                                  : A.Holder < B.Holder;
}

Flows::State::State(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store)
    : Context(std::move(Self), Seed), Store(Store), Others(Context),
      Members(Context, Others) {}

// After a pause of the process the views of the peers are out of date: the
// peers may suspect this agent and may have placed its flows elsewhere.
void Flows::State::noteRun(TimePoint Now) {
  const bool Paused =
      LastRun != TimePoint::min() && Now - LastRun > PauseNoticed;
  LastRun = std::max(LastRun, Now);
  if (!Paused)
    return;
  Others.forgetViews(Now);
  registerAll();
}

wire::Load Flows::State::ownLoad() const {
  wire::Load Result;
  Result.set_flows(static_cast<uint32_t>(Held.size()));
  Result.set_running(Load.Running);
  Result.set_queued(Load.Queued);
  Result.set_limit(Load.Limit);
  Result.set_slots(Context.Identity.Self.Slots);
  Result.set_connections(Context.Identity.Self.Connections);
  Result.set_leaving(Others.leaving());
  return Result;
}

void Flows::State::setLeaving(bool Leaving, TimePoint Now) {
  if (Others.leaving() == Leaving)
    return;
  Others.setLeaving(Leaving);
  LastSuccessor = Now;
  Members.heartbeatNow();
}

void Flows::State::conclude(TimePoint Now, FlowsOutput &Out) {
  if (Others.superseded())
    giveUpAll(Now, Out);
  // The agent was removed from the roster and is listed again; its flows may
  // have been placed elsewhere.
  if (Others.listed() && !WasListed)
    registerAll();
  WasListed = Others.listed();
  if (ScannedView != Others.view())
    scanHomes(Now, Out);
  const uint64_t Stated = registered() ? Others.view() : UnregisteredView;
  if (Stated == Context.AnnouncedView)
    return;
  Context.AnnouncedView = Stated;
  Members.heartbeatNow();
}

Flows::Flows(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store)
    : State_(std::make_unique<State>(std::move(Self), Seed, Store)) {}

Flows::~Flows() = default;

void Flows::onPacket(AgentPacket Packet, TimePoint Now, FlowsOutput &Out) {
  State &S = *State_;
  S.noteRun(Now);
  if (!S.admits(Packet, Out))
    return;
  S.Members.sawVersion(Packet.Header.RosterVersion, Packet.From, Now, Out);
  if (Packet.Header.Kind == PacketKind::Probe)
    S.answerProbe(Packet, Out);
  else
    S.onRequest(std::move(Packet), Now, Out);
  S.ask(Now, Out);
}

void Flows::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                   FlowsOutput &Out) {
  State &S = *State_;
  if (ServiceId{Value.service()} != S.Context.Service ||
      S.Context.ownZoneOut() || !S.Context.trusts(Value.reply_to().ip()))
    return;
  S.noteRun(Now);
  const Peer *From = S.Others.heard(Value, Now, Out);
  S.Members.onPeer(Value, Now, Out);
  S.noteLapses(Value);
  // Members.onPeer may have replaced the roster and with it all peers.
  From = S.Others.find(AgentId{Value.sender().id()});
  if (From && From->Entry.Agent == wire::fromWire(Value.sender())) {
    if (Value.has_locate())
      S.onLocate(Value, *From, Now, Out);
    else if (Value.has_locate_reply())
      S.onLocateReply(Value, *From, Now, Out);
    else if (Value.has_register_())
      S.onRegister(Value, *From, Now, Out);
    else if (Value.has_register_reply())
      S.onRegisterReply(Value, Now, Out);
    else if (Value.has_unregister())
      S.onUnregister(Value);
    else if (Value.has_hand_over())
      S.onHandOver(Value, *From, Now, Out);
    else if (Value.has_hand_over_reply())
      S.onHandOverReply(Value, Now, Out);
  }
  S.conclude(Now, Out);
  S.ask(Now, Out);
}

void Flows::onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out) {
  State_->noteRun(Now);
  State_->Members.onRoster(Value, Now, Out);
  State_->conclude(Now, Out);
}

void Flows::onRosterWritten(const RosterWritten &Result, TimePoint Now,
                            FlowsOutput &Out) {
  State_->noteRun(Now);
  State_->Members.onWritten(Result, Now, Out);
  State_->conclude(Now, Out);
}

void Flows::onSettings(const SettingsPtr &Value, TimePoint Now,
                       FlowsOutput &Out) {
  State &S = *State_;
  if (S.Context.Settings && Value->Version < S.Context.Settings->Version)
    return;
  S.Context.Settings = Value;
  if (S.Context.ownZoneOut())
    S.giveUpAll(Now, Out);
  S.setLeaving(S.StopWanted || S.Context.drained(), Now);
  S.Others.refreshView();
  S.conclude(Now, Out);
}

void Flows::leave(TimePoint Now, FlowsOutput &Out) {
  State_->StopWanted = true;
  State_->setLeaving(true, Now);
  State_->conclude(Now, Out);
  tick(Now, State_->Load, Out);
}

void Flows::tick(TimePoint Now, const OwnLoad &Load, FlowsOutput &Out) {
  State &S = *State_;
  S.noteRun(Now);
  S.Load = Load;
  if (!S.Context.Settings)
    return;
  S.Others.suspectSilent(Now, Out);
  S.conclude(Now, Out);
  S.tickLocate(Now, Out);
  S.sendRegisters(S.Unregistered, false, Now, Out);
  S.sendRegisters(S.ToRefresh, true, Now, Out);
  S.retryRegisters(Now, Out);
  if (Now - SweepPeriod >= S.LastSweep) {
    S.LastSweep = Now;
    S.sweepHeld(Now, Out);
    S.sweepHome(Now);
    S.sweepMoved(Now);
  }
  S.handOver(Now, Out);
  S.retryHandOvers(Now, Out);
  S.finishLeaving(Now, Out);
  S.conclude(Now, Out);
  S.Members.tick(Now, S.ownLoad(), Out);
}

bool Flows::holds(const FlowKey &Flow) const {
  const HeldFlow *Found = State_->Held.find(Flow.Caller);
  return Found && Found->Batch == 0;
}

AgentId Flows::holderOf(const FlowKey &Flow) const {
  if (State_->Held.find(Flow.Caller))
    return State_->Context.self().Id;
  const MovedFlow *Gone = State_->Moved.find(Flow.Caller);
  return Gone ? Gone->Successor.Id : AgentId::None;
}

std::vector<PeerView> Flows::peers() const {
  std::vector<PeerView> Result;
  for (const Peer &P : State_->Others.all()) {
    if (P.Self || State_->Context.zoneOut(P.Entry.Zone))
      continue;
    PeerView V;
    V.Agent = P.Entry.Agent;
    V.Data = P.Entry.Data;
    V.Control = P.Entry.Control;
    V.Zone = P.Entry.Zone;
    V.Suspected = P.Suspected || !P.Heard;
    V.Leaving = P.Leaving || P.Entry.Phase == AgentPhase::Leaving;
    V.Flows = P.Flows;
    V.Running = P.Load.Running;
    V.Queued = P.Load.Queued;
    V.Limit = P.Load.Limit;
    V.Connections = State_->Context.capacity(P.Entry.Connections);
    Result.push_back(std::move(V));
  }
  return Result;
}

const Roster &Flows::roster() const { return State_->Others.roster(); }

size_t Flows::size() const { return State_->Held.size(); }

bool Flows::empty() const { return State_->doneLeaving(); }

} // namespace dragonflystall
