// Writes the roster when it differs from what this agent knows, and sends it to
// the peers. Roster writes are never periodic: each one follows from a join, a
// phase change, a leave or the confirmed failure of an agent.
#include "membership.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool sameAgents(const Roster &A, const Roster &B) {
  return A.Agents == B.Agents;
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
  heartbeatNow();
}

void Membership::onWritten(const RosterWritten &Result, TimePoint Now,
                           FlowsOutput &Out) {
  WrittenAt_.reset();
  const bool Written = Result.Outcome == RosterWritten::Result::Written;
  onRoster(Result.Stored, Now, Out);
  if (!Written) {
    retryLater(Now);
    return;
  }
  Backoff_ = {};
  Event E;
  E.Kind = EventKind::RosterWritten;
  E.Value = Result.Stored.Version;
  Out.Actions.emplace_back(E);
  for (const Peer *P : Peers_.reachable())
    push(P->Entry.Control, Out);
}

void Membership::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                        FlowsOutput &Out) {
  const auto ReplyTo = wire::fromWire(Value.reply_to());
  if (Value.has_roster_push())
    if (auto Pushed = wire::fromWire(Value.roster_push().roster()))
      onRoster(*Pushed, Now, Out);
  if (!ReplyTo)
    return;
  const uint64_t Own = Peers_.roster().Version;
  const bool Asked =
      Value.has_roster_pull() && Value.roster_pull().known_version() < Own;
  // An agent that was removed gets no heartbeats, which would tell it the
  // roster version.
  const bool Removed = Value.has_heartbeat() && Value.roster_version() < Own &&
                       !Peers_.find(AgentId{Value.sender().id()});
  if (Asked || Removed)
    push(*ReplyTo, Out);
  if (Value.roster_version() <= Own)
    return;
  Peers_.noteNewer(Value.roster_version());
  pull(*ReplyTo, Now, Out);
}

void Membership::sawVersion(uint64_t Version, Endpoint From, TimePoint Now,
                            FlowsOutput &Out) {
  if (Version <= Peers_.roster().Version)
    return;
  if (Version > Peers_.newestKnown()) {
    Peers_.noteNewer(Version);
    wantRoster(Out);
  }
  if (const Peer *Sender = Peers_.byData(From))
    pull(Sender->Entry.Control, Now, Out);
}

void Membership::tick(TimePoint Now, const wire::Load &Load, FlowsOutput &Out) {
  const bool Unknown = Peers_.newestKnown() == 0 ||
                       Peers_.newestKnown() > Peers_.roster().Version;
  if (Unknown && Now >= NextWant_) {
    NextWant_ = Now + WantRosterPeriod;
    wantRoster(Out);
  }
  if (Now >= NextHeartbeat_)
    sendHeartbeats(Now, Load, Out);
  if (WrittenAt_ && Now - *WrittenAt_ > WriteTimeout) {
    WrittenAt_.reset();
    retryLater(Now);
  }
  if (!WrittenAt_)
    write(Now, Out);
}

void Membership::write(TimePoint Now, FlowsOutput &Out) {
  Roster Wanted = desired(Now);
  if (sameAgents(Wanted, Peers_.roster())) {
    WriteAt_.reset();
    return;
  }
  if (!WriteAt_)
    WriteAt_ = Now + firstDelay();
  if (Now < *WriteAt_)
    return;
  for (const RosterEntry &Entry : Peers_.roster().Agents)
    if (!Wanted.find(Entry.Agent.Id) && Entry.Agent.Id != Context_.self().Id) {
      ++Removals_[Entry.Agent];
      Event E;
      E.Kind = EventKind::AgentRemoved;
      E.Agent = Entry.Agent.Id;
      Out.Actions.emplace_back(E);
    }
  WriteAt_.reset();
  WrittenAt_ = Now;
  const uint64_t Expected = Peers_.roster().Version;
  Out.Actions.emplace_back(UpdateRoster{Expected, std::move(Wanted)});
}

void Membership::retryLater(TimePoint Now) {
  Backoff_ = std::clamp(Backoff_ * 2, WriteBackoffLeast, WriteBackoffMost);
  WriteAt_ = Now + Context_.jitter(Backoff_ / 2, Backoff_);
}

Duration Membership::firstDelay() {
  const Peer *Own = Peers_.find(Context_.self().Id);
  if (!Own)
    return Context_.jitter({}, JoinSpread);
  const RosterEntry *Listed = Peers_.roster().find(Context_.self().Id);
  if (Listed->Agent != Context_.self())
    return Context_.jitter({}, RestartSpread);
  return {};
}

bool Membership::mayJoin() const {
  return !Gone_ && !Peers_.superseded() && !Context_.ownZoneOut();
}

// The roster in force with the changes that this agent knows of: its own entry,
// all restarted peers, so that a single write covers them, and failed agents.
Roster Membership::desired(TimePoint Now) const {
  Roster Result = Peers_.roster();
  Result.Service = Context_.Service;
  Result.Team = Context_.Identity.Team;
  Result.Name = Context_.Identity.Service;
  if (Gone_)
    removeAgent(Result, Context_.self());
  if (!mayJoin())
    return Result;
  RosterEntry Own = Context_.Identity.Self;
  Own.Phase = Peers_.leaving() ? AgentPhase::Leaving : AgentPhase::Serving;
  upsert(Result, Own);
  for (const Peer &P : Peers_.all()) {
    if (P.Provisional && !P.Suspected)
      upsert(Result, P.Entry);
    else if (isDead(P, Now))
      removeAgent(Result, Peers_.roster().find(P.Entry.Agent.Id)->Agent);
  }
  return Result;
}

// The suspicion of a single agent is not enough, except in a service of two
// agents, and there only after RemoveAfterWithoutMajority. Agents in zones that
// are out have no vote and are not removed.
bool Membership::isDead(const Peer &P, TimePoint Now) const {
  if (!P.Suspected || Context_.zoneOut(P.Entry.Zone))
    return false;
  size_t Listed = 0;
  size_t Alive = 0;
  size_t Votes = 0;
  for (const Peer &Voter : Peers_.all()) {
    if (Context_.zoneOut(Voter.Entry.Zone))
      continue;
    ++Listed;
    if (Voter.Suspected)
      continue;
    ++Alive;
    Votes += Voter.Self || suspects(Voter, P.Entry.Agent) ? 1 : 0;
  }
  const Duration Silent = Now - P.SuspectedSince;
  const Duration Wait = removalDelay(P);
  if (Votes * 2 > Listed)
    return Silent >= RemoveAfter + Wait;
  return Votes * 2 > Alive && Silent >= RemoveAfterWithoutMajority + Wait;
}

Duration Membership::removalDelay(const Peer &P) const {
  const auto It = Removals_.find(P.Entry.Agent);
  const unsigned Before = It == Removals_.end() ? 0 : It->second;
  const Duration Backoff =
      Before == 0
          ? Duration{}
          : std::min<Duration>(RemoveAfter * (1U << std::min(6U, Before)),
                               MaxRemovalBackoff);
  return Backoff + RemovalTurn * turnOf(P);
}

// The number of unsuspected agents that precede this one in the order in which
// they write the removal.
unsigned Membership::turnOf(const Peer &P) const {
  const auto Key = static_cast<uint64_t>(P.Entry.Agent.Start);
  const uint64_t Own = rendezvousWeight(Key, Context_.self().Id);
  unsigned Before = 0;
  for (const Peer &Voter : Peers_.all())
    if (!Voter.Self && !Voter.Suspected &&
        rendezvousWeight(Key, Voter.Entry.Agent.Id) < Own)
      ++Before;
  return Before;
}

bool Membership::left() const {
  const RosterEntry *Own = Peers_.roster().find(Context_.self().Id);
  return !Own || Own->Agent != Context_.self();
}

void Membership::sendHeartbeats(TimePoint Now, const wire::Load &Load,
                                FlowsOutput &Out) {
  NextHeartbeat_ = Now + Context_.jitter(HeartbeatLeast, HeartbeatMost);
  ControlPtr Message = Context_.newMessage();
  wire::Heartbeat &Body = *Message->mutable_heartbeat();
  *Body.mutable_load() = Load;
  for (const Peer &P : Peers_.all())
    if (P.Suspected)
      *Body.add_suspects() = wire::toWire(P.Entry.Agent);
  for (const Peer &P : Peers_.all()) {
    if (P.Lapse == 0)
      continue;
    wire::Lapse &Lapse = *Body.add_lapses();
    *Lapse.mutable_agent() = wire::toWire(P.Entry.Agent);
    Lapse.set_count(P.Lapse);
  }
  for (const Peer &P : Peers_.all())
    if (!P.Self && !Context_.zoneOut(P.Entry.Zone))
      sendPeer(Context_, P.Entry.Control, Message, Out);
}

void Membership::push(Endpoint To, FlowsOutput &Out) {
  ControlPtr Message = Context_.newMessage();
  *Message->mutable_roster_push()->mutable_roster() =
      wire::toWire(Peers_.roster());
  sendPeer(Context_, To, std::move(Message), Out);
}

void Membership::pull(Endpoint To, TimePoint Now, FlowsOutput &Out) {
  if (LastPull_ != TimePoint::min() && Now - LastPull_ < PullPeriod)
    return;
  LastPull_ = Now;
  ControlPtr Message = Context_.newMessage();
  Message->mutable_roster_pull()->set_service(
      static_cast<uint64_t>(Context_.Service));
  Message->mutable_roster_pull()->set_known_version(Peers_.roster().Version);
  sendPeer(Context_, To, std::move(Message), Out);
}

void Membership::wantRoster(FlowsOutput &Out) const {
  Out.Actions.emplace_back(WantRoster{Context_.Service, Peers_.newestKnown()});
}

} // namespace dragonflystall
