// Writes the roster when it differs from what this agent knows, and sends it to
// the peers. Roster writes are never periodic: each one follows from a join, a
// phase change, a leave or the confirmed failure of an agent.
#include "membership.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool sameAgents(const Roster &First, const Roster &Second) {
  return First.Agents == Second.Agents;
}

bool suspects(const Peer &Voter, AgentRef Agent) {
  return std::find(Voter.Suspects.begin(), Voter.Suspects.end(), Agent) !=
         Voter.Suspects.end();
}

} // namespace

void Membership::onRoster(const Roster &Value, TimePoint Now,
                          FlowsOutput &Out) {
  if (!Peers_.adopt(Value, Now, Out))
    return;
  scheduleHeartbeat();
}

void Membership::onWritten(const RosterWritten &Result, TimePoint Now,
                           FlowsOutput &Out) {
  WriteStarted_.reset();
  const bool Written = Result.Outcome == RosterWritten::Result::Written;
  onRoster(Result.Stored, Now, Out);
  if (!Written) {
    retryLater(Now);
    return;
  }
  Backoff_ = {};
  Event NewEvent;
  NewEvent.Kind = EventKind::RosterWritten;
  NewEvent.Value = Result.Stored.Version;
  Out.Actions.emplace_back(NewEvent);
  for (const Peer *Member : Peers_.reachable())
    sendRosterPush(Member->Entry.Control, Out);
}

void Membership::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                        FlowsOutput &Out) {
  const auto ReplyTo = wire::fromWire(Value.reply_to());
  if (Value.has_roster_push())
    if (auto Pushed = wire::fromWire(Value.roster_push().roster()))
      onRoster(*Pushed, Now, Out);
  if (!ReplyTo)
    return;
  const uint64_t OwnVersion = Peers_.roster().Version;
  const bool RosterRequested = Value.has_roster_pull() &&
                               Value.roster_pull().known_version() < OwnVersion;
  // An agent that was removed gets no heartbeats, which would tell it the
  // roster version.
  const bool SenderRemoved = Value.has_heartbeat() &&
                             Value.roster_version() < OwnVersion &&
                             !Peers_.find(AgentId{Value.sender().id()});
  if (RosterRequested || SenderRemoved)
    sendRosterPush(*ReplyTo, Out);
  if (Value.roster_version() <= OwnVersion)
    return;
  Peers_.noteVersion(Value.roster_version());
  sendRosterPull(*ReplyTo, Now, Out);
}

void Membership::onPacketVersion(uint64_t Version, Endpoint From, TimePoint Now,
                                 FlowsOutput &Out) {
  if (Version <= Peers_.roster().Version)
    return;
  if (Version > Peers_.newestKnown()) {
    Peers_.noteVersion(Version);
    requestRoster(Out);
  }
  if (const Peer *Sender = Peers_.findByDataAddress(From))
    sendRosterPull(Sender->Entry.Control, Now, Out);
}

void Membership::tick(TimePoint Now, const wire::Load &Load, FlowsOutput &Out) {
  const bool Outdated = Peers_.newestKnown() == 0 ||
                        Peers_.newestKnown() > Peers_.roster().Version;
  if (Outdated && Now >= NextRosterRequest_) {
    NextRosterRequest_ = Now + RosterRequestPeriod;
    requestRoster(Out);
  }
  if (Now >= NextHeartbeat_)
    sendHeartbeats(Now, Load, Out);
  if (WriteStarted_ && Now - *WriteStarted_ > WriteTimeout) {
    WriteStarted_.reset();
    retryLater(Now);
  }
  if (!WriteStarted_)
    write(Now, Out);
}

void Membership::write(TimePoint Now, FlowsOutput &Out) {
  Roster Desired = desiredRoster(Now);
  if (sameAgents(Desired, Peers_.roster())) {
    WriteAt_.reset();
    return;
  }
  if (!WriteAt_)
    WriteAt_ = Now + initialWriteDelay();
  if (Now < *WriteAt_)
    return;
  for (const RosterEntry &Entry : Peers_.roster().Agents)
    if (!Desired.find(Entry.Agent.Id) && Entry.Agent.Id != Context_.self().Id) {
      ++Removals_[Entry.Agent];
      Event NewEvent;
      NewEvent.Kind = EventKind::AgentRemoved;
      NewEvent.Agent = Entry.Agent.Id;
      Out.Actions.emplace_back(NewEvent);
    }
  WriteAt_.reset();
  WriteStarted_ = Now;
  const uint64_t Expected = Peers_.roster().Version;
  Out.Actions.emplace_back(UpdateRoster{Expected, std::move(Desired)});
}

void Membership::retryLater(TimePoint Now) {
  Backoff_ = std::clamp(Backoff_ * 2, MinWriteBackoff, MaxWriteBackoff);
  WriteAt_ = Now + Context_.jitter(Backoff_ / 2, Backoff_);
}

Duration Membership::initialWriteDelay() {
  const Peer *OwnPeer = Peers_.find(Context_.self().Id);
  if (!OwnPeer)
    return Context_.jitter({}, MaxJoinDelay);
  const RosterEntry *Listed = Peers_.roster().find(Context_.self().Id);
  if (Listed->Agent != Context_.self())
    return Context_.jitter({}, MaxRestartDelay);
  return {};
}

bool Membership::canBeListed() const {
  return !LeaveRequested_ && !Peers_.isSuperseded() && !Context_.ownZoneOut();
}

// The roster in force with the changes that this agent knows of: its own entry,
// all restarted peers, so that a single write covers them, and failed agents.
Roster Membership::desiredRoster(TimePoint Now) const {
  Roster Result = Peers_.roster();
  Result.Service = Context_.Service;
  Result.Team = Context_.Identity.Team;
  Result.Name = Context_.Identity.Service;
  if (LeaveRequested_)
    removeAgent(Result, Context_.self());
  if (!canBeListed())
    return Result;
  RosterEntry OwnEntry = Context_.Identity.Self;
  OwnEntry.Phase =
      Peers_.isLeaving() ? AgentPhase::Leaving : AgentPhase::Serving;
  upsert(Result, OwnEntry);
  for (const Peer &Member : Peers_.all()) {
    if (Member.Provisional && !Member.Suspected)
      upsert(Result, Member.Entry);
    else if (hasFailed(Member, Now))
      removeAgent(Result, Peers_.roster().find(Member.Entry.Agent.Id)->Agent);
  }
  return Result;
}

// The suspicion of a single agent is not enough, except in a service of two
// agents, and there only after RemoveAfterWithoutMajority. Agents in zones that
// are out have no vote and are not removed.
bool Membership::hasFailed(const Peer &Member, TimePoint Now) const {
  if (!Member.Suspected || Context_.isZoneEvacuated(Member.Entry.Zone))
    return false;
  size_t Listed = 0;
  size_t Alive = 0;
  size_t Votes = 0;
  for (const Peer &Voter : Peers_.all()) {
    if (Context_.isZoneEvacuated(Voter.Entry.Zone))
      continue;
    ++Listed;
    if (Voter.Suspected)
      continue;
    ++Alive;
    Votes += Voter.Self || suspects(Voter, Member.Entry.Agent) ? 1 : 0;
  }
  const Duration Silent = Now - Member.SuspectedSince;
  const Duration Wait = removalDelay(Member);
  if (Votes * 2 > Listed)
    return Silent >= RemoveAfter + Wait;
  return Votes * 2 > Alive && Silent >= RemoveAfterWithoutMajority + Wait;
}

Duration Membership::removalDelay(const Peer &Member) const {
  const auto It = Removals_.find(Member.Entry.Agent);
  const unsigned Count = It == Removals_.end() ? 0 : It->second;
  const Duration Backoff =
      Count == 0 ? Duration{}
                 : std::min<Duration>(RemoveAfter * (1U << std::min(6U, Count)),
                                      MaxRemovalBackoff);
  return Backoff + RemovalStagger * removalRank(Member);
}

// The number of unsuspected agents that precede this one in the order in which
// they write the removal.
unsigned Membership::removalRank(const Peer &Member) const {
  const auto Key = static_cast<uint64_t>(Member.Entry.Agent.Start);
  const uint64_t OwnWeight = rendezvousWeight(Key, Context_.self().Id);
  unsigned Count = 0;
  for (const Peer &Voter : Peers_.all())
    if (!Voter.Self && !Voter.Suspected &&
        rendezvousWeight(Key, Voter.Entry.Agent.Id) < OwnWeight)
      ++Count;
  return Count;
}

bool Membership::hasLeft() const {
  const RosterEntry *OwnEntry = Peers_.roster().find(Context_.self().Id);
  return !OwnEntry || OwnEntry->Agent != Context_.self();
}

void Membership::sendHeartbeats(TimePoint Now, const wire::Load &Load,
                                FlowsOutput &Out) {
  NextHeartbeat_ =
      Now + Context_.jitter(MinHeartbeatInterval, MaxHeartbeatInterval);
  ControlPtr Message = Context_.newMessage();
  wire::Heartbeat &Body = *Message->mutable_heartbeat();
  *Body.mutable_load() = Load;
  for (const Peer &Member : Peers_.all())
    if (Member.Suspected)
      *Body.add_suspects() = wire::toWire(Member.Entry.Agent);
  for (const Peer &Member : Peers_.all()) {
    if (Member.Lapse == 0)
      continue;
    wire::Lapse &Lapse = *Body.add_lapses();
    *Lapse.mutable_agent() = wire::toWire(Member.Entry.Agent);
    Lapse.set_count(Member.Lapse);
  }
  for (const Peer &Member : Peers_.all())
    if (!Member.Self && !Context_.isZoneEvacuated(Member.Entry.Zone))
      sendPeer(Context_, Member.Entry.Control, Message, Out);
}

void Membership::sendRosterPush(Endpoint To, FlowsOutput &Out) {
  ControlPtr Message = Context_.newMessage();
  *Message->mutable_roster_push()->mutable_roster() =
      wire::toWire(Peers_.roster());
  sendPeer(Context_, To, std::move(Message), Out);
}

void Membership::sendRosterPull(Endpoint To, TimePoint Now, FlowsOutput &Out) {
  if (LastPull_ != TimePoint::min() && Now - LastPull_ < MinPullInterval)
    return;
  LastPull_ = Now;
  ControlPtr Message = Context_.newMessage();
  Message->mutable_roster_pull()->set_service(
      static_cast<uint64_t>(Context_.Service));
  Message->mutable_roster_pull()->set_known_version(Peers_.roster().Version);
  sendPeer(Context_, To, std::move(Message), Out);
}

void Membership::requestRoster(FlowsOutput &Out) const {
  Out.Actions.emplace_back(FetchRoster{Context_.Service, Peers_.newestKnown()});
}

} // namespace dragonflystall
