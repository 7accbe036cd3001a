// Hedges: a slow idempotent request also runs at a peer, and the first answer
// is delivered. On the wire a hedge is a spill, so the peer runs it at most
// once and never passes it on.
#include "state.h"

#include "types/check.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

double milliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

/// Hedges the runs that take longer than the delay of their method. Runs are
/// in the order of their start, so the loop ends at the first one that is
/// younger than all delays.
void Requests::State::sweepHedges(TimePoint Now, AgentActions &Out) {
  const auto Least = Hedges.leastDelay(Now);
  if (!Least)
    return;
  for (const auto &[Id, ActiveRun] : Runs) {
    if (Now - ActiveRun.Started < *Least)
      return;
    const auto Found = Jobs.find(ActiveRun.Job);
    if (Found != Jobs.end() && Found->second.Run == Id)
      considerHedge(Found->second, ActiveRun, Now, Out);
  }
}

/// The first future time at which a run becomes due for a hedge. Runs that are
/// due now have been considered.
std::optional<TimePoint> Requests::State::nextHedgeAt(TimePoint Now) {
  std::optional<TimePoint> Next;
  const auto Least = Hedges.leastDelay(Now);
  if (!Least)
    return Next;
  for (const auto &[Id, ActiveRun] : Runs) {
    if (Next && ActiveRun.Started + *Least >= *Next)
      break;
    const auto Found = Jobs.find(ActiveRun.Job);
    if (Found == Jobs.end() || Found->second.Run != Id ||
        !mayBeHedged(Found->second))
      continue;
    const auto Delay = Hedges.delay(ActiveRun.Method, Now);
    if (Delay && ActiveRun.Started + *Delay > Now)
      Next =
          std::min(Next.value_or(TimePoint::max()), ActiveRun.Started + *Delay);
  }
  return Next;
}

/// A request is hedged at most once; one that was spilled or came from a peer,
/// never. Requests with tickets are not idempotent.
bool Requests::State::mayBeHedged(const Job &Value) {
  return !Value.Origin && !Value.HasBeenSpilled && !Value.Cancelled &&
         isIdempotent(Value.Work.Method);
}

void Requests::State::considerHedge(Job &Value, const Run &Slow, TimePoint Now,
                                    AgentActions &Out) {
  if (!mayBeHedged(Value))
    return;
  const auto Delay = Hedges.delay(Value.Work.Method, Now);
  const bool IsDue = Delay && Now - Slow.Started >= *Delay &&
                     Now + Limit.typicalLatency() < Value.Work.Deadline;
  if (!IsDue)
    return;
  const PeerView *Peer = Queue.empty() ? pickPeer(PeerUse::Hedge) : nullptr;
  if (Peer == nullptr) {
    onHedgeRefused(Value, RequestHedgeResult::RefusedRoom);
    return;
  }
  if (!Hedges.budget().take(Now)) {
    onHedgeRefused(Value, RequestHedgeResult::RefusedBudget);
    return;
  }
  Event Hedged =
      requestEvent(EventKind::RequestHedged, Value.Work.Flow, Value.Id);
  Hedged.Detail = fmt::format(
      "delay_ms={:.1f} run_ms={:.1f} percentile={} observations={} "
      "hedged_percent={:.2f} limit_percent={} peer_running={} peer_queued={} "
      "peer_limit={}",
      milliseconds(*Delay), milliseconds(Now - Slow.Started),
      hedging::DelayEstimate::Percentile,
      Hedges.observations(Value.Work.Method), Hedges.budget().extraPercent(Now),
      Hedges.budget().percent(), Peer->Running, Peer->Queued, Peer->Limit);
  Value.HedgeId = sendSpill(Value, *Peer, std::move(Hedged), Now, Out);
  Spills.at(Value.HedgeId).IsHedge = true;
  Hedges.count(RequestHedgeResult::Sent);
}

/// Counts a request once, although it may be hedged later.
void Requests::State::onHedgeRefused(Job &Value, RequestHedgeResult Reason) {
  if (!Value.WasHedgeRefused)
    Hedges.count(Reason);
  Value.WasHedgeRefused = true;
}

/// Returns true if the job's run has ended without an answer and the answer of
/// its hedge is now awaited.
bool Requests::State::awaitHedge(Job &Value, UpstreamOutcome Ended) {
  const bool HasAnswer = Ended == UpstreamOutcome::Answered;
  const bool IsTooLate = Ended == UpstreamOutcome::TimedOut;
  if (Value.HedgeId == 0 || HasAnswer || IsTooLate)
    return false;
  if (Ended == UpstreamOutcome::Failed)
    Value.MayHaveRun = true;
  Value.Phase = JobPhase::Spilled;
  Value.SpillId = Value.HedgeId;
  return true;
}

/// The hedge's entry in Spills has been erased. Only a successful answer ends
/// a job that still runs here.
void Requests::State::onHedgeReply(Job &Value, const Answer &Result,
                                   TimePoint Now, AgentActions &Out) {
  Value.HedgeId = 0;
  if (Result.Verdict == Verdict::Ran) {
    Hedges.count(RequestHedgeResult::Won);
    finish(Value, Result, Now, Out);
    return;
  }
  Hedges.count(RequestHedgeResult::Lost);
  if (Result.Verdict == Verdict::MayHaveRun)
    Value.MayHaveRun = true;
  if (Value.Phase == JobPhase::Running)
    return;
  Value.Phase = JobPhase::New;
  if (Result.Verdict == Verdict::MayHaveRun)
    finish(Value, Result, Now, Out);
  else if (Value.MayHaveRun)
    finish(Value, bareAnswer(Code::BadGateway, Verdict::MayHaveRun), Now, Out);
  else
    refuse(Value, Now, Out);
}

/// The peer stays silent, so its execution may have run.
void Requests::State::onHedgeLost(Job &Value, TimePoint Now,
                                  AgentActions &Out) {
  onHedgeReply(Value, bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun),
               Now, Out);
}

/// Cancels a hedge whose answer is not needed. It may have run.
void Requests::State::dropHedge(Job &Value, AgentActions &Out) {
  if (Value.HedgeId == 0)
    return;
  auto Sent = controlMessage();
  Sent->mutable_spill_cancel()->set_id(Value.HedgeId);
  Out.emplace_back(SendPeer{Spills.at(Value.HedgeId).Control, std::move(Sent)});
  Spills.erase(Value.HedgeId);
  Value.HedgeId = 0;
  Value.MayHaveRun = true;
  Hedges.count(RequestHedgeResult::Lost);
}

/// Cancels the run of a job that its hedge has answered.
void Requests::State::cancelLostRun(const Job &Value, TimePoint Now,
                                    AgentActions &Out) {
  if (Value.Run == RunId::None)
    return;
  Run &Lost = Runs.at(Value.Run);
  Lost.Cancelled = true;
  Hedges.onRun(Lost.Method, Now - Lost.Started, Now);
  Out.emplace_back(CancelUpstream{Value.Run});
}

} // namespace dragonflystall
