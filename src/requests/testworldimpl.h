// Test support: the implementation of World. Included once, by
// invariant_test.cpp.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLDIMPL_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLDIMPL_H

#include "requests/testworld.h"

namespace dragonflystall {

inline World::World(uint64_t Seed, WorldFaults Faults)
    : Random_(Seed), Faults_(Faults), Nodes_(AgentCount), Callers_(FlowCount) {
  for (size_t I = 0; I < AgentCount; ++I)
    startAgent(I);
  for (Caller &FlowCaller : Callers_)
    FlowCaller.Holder = Random_() % AgentCount;
}

inline void World::schedule(Duration After, std::function<void()> Work) {
  ScheduledEvents_.push({Now_ + After, Order_++, std::move(Work)});
}

inline void World::transmit(const std::function<void()> &Work) {
  if (chance(Faults_.Drop))
    return;
  const unsigned Copies = chance(Faults_.Duplicate) ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    const bool IsLong = chance(Faults_.LongDelay);
    schedule(IsLong ? between(1s, 90s) : between(100us, 3ms), Work);
  }
}

inline void World::startAgent(size_t Index) {
  Node &Target = Nodes_[Index];
  Target.Start = NextStart_++;
  Target.RunsAtUpstream = 0;
  Target.Leaving = false;
  AgentIdentity Self =
      testIdentity("agent-" + std::to_string(Index), Target.Start, Slots);
  Self.Self.Control = {static_cast<uint32_t>(Index + 1), 7001};
  Target.Agent = std::make_unique<TestAgent>(std::move(Self), Random_());
  Target.Agent->Now = Now_;
  if (Faults_.IsHedging)
    Target.Agent->setHedgePercent(HedgeOracle::MaxPercent);
}

/// Runs an event on an agent. An event for a paused agent is postponed to the
/// end of the pause.
inline void World::onNode(size_t Index, const NodeEvent &Event) {
  Node &Target = Nodes_[Index];
  if (Target.PausedUntil > Now_) {
    schedule(Target.PausedUntil - Now_ + 1us,
             [this, Index, Event] { onNode(Index, Event); });
    return;
  }
  ++Report_.Events;
  if (Now_ - Target.PeerViewsAt >= 1s || Target.PeerViews.empty()) {
    Target.PeerViews = viewsFor(Index);
    Target.PeerViewsAt = Now_;
  }
  Target.Agent->Core.setPeers(Target.PeerViews);
  Target.Agent->Now = Now_;
  AgentActions Out;
  Event(*Target.Agent, Out);
  perform(Index, Out);
}

inline std::vector<PeerView> World::viewsFor(size_t Index) {
  std::vector<PeerView> Views;
  for (size_t I = 0; I < AgentCount; ++I) {
    if (I == Index)
      continue;
    const RequestLoad Load = Nodes_[I].Agent->Core.load();
    PeerView View;
    View.Agent = Nodes_[I].Agent->Self.Self.Agent;
    View.Control = {static_cast<uint32_t>(I + 1), 7001};
    View.Running = Load.Running;
    View.Queued = Load.Queued;
    View.Limit = Load.Limit;
    View.Leaving = Nodes_[I].Leaving;
    Views.push_back(View);
  }
  return Views;
}

inline void World::perform(size_t Index, const AgentActions &Actions) {
  for (const AgentAction &Action : Actions) {
    addToSignature(Action.index());
    if (Faults_.IsHedging)
      observe(Index, Action);
    if (const auto *Sent = std::get_if<SendMessage>(&Action)) {
      addToSignature(Sent->Value.MessageId ^
                     static_cast<uint64_t>(Sent->Value.Kind));
      transmit([this, Copy = *Sent] { deliverAnswer(Copy); });
    } else if (const auto *Peer = std::get_if<SendPeer>(&Action)) {
      Report_.Spilled += Peer->Value->has_spill();
      addToSignature(Peer->Value->ByteSizeLong());
      transmit([this, Copy = *Peer] { deliverPeer(Copy); });
    } else if (const auto *Run = std::get_if<RunUpstream>(&Action)) {
      runUpstream(Index, *Run);
    } else if (const auto *Cancel = std::get_if<CancelUpstream>(&Action)) {
      // This answer is stale if the answer to the run has already arrived.
      const uint64_t Start = Nodes_[Index].Start;
      schedule(between(100us, 2ms), [this, Index, Start, Id = Cancel->Run] {
        endRun(Index, Start, Id, UpstreamOutcome::Failed, "");
      });
    }
  }
}

inline void World::observe(size_t Index, const AgentAction &Action) {
  const uint64_t Start = Nodes_[Index].Start;
  if (const auto *Sent = std::get_if<SendMessage>(&Action)) {
    Hedging_.onAnswer(
        static_cast<uint16_t>(Sent->Header.Caller.Port - FirstPort),
        Sent->Value);
  } else if (const auto *Logged = std::get_if<Event>(&Action)) {
    if (Logged->Kind == EventKind::RequestStarted)
      LastStartedJob_ = Logged->Request;
    if (Logged->Kind == EventKind::RequestHedged)
      Hedging_.onHedged(Start, Logged->Request, Now_);
  }
}

inline void World::changeHedgePercent(size_t Index) {
  constexpr std::array Percents = {0U, 1U, 10U, HedgeOracle::MaxPercent};
  Nodes_[Index].Agent->Now = Now_;
  Nodes_[Index].Agent->setHedgePercent(Percents[Random_() % Percents.size()]);
}

inline void World::runUpstream(size_t Index, const RunUpstream &Run) {
  Node &Target = Nodes_[Index];
  ++Target.RunsAtUpstream;
  check(Target.RunsAtUpstream <= Slots,
        "an upstream never gets more runs than it has slots");
  const std::string Body =
      Run.Method == Code::Post ? Run.Body : Run.Path.substr(1);
  UpstreamOutcome Outcome = UpstreamOutcome::Answered;
  bool IsExecuted = true;
  Duration RunTime = between(2ms, 15ms);
  if (chance(Faults_.Shed)) {
    Outcome = UpstreamOutcome::Shed;
    IsExecuted = false;
  } else if (chance(Faults_.Refused)) {
    Outcome = UpstreamOutcome::Refused;
    IsExecuted = false;
  } else if (chance(Faults_.ConnectionLost)) {
    Outcome = UpstreamOutcome::Failed;
    IsExecuted = chance(50);
  } else if (chance(Faults_.NoAnswer)) {
    Outcome = UpstreamOutcome::TimedOut;
    IsExecuted = chance(50);
    RunTime = Run.Timeout;
  }
  if (Faults_.IsHedging) {
    if (chance(3)) {
      RunTime = between(30ms, 200ms);
      // Slow runs are hedged, so the ends of two executions meet here.
      constexpr std::array Ends = {
          UpstreamOutcome::Answered, UpstreamOutcome::Answered,
          UpstreamOutcome::Failed, UpstreamOutcome::Shed};
      Outcome = Ends[Random_() % Ends.size()];
      IsExecuted = Outcome == UpstreamOutcome::Answered ||
                   (Outcome == UpstreamOutcome::Failed && chance(50));
    }
    Hedging_.onRun(Target.Start, LastStartedJob_, Run, IsExecuted);
  }
  if (IsExecuted) {
    ++Report_.Runs;
    Attempt &Record = Attempts_[Body];
    ++Record.Runs;
    if (Run.Method == Code::Post) {
      check(Record.Runs == 1, "a non-idempotent request runs at most once");
      check(!Record.AnsweredNotRun, "a request answered as not run never runs");
    }
  }
  addToSignature(static_cast<uint64_t>(Run.Run));
  std::string Payload = "answer to " + Body;
  if (Faults_.IsHedging)
    Payload += " " + std::to_string(Target.Start) + "/" +
               std::to_string(static_cast<uint64_t>(Run.Run));
  schedule(RunTime, [this, Index, Start = Target.Start, Id = Run.Run, Outcome,
                     Payload = std::move(Payload)] {
    endRun(Index, Start, Id, Outcome, Payload);
  });
}

inline void World::endRun(size_t Index, uint64_t Start, RunId Run,
                          UpstreamOutcome Outcome, const std::string &Body) {
  onNode(Index, [this, Index, Start, Run, Outcome, Body](TestAgent &Agent,
                                                         AgentActions &Out) {
    // Answers to runs of an earlier incarnation are lost.
    if (Nodes_[Index].Start != Start)
      return;
    const uint32_t Before = Agent.Core.load().Running;
    Out = Agent.answerRun(Run, Body, Outcome);
    const auto Started = actionsOfType<RunUpstream>(Out).size();
    const uint32_t After = Agent.Core.load().Running;
    if (After < Before + Started)
      --Nodes_[Index].RunsAtUpstream;
  });
}

inline void World::deliverPeer(const SendPeer &Sent) {
  const size_t Index = Sent.To.Ip - 1;
  if (Index >= AgentCount)
    return;
  onNode(Index, [Sent](TestAgent &Agent, AgentActions &Out) {
    Out = Agent.receiveFromPeer(Sent);
  });
}

inline void World::deliverAnswer(const SendMessage &Sent) {
  const auto Flow = static_cast<uint16_t>(Sent.Header.Caller.Port - FirstPort);
  const Message &Answer = Sent.Value;
  if (Answer.Type == MessageType::Confirmable) {
    Message Ack;
    Ack.Type = MessageType::Acknowledgement;
    Ack.MessageId = Answer.MessageId;
    sendTo(Flow, Ack);
  }
  const auto It = SentRequests_.find({Flow, Answer.Token});
  if (Answer.Kind == Code::Empty || It == SentRequests_.end())
    return;
  checkAnswer(It->second, Answer);
  Caller &FlowCaller = Callers_[Flow];
  // A late duplicate must not make the caller use a ticket for two bodies.
  if (Answer.Echo && !UsedTickets_.contains(*Answer.Echo) && chance(80))
    FlowCaller.Ticket = *Answer.Echo;
}

inline void World::checkAnswer(const SentRequest &Request,
                               const Message &Answer) {
  check(Answer.Verdict.has_value(), "every answer carries a verdict");
  Report_.Ran += Answer.Verdict == Verdict::Ran;
  Report_.NotRun += Answer.Verdict == Verdict::NotRun;
  Report_.MayHaveRun += Answer.Verdict == Verdict::MayHaveRun;
  if (Answer.Kind == Code::Content)
    check(Answer.Payload == "answer to " + Request.Body ||
              (Faults_.IsHedging &&
               Answer.Payload.starts_with("answer to " + Request.Body + " ")),
          "an answer belongs to its request");
  Attempt &Record = Attempts_[Request.Body];
  if (Answer.Verdict == Verdict::Ran)
    check(Record.Runs >= 1, "a request answered as ran did run");
  if (Answer.Verdict != Verdict::NotRun || !Request.Post || !Request.WithTicket)
    return;
  check(Record.Runs == 0, "a request answered as not run did not run");
  Record.AnsweredNotRun = true;
}

} // namespace dragonflystall

#endif
