// Requests that are spilled to a peer because the local upstream lacks
// capacity, and requests that peers spill to this agent.
#include "spillmessage.h"
#include "state.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// The retry-after time with which this agent refuses a spill.
constexpr Duration RefusalPause = 1s;
/// A peer that has not answered a spill is queried at this interval.
constexpr Duration QueryInterval = 300ms;
/// After this many unanswered queries the peer is considered lost.
constexpr uint32_t MaxQueries = 3;
/// How long after the deadline an answer in transit may still arrive.
constexpr Duration SpillGrace = 500ms;

/// An agent's limit starts at 1 and returns there when its upstream becomes
/// slow for all requests.
bool isCold(const PeerView &Peer) { return Peer.Limit <= 1 && Peer.Slots > 1; }

} // namespace

std::shared_ptr<wire::ControlMessage> Requests::State::controlMessage() const {
  auto Value = std::make_shared<wire::ControlMessage>();
  Value->mutable_sender()->set_id(static_cast<uint32_t>(Self.Self.Agent.Id));
  Value->mutable_sender()->set_incarnation(
      static_cast<uint64_t>(Self.Self.Agent.Start));
  Value->mutable_reply_to()->set_ip(Self.Self.Control.Ip);
  Value->mutable_reply_to()->set_port(Self.Self.Control.Port);
  Value->set_service(static_cast<uint64_t>(serviceId(Self.Team, Self.Service)));
  return Value;
}

/// The limit that the peer reported, less its reported load and the spills that
/// it has not answered yet. Answered spills are not counted, since the report
/// is updated too rarely: a fast peer would get only a few spills a second.
uint32_t Requests::State::spareCapacity(const PeerView &Peer,
                                        PeerUse Use) const {
  if (Peer.Suspected || Peer.Leaving)
    return 0;
  if (Use == PeerUse::Hedge && isCold(Peer))
    return 0;
  const auto Unanswered = static_cast<uint32_t>(
      std::ranges::count_if(Spills, [&](const auto &Entry) {
        return Entry.second.Peer == Peer.Agent;
      }));
  const uint32_t Load = Peer.Running + Peer.Queued + Unanswered;
  return Peer.Limit - std::min(Peer.Limit, Load);
}

/// Picks a peer at random, weighted by spare capacity, so that agents with the
/// same view of the peers do not all pick the same one.
const PeerView *Requests::State::pickPeer(PeerUse Use) {
  uint64_t Total = 0;
  for (const PeerView &Candidate : Peers)
    Total += spareCapacity(Candidate, Use);
  if (Total == 0)
    return nullptr;
  uint64_t Pick = Random() % Total;
  for (const PeerView &Candidate : Peers) {
    const uint32_t Spare = spareCapacity(Candidate, Use);
    if (Pick < Spare)
      return &Candidate;
    Pick -= Spare;
  }
  return nullptr;
}

/// Returns false if the job was not spilled. A request is spilled at most once,
/// and a request from a peer never. The request has not run, so spilling it
/// adds no work and needs no retry budget; the peers' spare capacity bounds it.
bool Requests::State::trySpill(Job &Value, TimePoint Now, AgentActions &Out) {
  if (Value.Origin || Value.HasBeenSpilled || Value.Cancelled ||
      Now + Limit.typicalLatency() >= Value.Work.Deadline)
    return false;
  const PeerView *Peer = pickPeer(PeerUse::Spill);
  if (Peer == nullptr)
    return false;
  Value.Phase = JobPhase::Spilled;
  Value.SpillId = sendSpill(
      Value, *Peer,
      requestEvent(EventKind::RequestSpilled, Value.Work.Flow, Value.Id), Now,
      Out);
  return true;
}

/// Returns the spill's id, by which the answer is found.
uint64_t Requests::State::sendSpill(Job &Value, const PeerView &Peer,
                                    Event Sending, TimePoint Now,
                                    AgentActions &Out) {
  const uint64_t Id = NextSpill++;
  Value.HasBeenSpilled = true;
  Spills[Id] = {Value.Id, Peer.Agent, Peer.Control, Now + QueryInterval};
  auto Sent = controlMessage();
  wire::Spill &Body = *Sent->mutable_spill();
  Body.set_id(Id);
  Body.mutable_flow()->set_caller_ip(Value.Work.Flow.Caller.Ip);
  Body.mutable_flow()->set_caller_port(Value.Work.Flow.Caller.Port);
  Body.set_executor(static_cast<uint64_t>(Peer.Agent.Start));
  fillRequest(Value.Work, Now, *Body.mutable_request());
  Sending.Agent = Peer.Agent.Id;
  Sending.Value = Id;
  Out.emplace_back(std::move(Sending));
  Out.emplace_back(SendPeer{Peer.Control, std::move(Sent)});
  return Id;
}

/// Retries at a peer a request that the local upstream got and did not finish.
/// This is extra work and needs retry budget, except on a leaving agent, which
/// has few requests.
bool Requests::State::retryAtPeer(Job &Value, TimePoint Now,
                                  AgentActions &Out) {
  if (!Leaving && !Retries.isAvailable())
    return false;
  if (!trySpill(Value, Now, Out))
    return false;
  if (!Leaving)
    Retries.spend();
  return true;
}

void Requests::State::onSpillReply(const wire::ControlMessage &Value,
                                   TimePoint Now, AgentActions &Out) {
  const wire::SpillReply &Reply = Value.spill_reply();
  const auto It = Spills.find(Reply.id());
  if (It == Spills.end() || It->second.Peer != senderOf(Value) ||
      Incarnation{Reply.issuer()} != Self.Self.Agent.Start)
    return;
  const Answer Result = fromWire(Reply.answer());
  if (Result.Kind == Code::Empty) {
    It->second.Queries = 0;
    It->second.NextQuery = Now + QueryInterval;
    return;
  }
  Job &Spilled = Jobs.at(It->second.Job);
  const bool IsHedge = It->second.IsHedge;
  Spills.erase(It);
  if (IsHedge) {
    onHedgeReply(Spilled, Result, Now, Out);
    return;
  }
  Spilled.Phase = JobPhase::New;
  if (Result.Verdict == Verdict::NotRun && !Spilled.Cancelled)
    dispatch(Spilled, Now, Out);
  else if (Result.Verdict == Verdict::NotRun && Spilled.MayHaveRun)
    refuse(Spilled, Now, Out); // An earlier attempt may have run.
  else
    finish(Spilled, Result, Now, Out);
}

/// Queries peers that have not answered. A request whose peer stays silent may
/// have run: only an idempotent one is tried again.
void Requests::State::sweepSpills(TimePoint Now, AgentActions &Out) {
  std::vector<uint64_t> LostSpills;
  for (auto &[Id, Spill] : Spills) {
    const bool IsSilent = Spill.Queries >= MaxQueries && Now >= Spill.NextQuery;
    const TimePoint Deadline = Jobs.at(Spill.Job).Work.Deadline;
    if (IsSilent || Now >= Deadline + SpillGrace)
      LostSpills.push_back(Id);
    else if (Now >= Spill.NextQuery)
      query(Id, Spill, Now, Out);
  }
  for (const uint64_t Id : LostSpills) {
    Job &Value = Jobs.at(Spills.at(Id).Job);
    const bool IsHedge = Spills.at(Id).IsHedge;
    Spills.erase(Id);
    if (IsHedge) {
      onHedgeLost(Value, Now, Out);
      continue;
    }
    Value.Phase = JobPhase::New;
    Value.MayHaveRun = true;
    if (isIdempotent(Value.Work.Method) && Now < Value.Work.Deadline &&
        !Value.Cancelled)
      dispatch(Value, Now, Out);
    else
      finish(Value, bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun), Now,
             Out);
  }
}

void Requests::State::query(uint64_t Id, PendingSpill &Spill, TimePoint Now,
                            AgentActions &Out) {
  ++Spill.Queries;
  Spill.NextQuery = Now + QueryInterval;
  auto Sent = controlMessage();
  Sent->mutable_spill_query()->set_id(Id);
  Sent->mutable_spill_query()->set_executor(
      static_cast<uint64_t>(Spill.Peer.Start));
  Out.emplace_back(SendPeer{Spill.Control, std::move(Sent)});
}

void Requests::State::replyToSpill(const SpillOrigin &To, const Answer &Result,
                                   AgentActions &Out) const {
  auto Sent = controlMessage();
  wire::SpillReply &Reply = *Sent->mutable_spill_reply();
  Reply.set_id(To.SpillId);
  Reply.set_issuer(static_cast<uint64_t>(To.Issuer.Start));
  *Reply.mutable_answer() = toWire(Result);
  Out.emplace_back(SendPeer{To.Control, std::move(Sent)});
}

/// A message for an earlier incarnation gets no answer, since this one can't
/// tell whether the request ran.
void Requests::State::onSpill(const wire::ControlMessage &Value, TimePoint Now,
                              AgentActions &Out) {
  const wire::Spill &Body = Value.spill();
  if (Incarnation{Body.executor()} != Self.Self.Agent.Start)
    return;
  const SpillOrigin Origin{senderOf(Value), replyTo(Value), Body.id()};
  switch (SpillRecords.state(Origin.Issuer, Body.id())) {
  case SpillState::Done:
    replyToSpill(Origin, SpillRecords.answer(Origin.Issuer, Body.id()), Out);
    return;
  case SpillState::InProgress:
  case SpillState::Dropped:
    return;
  case SpillState::New:
    break;
  }
  const bool HasRoom = !Leaving && Runs.size() + Queue.size() < Limit.limit();
  if (!HasRoom || Body.request().method() == 0 ||
      Body.request().method() > static_cast<uint32_t>(Code::Delete)) {
    const Answer Refusal = refusal(Verdict::NotRun, RefusalPause);
    SpillRecords.settle(Origin.Issuer, Body.id(), Refusal, Now);
    replyToSpill(Origin, Refusal, Out);
    return;
  }
  SpillRecords.accept(Origin.Issuer, Body.id(), Now);
  Job Spilled;
  Spilled.Work = workOf(Body, serviceId(Self.Team, Self.Service), Now);
  Spilled.Origin = Origin;
  dispatch(addJob(std::move(Spilled)), Now, Out);
}

void Requests::State::onSpillQuery(const wire::ControlMessage &Value,
                                   TimePoint Now, AgentActions &Out) {
  const wire::SpillQuery &Body = Value.spill_query();
  if (Incarnation{Body.executor()} != Self.Self.Agent.Start)
    return;
  const SpillOrigin Origin{senderOf(Value), replyTo(Value), Body.id()};
  const SpillState RecordState = SpillRecords.state(Origin.Issuer, Body.id());
  if (RecordState == SpillState::Dropped)
    return;
  if (RecordState == SpillState::InProgress) {
    replyToSpill(Origin, bareAnswer(Code::Empty, Verdict::MayHaveRun), Out);
    return;
  }
  // Record a tombstone before answering, since the spill may still arrive.
  if (RecordState == SpillState::New)
    SpillRecords.settle(Origin.Issuer, Body.id(),
                        refusal(Verdict::NotRun, RefusalPause), Now);
  replyToSpill(Origin, SpillRecords.answer(Origin.Issuer, Body.id()), Out);
}

void Requests::State::onSpillCancel(const wire::ControlMessage &Value,
                                    TimePoint Now, AgentActions &Out) {
  for (auto &[Id, ActiveJob] : Jobs) {
    if (!ActiveJob.Origin || ActiveJob.Origin->Issuer != senderOf(Value) ||
        ActiveJob.Origin->SpillId != Value.spill_cancel().id())
      continue;
    cancel(ActiveJob, Now, Out);
    return;
  }
}

void Requests::State::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                             AgentActions &Out) {
  if (Value.service() !=
      static_cast<uint64_t>(serviceId(Self.Team, Self.Service)))
    return;
  if (Value.has_spill())
    onSpill(Value, Now, Out);
  else if (Value.has_spill_reply())
    onSpillReply(Value, Now, Out);
  else if (Value.has_spill_query())
    onSpillQuery(Value, Now, Out);
  else if (Value.has_spill_cancel())
    onSpillCancel(Value, Now, Out);
}

} // namespace dragonflystall
