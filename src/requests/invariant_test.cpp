// Long random runs over several agents: what must always hold is asserted
// inside the world. DRAGONFLYSTALL_SEED and DRAGONFLYSTALL_RUNS (thousands of
// events) make longer runs.
#include "testworldimpl.h"
#include "types/environment_test.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace dragonflystall {

void World::sendTo(uint16_t Flow, const Message &Request) {
  carry([this, Flow, Request] {
    Caller &Of = Callers_[Flow];
    const bool Elsewhere = chance(Faults_.Misrouted);
    const size_t To = Elsewhere ? Random_() % AgentCount : Of.Holder;
    onNode(To, [Flow, Request](TestAgent &Agent, AgentActions &Out) {
      Out = Agent.receive(Request, static_cast<uint16_t>(FirstPort + Flow));
    });
  });
}

void World::sendRequest(uint16_t Flow, Message Request, Asked What) {
  Caller &Of = Callers_[Flow];
  Request.Token = std::to_string(Of.NextToken++);
  Request.MessageId = NextMessageId_++;
  if (Request.MessageId == 0)
    Request.MessageId = NextMessageId_++;
  Asked_[{Flow, Request.Token}] = std::move(What);
  sendTo(Flow, Request);
  // The caller's own retransmission, whether or not it needs one.
  if (chance(30))
    at(between(1ms, 4s), [this, Flow, Request] { sendTo(Flow, Request); });
  if (!chance(5))
    return;
  Message Cancel = Request;
  Cancel.Cancel = true;
  Cancel.MessageId = static_cast<uint16_t>(Request.MessageId + 30'000);
  at(between(1ms, 50ms), [this, Flow, Cancel] { sendTo(Flow, Cancel); });
}

void World::callerActs() {
  const auto Flow = static_cast<uint16_t>(Random_() % FlowCount);
  Caller &Of = Callers_[Flow];
  const std::string Body = "b" + std::to_string(NextBody_++);
  Message Request = TestAgent::request(chance(70) ? Code::Post : Code::Get);
  if (chance(50))
    Request.Timeout = between(20ms, 3s);
  if (Request.Kind == Code::Get) {
    Request.Path = "/" + Body;
    sendRequest(Flow, Request, {Body, false, false});
    return;
  }
  Request.Payload = Body;
  if (Of.Ticket.empty()) {
    // Its body never comes with a ticket: the next attempt has its own.
    sendRequest(Flow, Request, {Body, false, true});
    return;
  }
  // Now and then a ticket is used again, with the body that it came with.
  Request.Echo = Of.Ticket;
  Used_.insert(Of.Ticket);
  sendRequest(Flow, Request, {Body, true, true});
  if (chance(20))
    sendRequest(Flow, Request, {Body, true, true});
  Of.Ticket.clear();
}

/// A planned hand-over, as the flows' part does it: only when nothing is in
/// progress, and the giver's copy comes back if the taker never got it.
void World::moveFlow(uint16_t Flow) {
  Caller &Of = Callers_[Flow];
  Node &From = Nodes_[Of.Holder];
  const FlowKey Key = From.Agent->flow(static_cast<uint16_t>(FirstPort + Flow));
  if (Of.Moving || From.PausedUntil > Now_ || From.Agent->Core.busy(Key))
    return;
  const size_t To = Random_() % AgentCount;
  if (To == Of.Holder)
    return;
  const wire::FlowState State = From.Agent->Core.exportFlow(Key, Now_);
  Of.Moving = true;
  const bool Refused = chance(10);
  const size_t Taker = Refused ? Of.Holder : To;
  at(between(1ms, 5ms),
     [this, Flow, Taker, State] { importAt(Flow, Taker, State); });
}

void World::importAt(uint16_t Flow, size_t To, const wire::FlowState &State) {
  onNode(To, [this, Flow, To, State](TestAgent &Agent, AgentActions &) {
    const FlowKey Key = Agent.flow(static_cast<uint16_t>(FirstPort + Flow));
    Agent.Core.importFlow(Key, State, Now_);
    Callers_[Flow].Holder = To;
    Callers_[Flow].Moving = false;
    // A copy that comes late must not bring old tickets back. It names the
    // start of the taker, so a later start does not even look at it.
    if (chance(20))
      at(between(1s, 60s), [this, To, Key, State, Start = Nodes_[To].Start] {
        onNode(To,
               [this, To, Key, State, Start](TestAgent &Late, AgentActions &) {
                 if (Nodes_[To].Start == Start)
                   Late.Core.importFlow(Key, State, Now_);
               });
      });
  });
}

void World::disturb() {
  const size_t Index = Random_() % AgentCount;
  Node &Of = Nodes_[Index];
  switch (Random_() % 8) {
  case 0:
    startAgent(Index);
    return;
  case 1:
    Of.PausedUntil = Now_ + between(100ms, 20s);
    return;
  case 2:
    onNode(Index, [this, Index](TestAgent &Agent, AgentActions &Out) {
      Nodes_[Index].Leaving = true;
      Agent.Core.leave(Now_, Out);
    });
    // What left is replaced by a new start some time later.
    at(between(1s, 10s), [this, Index] {
      if (Nodes_[Index].Leaving)
        startAgent(Index);
    });
    return;
  default:
    moveFlow(static_cast<uint16_t>(Random_() % FlowCount));
  }
}

void World::run(uint64_t Events) {
  TimePoint NextTick = Now_;
  const uint64_t End = Report_.Events + Events;
  while (Report_.Events < End) {
    callerActs();
    if (chance(Faults_.Disturbance))
      disturb();
    const TimePoint Until = Now_ + between(500us, 20ms);
    while (!Later_.empty() && Later_.top().At <= Until) {
      const Later Next = Later_.top();
      Later_.pop();
      Now_ = Next.At;
      Next.Work();
    }
    Now_ = Until;
    if (Now_ < NextTick)
      continue;
    NextTick = Now_ + 100ms;
    for (size_t I = 0; I < AgentCount; ++I)
      if (Nodes_[I].PausedUntil <= Now_)
        onNode(I, [](TestAgent &Agent, AgentActions &Out) {
          Agent.Core.tick(Agent.Now, Out);
        });
  }
}

namespace {

TEST(Invariants, HoldUnderFaults) {
  const uint64_t Seed = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Thousands = fromEnvironment("DRAGONFLYSTALL_RUNS", 40);
  World Under(Seed, WorldFaults());
  Under.run(Thousands * 1000);
  const WorldReport &Report = Under.report();
  fmt::print("seed {}: {} events, {} runs, answers: {} ran, {} not run, {} may "
             "have run; {} spilled; signature {:016x}\n",
             Seed, Report.Events, Report.Runs, Report.Ran, Report.NotRun,
             Report.MayHaveRun, Report.Spilled, Report.Signature);
  // The run must have met what it is about.
  EXPECT_GT(Report.Ran, Report.Events / 50);
  EXPECT_GT(Report.NotRun, 100U);
  EXPECT_GT(Report.MayHaveRun, 20U);
  EXPECT_GT(Report.Spilled, 20U);
}

TEST(Invariants, TheSameSeedGivesTheSameActions) {
  World First(7, WorldFaults());
  World Second(7, WorldFaults());
  First.run(5000);
  Second.run(5000);
  EXPECT_EQ(First.report().Signature, Second.report().Signature);
}

} // namespace
} // namespace dragonflystall
