// The job queue, the runs at the local upstream, and the completion of jobs.
#include "state.h"

#include "types/check.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// The upstream client ends each run by its deadline. If it has not reported
/// the end this long afterwards, the request is answered as timed out.
constexpr Duration AnswerGrace = 500ms;
/// The shortest retry-after time of a refusal.
constexpr Duration MinRetryAfter = 1s;

UpstreamAnswer timedOutAnswer() {
  UpstreamAnswer Result;
  Result.Outcome = UpstreamOutcome::TimedOut;
  return Result;
}

} // namespace

Event requestEvent(EventKind Kind, const FlowKey &Flow, uint64_t Request,
                   uint64_t Value) {
  Event Result;
  Result.Kind = Kind;
  Result.Flow = Flow;
  Result.Request = Request;
  Result.Value = Value;
  return Result;
}

Job &Requests::State::addJob(Job Value) {
  Value.Id = NextJob++;
  ++JobsPerFlow[Value.Work.Flow];
  return Jobs.emplace(Value.Id, std::move(Value)).first->second;
}

/// The estimated time until a request that is queued now starts.
Duration Requests::State::expectedWait() const {
  const auto Ahead = static_cast<int64_t>(Queue.size() + 1);
  return Limit.typicalLatency() * Ahead / Limit.limit();
}

bool Requests::State::finishesInTime(const Job &Value, TimePoint Now) const {
  const Duration Needed = expectedWait() + Limit.typicalLatency();
  return Now + Needed < Value.Work.Deadline;
}

/// Starts the job if there is room; otherwise queues, spills or refuses it, in
/// this order of preference while its deadline allows. A job that no peer can
/// take is queued beyond that, up to the service's MaxQueue.
void Requests::State::dispatch(Job &Value, TimePoint Now, AgentActions &Out) {
  const bool InTime = Now < Value.Work.Deadline;
  if (!Leaving && InTime && Queue.empty() && Runs.size() < Limit.limit()) {
    start(Value, Now, Out);
    return;
  }
  const bool CanQueue = !Leaving && finishesInTime(Value, Now);
  if (CanQueue && Queue.size() < std::min(Limit.limit(), Service.MaxQueue)) {
    enqueue(Value);
    return;
  }
  // The queue is now so long that waiting takes longer than spilling.
  if (trySpill(Value, Now, Out))
    return;
  if (CanQueue && Queue.size() < Service.MaxQueue)
    enqueue(Value);
  else
    refuse(Value, Now, Out);
}

void Requests::State::enqueue(Job &Value) {
  Value.Phase = JobPhase::Queued;
  Queue.push_back(Value.Id);
}

void Requests::State::start(Job &Value, TimePoint Now, AgentActions &Out) {
  check(Runs.size() < std::max(Self.Self.Slots, 1U),
        "an upstream never gets more runs than it has slots");
  const RunId Id{NextRun++};
  Value.Phase = JobPhase::Running;
  Value.Run = Id;
  Run NewRun;
  NewRun.Job = Value.Id;
  NewRun.Flow = Value.Work.Flow;
  NewRun.Method = Value.Work.Method;
  NewRun.UsedTicket = Value.UsedTicket;
  NewRun.Started = Now;
  NewRun.Deadline = Value.Work.Deadline;
  NewRun.Concurrency = static_cast<uint32_t>(Runs.size() + 1);
  Runs.emplace(Id, NewRun);
  Out.emplace_back(requestEvent(EventKind::RequestStarted, Value.Work.Flow,
                                Value.Id, static_cast<uint64_t>(Id)));
  Out.emplace_back(RunUpstream{Id, Value.Work.Flow.Caller, Value.Work.Method,
                               Value.Work.Path, Value.Work.Query,
                               Value.Work.Body, Value.Work.ContentFormat,
                               Value.Work.Deadline - Now});
}

void Requests::State::drainQueue(TimePoint Now, AgentActions &Out) {
  while (!Queue.empty() && Runs.size() < Limit.limit()) {
    Job &Next = Jobs.at(Queue.front());
    // A job that can't finish by its deadline would waste upstream capacity.
    if (Now + Limit.typicalLatency() < Next.Work.Deadline) {
      Queue.pop_front();
      start(Next, Now, Out);
      continue;
    }
    refuse(Next, Now, Out);
  }
}

void Requests::State::onUpstream(const UpstreamAnswer &Value, TimePoint Now,
                                 AgentActions &Out) {
  const auto It = Runs.find(Value.Run);
  if (It == Runs.end())
    return;
  const Run Ended = It->second;
  Runs.erase(It);
  Admission::Sample Sample;
  Sample.Outcome = Value.Outcome;
  Sample.Method = Ended.Method;
  Sample.Bytes = Value.Body.size();
  Sample.Started = Ended.Started;
  Sample.Concurrency = Ended.Concurrency;
  Sample.Cancelled = Ended.Cancelled;
  Limit.onOutcome(Sample, Now, Out);
  if (Value.Outcome == UpstreamOutcome::Answered && !Ended.Cancelled)
    Hedges.onRun(Ended.Method, Now - Ended.Started, Now);
  const auto Found = Jobs.find(Ended.Job);
  if (Found != Jobs.end() && Found->second.Run == Value.Run)
    handleOutcome(Found->second, Value, Now, Out);
  else if (Ended.UsedTicket && Value.Outcome == UpstreamOutcome::Answered)
    // The job was answered as "may have run"; now the actual outcome is known,
    // so the ticket record is updated.
    Tickets.settle(Ended.Flow, *Ended.UsedTicket, answerOf(Value));
  drainQueue(Now, Out);
}

void Requests::State::handleOutcome(Job &Value, const UpstreamAnswer &Upstream,
                                    TimePoint Now, AgentActions &Out) {
  Value.Run = RunId::None;
  if (awaitHedge(Value, Upstream.Outcome))
    return;
  switch (Upstream.Outcome) {
  case UpstreamOutcome::Answered:
    finish(Value, answerOf(Upstream), Now, Out);
    return;
  case UpstreamOutcome::Shed:
  case UpstreamOutcome::Refused:
    if (!retryAtPeer(Value, Now, Out))
      refuse(Value, Now, Out);
    return;
  case UpstreamOutcome::Failed:
    Value.MayHaveRun = true;
    if (isIdempotent(Value.Work.Method) && retryAtPeer(Value, Now, Out))
      return;
    finish(Value, bareAnswer(Code::BadGateway, Verdict::MayHaveRun), Now, Out);
    return;
  case UpstreamOutcome::TimedOut:
    finish(Value, bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun), Now,
           Out);
    return;
  }
}

/// Settles the ticket record before any answer is sent; "not run" burns the
/// ticket.
void Requests::State::finish(Job &Value, const Answer &Result, TimePoint Now,
                             AgentActions &Out) {
  if (Value.Phase == JobPhase::Queued)
    std::erase(Queue, Value.Id);
  dropHedge(Value, Out);
  cancelLostRun(Value, Now, Out);
  const Job Done = std::move(Value);
  Jobs.erase(Done.Id);
  const FlowKey &Flow = Done.Work.Flow;
  if (--JobsPerFlow[Flow] == 0)
    JobsPerFlow.erase(Flow);
  const bool NotRun = Result.Verdict == Verdict::NotRun;
  check(!NotRun || (Done.Run == RunId::None && !Done.MayHaveRun),
        "a job with a run at an upstream is never answered as not run");
  if (Done.UsedTicket) {
    Tickets.settle(Flow, *Done.UsedTicket, Result);
    if (NotRun)
      Out.emplace_back(requestEvent(EventKind::TicketBurnt, Flow, Done.Id));
  }
  Out.emplace_back(requestEvent(
      NotRun ? EventKind::RequestRefused : EventKind::RequestFinished, Flow,
      Done.Id, static_cast<uint64_t>(Result.Verdict)));
  if (Done.Origin) {
    SpillRecords.settle(Done.Origin->Issuer, Done.Origin->SpillId, Result, Now);
    replyToSpill(*Done.Origin, Result, Out);
  }
  for (const ReplyTo &To : Done.Callers)
    deliver(Flow, To, Result, !isIdempotent(Done.Work.Method), Now, Out);
}

/// Must only be called for a request that certainly did not run, unless
/// MayHaveRun is set.
void Requests::State::refuse(Job &Value, TimePoint Now, AgentActions &Out) {
  const Duration RetryAfter = std::max(expectedWait(), MinRetryAfter);
  const Verdict Known =
      Value.MayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
  finish(Value, refusal(Known, RetryAfter), Now, Out);
}

void Requests::State::cancel(Job &Value, TimePoint Now, AgentActions &Out) {
  Out.emplace_back(
      requestEvent(EventKind::RequestCancelled, Value.Work.Flow, Value.Id));
  Value.Cancelled = true;
  if (Value.Phase == JobPhase::Queued) {
    refuse(Value, Now, Out);
    return;
  }
  if (Value.Phase == JobPhase::Running) {
    dropHedge(Value, Out);
    Runs.at(Value.Run).Cancelled = true;
    Out.emplace_back(CancelUpstream{Value.Run});
    return;
  }
  if (Value.Phase == JobPhase::Spilled) {
    auto Sent = controlMessage();
    Sent->mutable_spill_cancel()->set_id(Value.SpillId);
    Out.emplace_back(
        SendPeer{Spills.at(Value.SpillId).Control, std::move(Sent)});
  }
}

/// Refuses queued jobs that can't finish in time, and times out runs whose end
/// was not reported.
void Requests::State::sweepJobs(TimePoint Now, AgentActions &Out) {
  std::vector<uint64_t> LateJobs;
  for (const auto &[Id, ActiveJob] : Jobs) {
    const bool Queued = ActiveJob.Phase == JobPhase::Queued &&
                        Now + Limit.typicalLatency() >= ActiveJob.Work.Deadline;
    const bool Overdue = ActiveJob.Phase == JobPhase::Running &&
                         Now >= ActiveJob.Work.Deadline + AnswerGrace;
    if (Queued || Overdue)
      LateJobs.push_back(Id);
  }
  for (const uint64_t Id : LateJobs) {
    Job &Value = Jobs.at(Id);
    if (Value.Phase == JobPhase::Queued) {
      refuse(Value, Now, Out);
      continue;
    }
    Out.emplace_back(CancelUpstream{Value.Run});
    handleOutcome(Value, timedOutAnswer(), Now, Out);
  }
}

} // namespace dragonflystall
