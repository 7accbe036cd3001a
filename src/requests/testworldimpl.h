// For tests: the body of the world. Included once, by the invariant test.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLDIMPL_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLDIMPL_H

#include "requests/testworld.h"

namespace dragonflystall {

inline World::World(uint64_t Seed, WorldFaults Faults)
    : Random_(Seed), Faults_(Faults), Nodes_(AgentCount), Callers_(FlowCount) {
  for (size_t I = 0; I < AgentCount; ++I)
    startAgent(I);
  for (Caller &Each : Callers_)
    Each.Holder = Random_() % AgentCount;
}

inline void World::at(Duration After, std::function<void()> Work) {
  Later_.push({Now_ + After, Order_++, std::move(Work)});
}

inline void World::carry(const std::function<void()> &Work) {
  if (chance(Faults_.Drop))
    return;
  const unsigned Copies = chance(Faults_.Duplicate) ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    const bool Long = chance(Faults_.LongDelay);
    at(Long ? between(1s, 90s) : between(100us, 3ms), Work);
  }
}

inline void World::startAgent(size_t Index) {
  Node &Of = Nodes_[Index];
  Of.Start = NextStart_++;
  Of.AtUpstream = 0;
  Of.Leaving = false;
  AgentIdentity Self =
      testIdentity("agent-" + std::to_string(Index), Of.Start, Slots);
  Self.Self.Control = {static_cast<uint32_t>(Index + 1), 7001};
  Of.Agent = std::make_unique<TestAgent>(std::move(Self), Random_());
}

/// Runs an event on an agent; one that is paused takes it when it wakes.
inline void World::onNode(size_t Index, const NodeEvent &Event) {
  Node &Of = Nodes_[Index];
  if (Of.PausedUntil > Now_) {
    at(Of.PausedUntil - Now_ + 1us,
       [this, Index, Event] { onNode(Index, Event); });
    return;
  }
  ++Report_.Events;
  if (Now_ - Of.SeenAt >= 1s || Of.Seen.empty()) {
    Of.Seen = viewsFor(Index);
    Of.SeenAt = Now_;
  }
  Of.Agent->Core.setPeers(Of.Seen);
  Of.Agent->Now = Now_;
  AgentActions Out;
  Event(*Of.Agent, Out);
  perform(Index, Out);
}

inline std::vector<PeerView> World::viewsFor(size_t Index) {
  std::vector<PeerView> Views;
  for (size_t I = 0; I < AgentCount; ++I) {
    if (I == Index)
      continue;
    const OwnLoad Load = Nodes_[I].Agent->Core.load();
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
  for (const AgentAction &Each : Actions) {
    mix(Each.index());
    if (const auto *Sent = std::get_if<SendMessage>(&Each)) {
      mix(Sent->Value.MessageId ^ static_cast<uint64_t>(Sent->Value.Kind));
      carry([this, Copy = *Sent] { deliverAnswer(Copy); });
    } else if (const auto *Peer = std::get_if<SendPeer>(&Each)) {
      Report_.Spilled += Peer->Value->has_spill();
      mix(Peer->Value->ByteSizeLong());
      carry([this, Copy = *Peer] { deliverPeer(Copy); });
    } else if (const auto *Run = std::get_if<RunUpstream>(&Each)) {
      runUpstream(Index, *Run);
    } else if (const auto *Cancel = std::get_if<CancelUpstream>(&Each)) {
      // A second answer for the same run is stale if the first one came.
      const uint64_t Start = Nodes_[Index].Start;
      at(between(100us, 2ms), [this, Index, Start, Id = Cancel->Run] {
        endRun(Index, Start, Id, UpstreamOutcome::Failed, "");
      });
    }
  }
}

inline void World::runUpstream(size_t Index, const RunUpstream &Run) {
  Node &Of = Nodes_[Index];
  ++Of.AtUpstream;
  check(Of.AtUpstream <= Slots, "no upstream gets more than its slots");
  const std::string Body =
      Run.Method == Code::Post ? Run.Body : Run.Path.substr(1);
  UpstreamOutcome Outcome = UpstreamOutcome::Answered;
  bool Runs = true;
  Duration Took = between(2ms, 15ms);
  if (chance(Faults_.Shed)) {
    Outcome = UpstreamOutcome::Shed;
    Runs = false;
  } else if (chance(Faults_.Refused)) {
    Outcome = UpstreamOutcome::Refused;
    Runs = false;
  } else if (chance(Faults_.Broken)) {
    Outcome = UpstreamOutcome::Failed;
    Runs = chance(50);
  } else if (chance(Faults_.Stuck)) {
    Outcome = UpstreamOutcome::TimedOut;
    Runs = chance(50);
    Took = Run.Timeout;
  }
  if (Runs) {
    ++Report_.Runs;
    Attempt &Which = Attempts_[Body];
    ++Which.Runs;
    if (Run.Method == Code::Post) {
      check(Which.Runs == 1, "a non-idempotent request runs at most once");
      check(!Which.SaidNotRun, "what was said not to run never runs");
    }
  }
  mix(static_cast<uint64_t>(Run.Run));
  at(Took, [this, Index, Start = Of.Start, Id = Run.Run, Outcome, Body] {
    endRun(Index, Start, Id, Outcome, "answer to " + Body);
  });
}

inline void World::endRun(size_t Index, uint64_t Start, RunId Run,
                          UpstreamOutcome Outcome, const std::string &Body) {
  onNode(Index, [this, Index, Start, Run, Outcome, Body](TestAgent &Agent,
                                                         AgentActions &Out) {
    // The client of an earlier start is gone, and so is its answer.
    if (Nodes_[Index].Start != Start)
      return;
    const uint32_t Before = Agent.Core.load().Running;
    Out = Agent.answered(Run, Body, Outcome);
    const auto Started = only<RunUpstream>(Out).size();
    const uint32_t After = Agent.Core.load().Running;
    if (After < Before + Started)
      --Nodes_[Index].AtUpstream;
  });
}

inline void World::deliverPeer(const SendPeer &Sent) {
  const size_t Index = Sent.To.Ip - 1;
  if (Index >= AgentCount)
    return;
  onNode(Index, [Sent](TestAgent &Agent, AgentActions &Out) {
    Out = Agent.peer(Sent);
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
  const auto Known = Asked_.find({Flow, Answer.Token});
  if (Answer.Kind == Code::Empty || Known == Asked_.end())
    return;
  judge(Known->second, Answer);
  Caller &Of = Callers_[Flow];
  // A late copy must not make the caller use a ticket for two bodies.
  if (Answer.Echo && !Used_.contains(*Answer.Echo) && chance(80))
    Of.Ticket = *Answer.Echo;
}

inline void World::judge(const Asked &Request, const Message &Answer) {
  check(Answer.Verdict.has_value(), "every answer carries a verdict");
  Report_.Ran += Answer.Verdict == Verdict::Ran;
  Report_.NotRun += Answer.Verdict == Verdict::NotRun;
  Report_.MayHaveRun += Answer.Verdict == Verdict::MayHaveRun;
  if (Answer.Kind == Code::Content)
    check(Answer.Payload == "answer to " + Request.Body,
          "an answer goes to its own request");
  Attempt &Which = Attempts_[Request.Body];
  if (Answer.Verdict == Verdict::Ran)
    check(Which.Runs >= 1, "what is said to have run did run");
  if (Answer.Verdict != Verdict::NotRun || !Request.Post || !Request.WithTicket)
    return;
  check(Which.Runs == 0, "a refusal that says not run is true");
  Which.SaidNotRun = true;
}

} // namespace dragonflystall

#endif
