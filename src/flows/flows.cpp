// The public methods of Flows, which dispatch each event to the parts.
#include "flows.h"

#include "state.h"
#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

Event flowEvent(EventKind Kind, const FlowKey &Flow, AgentId Agent) {
  Event NewEvent;
  NewEvent.Kind = Kind;
  NewEvent.Flow = Flow;
  NewEvent.Agent = Agent;
  return NewEvent;
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

void setClaim(wire::Flow &Target, const Claim &HolderClaim, TimePoint Now) {
  Target.set_age_ms(ageMs(HolderClaim.Accepted, Now));
  Target.set_previous(static_cast<uint32_t>(HolderClaim.Previous));
}

void setClaim(wire::Located &Target, const Claim &HolderClaim, TimePoint Now) {
  *Target.mutable_holder() = wire::toWire(HolderClaim.Holder);
  setClaim(*Target.mutable_flow(), HolderClaim, Now);
}

bool takesPrecedence(const Claim &First, const Claim &Second) {
  const bool FirstSucceedsSecond = First.Previous == Second.Holder.Id;
  const bool SecondSucceedsFirst = Second.Previous == First.Holder.Id;
  const Duration Difference =
      std::chrono::abs(First.Accepted - Second.Accepted);
  if (SecondSucceedsFirst != FirstSucceedsSecond && Difference < ClaimAgeError)
    return FirstSucceedsSecond;
  return First.Accepted != Second.Accepted ? First.Accepted > Second.Accepted
                                           : First.Holder < Second.Holder;
}

Flows::State::State(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store)
    : Context(std::move(Self), Seed), Store(Store), ServicePeers(Context),
      Members(Context, ServicePeers) {}

// After a pause of the process the views of the peers are out of date: the
// peers may suspect this agent and may have placed its flows elsewhere.
void Flows::State::detectPause(TimePoint Now) {
  const bool Paused =
      LastRun != TimePoint::min() && Now - LastRun > PauseThreshold;
  LastRun = std::max(LastRun, Now);
  if (!Paused)
    return;
  ServicePeers.forgetViews(Now);
  registerAll();
}

wire::Load Flows::State::localLoad() const {
  wire::Load Result;
  Result.set_flows(static_cast<uint32_t>(Held.size()));
  Result.set_running(Load.Running);
  Result.set_queued(Load.Queued);
  Result.set_limit(Load.Limit);
  Result.set_slots(Context.Identity.Self.Slots);
  Result.set_connections(Context.Identity.Self.Connections);
  Result.set_leaving(ServicePeers.isLeaving());
  return Result;
}

void Flows::State::setLeaving(bool Leaving, TimePoint Now) {
  if (ServicePeers.isLeaving() == Leaving)
    return;
  ServicePeers.setLeaving(Leaving);
  LastSuccessorSeen = Now;
  Members.scheduleHeartbeat();
}

void Flows::State::updateAfterEvent(TimePoint Now, FlowsOutput &Out) {
  if (ServicePeers.isSuperseded())
    giveUpAll(Now, Out);
  // The agent was removed from the roster and is listed again; its flows may
  // have been placed elsewhere.
  if (ServicePeers.isListed() && !WasListed)
    registerAll();
  WasListed = ServicePeers.isListed();
  if (ScannedView != ServicePeers.view())
    scanHomes(Now, Out);
  const uint64_t Stated =
      allFlowsRegistered() ? ServicePeers.view() : UnregisteredView;
  if (Stated == Context.AnnouncedView)
    return;
  Context.AnnouncedView = Stated;
  Members.scheduleHeartbeat();
}

Flows::Flows(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store)
    : State_(std::make_unique<State>(std::move(Self), Seed, Store)) {}

Flows::~Flows() = default;

void Flows::onPacket(AgentPacket Packet, TimePoint Now, FlowsOutput &Out) {
  State &Impl = *State_;
  Impl.detectPause(Now);
  if (!Impl.admits(Packet, Out))
    return;
  Impl.Members.onPacketVersion(Packet.Header.RosterVersion, Packet.From, Now,
                               Out);
  if (Packet.Header.Kind == PacketKind::Probe)
    Impl.answerProbe(Packet, Out);
  else
    Impl.onRequest(std::move(Packet), Now, Out);
  Impl.sendLocates(Now, Out);
}

void Flows::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                   FlowsOutput &Out) {
  State &Impl = *State_;
  if (ServiceId{Value.service()} != Impl.Context.Service ||
      Impl.Context.ownZoneOut() ||
      !Impl.Context.isTrustedSender(Value.reply_to().ip()))
    return;
  Impl.detectPause(Now);
  const Peer *From = Impl.ServicePeers.onMessage(Value, Now, Out);
  Impl.Members.onPeer(Value, Now, Out);
  Impl.noteLapses(Value);
  // Members.onPeer may have replaced the roster and with it all peers.
  From = Impl.ServicePeers.find(AgentId{Value.sender().id()});
  if (From && From->Entry.Agent == wire::fromWire(Value.sender())) {
    if (Value.has_locate())
      Impl.onLocate(Value, *From, Now, Out);
    else if (Value.has_locate_reply())
      Impl.onLocateReply(Value, *From, Now, Out);
    else if (Value.has_register_())
      Impl.onRegister(Value, *From, Now, Out);
    else if (Value.has_register_reply())
      Impl.onRegisterReply(Value, Now, Out);
    else if (Value.has_unregister())
      Impl.onUnregister(Value);
    else if (Value.has_hand_over())
      Impl.onHandOver(Value, *From, Now, Out);
    else if (Value.has_hand_over_reply())
      Impl.onHandOverReply(Value, Now, Out);
  }
  Impl.updateAfterEvent(Now, Out);
  Impl.sendLocates(Now, Out);
}

void Flows::onRoster(const Roster &Value, TimePoint Now, FlowsOutput &Out) {
  State_->detectPause(Now);
  State_->Members.onRoster(Value, Now, Out);
  State_->updateAfterEvent(Now, Out);
}

void Flows::onRosterWritten(const RosterWritten &Result, TimePoint Now,
                            FlowsOutput &Out) {
  State_->detectPause(Now);
  State_->Members.onWritten(Result, Now, Out);
  State_->updateAfterEvent(Now, Out);
}

void Flows::onSettings(const SettingsPtr &Value, TimePoint Now,
                       FlowsOutput &Out) {
  State &Impl = *State_;
  if (Impl.Context.Settings && Value->Version < Impl.Context.Settings->Version)
    return;
  Impl.Context.Settings = Value;
  if (Impl.Context.ownZoneOut())
    Impl.giveUpAll(Now, Out);
  Impl.setLeaving(Impl.StopRequested || Impl.Context.isDrained(), Now);
  Impl.ServicePeers.refreshView();
  Impl.updateAfterEvent(Now, Out);
}

void Flows::leave(TimePoint Now, FlowsOutput &Out) {
  State_->StopRequested = true;
  State_->setLeaving(true, Now);
  State_->updateAfterEvent(Now, Out);
  tick(Now, State_->Load, Out);
}

void Flows::tick(TimePoint Now, const RequestLoad &Load, FlowsOutput &Out) {
  State &Impl = *State_;
  Impl.detectPause(Now);
  Impl.Load = Load;
  if (!Impl.Context.Settings)
    return;
  Impl.ServicePeers.suspectSilent(Now, Out);
  Impl.updateAfterEvent(Now, Out);
  Impl.tickLocate(Now, Out);
  Impl.sendRegisters(Impl.Unregistered, false, Now, Out);
  Impl.sendRegisters(Impl.ToRefresh, true, Now, Out);
  Impl.retryRegisters(Now, Out);
  if (Now - SweepPeriod >= Impl.LastSweep) {
    Impl.LastSweep = Now;
    Impl.sweepHeld(Now, Out);
    Impl.sweepHome(Now);
    Impl.sweepMoved(Now);
  }
  Impl.handOver(Now, Out);
  Impl.retryHandOvers(Now, Out);
  Impl.finishLeaving(Now, Out);
  Impl.updateAfterEvent(Now, Out);
  Impl.Members.tick(Now, Impl.localLoad(), Out);
}

bool Flows::holds(const FlowKey &Flow) const {
  const HeldFlow *Found = State_->Held.find(Flow.Caller);
  return Found && Found->Batch == 0;
}

AgentId Flows::holderOf(const FlowKey &Flow) const {
  if (State_->Held.find(Flow.Caller))
    return State_->Context.self().Id;
  const MovedFlow *MovedTo = State_->Moved.find(Flow.Caller);
  return MovedTo ? MovedTo->Successor.Id : AgentId::None;
}

std::vector<PeerView> Flows::peers() const {
  std::vector<PeerView> Result;
  for (const Peer &Member : State_->ServicePeers.all()) {
    if (Member.Self || State_->Context.isZoneEvacuated(Member.Entry.Zone))
      continue;
    PeerView View;
    View.Agent = Member.Entry.Agent;
    View.Data = Member.Entry.Data;
    View.Control = Member.Entry.Control;
    View.Zone = Member.Entry.Zone;
    View.Suspected = Member.Suspected || !Member.HasReported;
    View.Leaving = Member.Leaving || Member.Entry.Phase == AgentPhase::Leaving;
    View.Flows = Member.Flows;
    View.Running = Member.Load.Running;
    View.Queued = Member.Load.Queued;
    View.Limit = Member.Load.Limit;
    View.Slots = State_->Context.slots(Member.Entry.Slots);
    View.Connections = State_->Context.capacity(Member.Entry.Connections);
    Result.push_back(std::move(View));
  }
  return Result;
}

const Roster &Flows::roster() const { return State_->ServicePeers.roster(); }

size_t Flows::size() const { return State_->Held.size(); }

bool Flows::isDoneLeaving() const { return State_->isDoneLeaving(); }

} // namespace dragonflystall
