// Each failure that could make a verdict false or run a request twice, on one
// agent or two.
#include "testagent.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

Message lastAnswer(const AgentActions &Actions) {
  const auto Sent = only<SendMessage>(Actions);
  EXPECT_FALSE(Sent.empty());
  return Sent.empty() ? Message() : Sent.back().Value;
}

std::vector<RunUpstream> runs(const AgentActions &Actions) {
  return only<RunUpstream>(Actions);
}

PeerView viewOf(const TestAgent &Peer, uint32_t Limit) {
  PeerView View;
  View.Agent = Peer.Self.Self.Agent;
  View.Control = Peer.Self.Self.Control;
  View.Limit = Limit;
  return View;
}

/// Fills the one slot of a cold agent and the place in its queue.
void fill(TestAgent &Agent) {
  Agent.receive(TestAgent::request(Code::Get, "fill-1"), 1);
  Agent.receive(TestAgent::request(Code::Get, "fill-2"), 2);
}

TEST(Failures, ALateDuplicateAfterNotRunDoesNotRun) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket();
  fill(Agent);
  // No time is left: refused, and the ticket burnt.
  Message Request = Agent.ticketed(Echo);
  Request.Timeout = 0ms;
  const Message Refusal = lastAnswer(Agent.receive(Request));
  EXPECT_EQ(Refusal.Kind, Code::ServiceUnavailable);
  EXPECT_EQ(Refusal.Verdict, Verdict::NotRun);
  EXPECT_GE(Refusal.MaxAge, 1s);
  Agent.answered(RunId{1});
  Agent.answered(RunId{2});
  const AgentActions Late = Agent.receive(Agent.ticketed(Echo, "late"));
  EXPECT_TRUE(runs(Late).empty());
  EXPECT_EQ(lastAnswer(Late).Verdict, Verdict::NotRun);
}

TEST(Failures, ARestartedIssuerRunsNoOldTicket) {
  TestAgent Before(testIdentity("a", 1), 1);
  TestAgent After(testIdentity("a", 2), 2);
  const AgentActions Out = After.receive(After.ticketed(Before.ticket()));
  EXPECT_TRUE(runs(Out).empty());
  EXPECT_EQ(lastAnswer(Out).Verdict, Verdict::MayHaveRun);
  // A 4.01 would make a stock caller send the request again.
  EXPECT_EQ(lastAnswer(Out).Kind, Code::GatewayTimeout);
}

TEST(Failures, ATicketOfAnotherFlowIsNotCertain) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket(1000);
  const AgentActions Out = Agent.receive(Agent.ticketed(Echo), 2000);
  EXPECT_TRUE(runs(Out).empty());
  EXPECT_EQ(lastAnswer(Out).Verdict, Verdict::MayHaveRun);
}

TEST(Failures, AnUnusedTicketMovesWithItsFlowAndIsFencedAtTheGiver) {
  TestAgent Giver(testIdentity("a"), 1);
  TestAgent Taker(testIdentity("b"), 2);
  const std::string Unused = Giver.ticket();
  const std::string Used = Giver.ticket(1000);
  Giver.receive(Giver.ticketed(Used, "u"));
  Giver.answered(RunId{1}, "first");
  ASSERT_FALSE(Giver.Core.busy(Giver.flow()));
  Taker.Core.importFlow(
      Giver.flow(), Giver.Core.exportFlow(Giver.flow(), Giver.Now), Taker.Now);
  EXPECT_TRUE(runs(Giver.receive(Giver.ticketed(Unused, "v"))).empty());
  EXPECT_EQ(runs(Taker.receive(Taker.ticketed(Unused, "w"))).size(), 1U);
  EXPECT_EQ(lastAnswer(Taker.receive(Taker.ticketed(Used, "x"))).Payload,
            "first");
  // What the giver issues from now on stays with it.
  const std::string Later = Giver.ticket();
  EXPECT_TRUE(runs(Taker.receive(Taker.ticketed(Later, "y"))).empty());
}

TEST(Failures, AFlowThatIsGivenAwayTwiceIsGivenOnce) {
  TestAgent Giver(testIdentity("a"));
  Giver.ticket();
  EXPECT_EQ(Giver.Core.exportFlow(Giver.flow(), Giver.Now).authorities_size(),
            1);
  EXPECT_EQ(Giver.Core.exportFlow(Giver.flow(), Giver.Now).authorities_size(),
            0);
}

TEST(Failures, ALapsedTicketNeverRunsAndSaysSo) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket();
  Agent.pass(61s);
  const AgentActions Out = Agent.receive(Agent.ticketed(Echo));
  EXPECT_TRUE(runs(Out).empty());
  EXPECT_EQ(lastAnswer(Out).Verdict, Verdict::NotRun);
  EXPECT_EQ(lastAnswer(Out).Kind, Code::Unauthorized);
}

TEST(Failures, AUsedTicketStaysKnownLongAfterItsExpiry) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket();
  Agent.receive(Agent.ticketed(Echo));
  Agent.answered(RunId{1});
  Agent.pass(5min);
  EXPECT_EQ(lastAnswer(Agent.receive(Agent.ticketed(Echo, "v"))).Verdict,
            Verdict::Ran);
  Agent.pass(10min);
  EXPECT_EQ(lastAnswer(Agent.receive(Agent.ticketed(Echo, "w"))).Verdict,
            Verdict::MayHaveRun);
}

TEST(Failures, CancellingAQueuedRequestBurnsItsTicket) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket();
  Agent.receive(TestAgent::request(Code::Get, "fill"), 1);
  EXPECT_TRUE(runs(Agent.receive(Agent.ticketed(Echo, "q"))).empty());
  Message Cancel = Agent.ticketed(Echo, "q");
  Cancel.Cancel = true;
  EXPECT_EQ(lastAnswer(Agent.receive(Cancel)).Verdict, Verdict::NotRun);
  EXPECT_TRUE(runs(Agent.answered(RunId{1})).empty());
  EXPECT_TRUE(runs(Agent.receive(Agent.ticketed(Echo, "r"))).empty());
}

TEST(Failures, CancellingARunIsNotCertainUnlessItEnded) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.ticket();
  Agent.receive(Agent.ticketed(Echo, "q"));
  Message Cancel = Agent.ticketed(Echo, "q");
  Cancel.Cancel = true;
  EXPECT_EQ(only<CancelUpstream>(Agent.receive(Cancel)).size(), 1U);
  EXPECT_EQ(
      lastAnswer(Agent.answered(RunId{1}, "", UpstreamOutcome::Failed)).Verdict,
      Verdict::MayHaveRun);
}

TEST(Failures, ALostSpillIsAskedForAndLeavesATombstone) {
  TestAgent Issuer(testIdentity("a"), 1);
  TestAgent Executor(testIdentity("b"), 2);
  const std::string Echo = Issuer.ticket();
  fill(Issuer);
  Issuer.Core.setPeers({viewOf(Executor, 1)});
  const auto Spill = only<SendPeer>(Issuer.receive(Issuer.ticketed(Echo, "s")));
  ASSERT_EQ(Spill.size(), 1U);
  const auto Query = only<SendPeer>(Issuer.pass(400ms));
  ASSERT_EQ(Query.size(), 1U);
  const auto Reply = only<SendPeer>(Executor.peer(Query[0]));
  ASSERT_EQ(Reply.size(), 1U);
  // The spill that was late after all finds the tombstone.
  EXPECT_TRUE(runs(Executor.peer(Spill[0])).empty());
  Issuer.peer(Reply[0]);
  Issuer.answered(RunId{1});
  EXPECT_EQ(runs(Issuer.answered(RunId{2})).size(), 1U);
}

TEST(Failures, ALostSpillReplyIsGivenAgainWithoutASecondRun) {
  TestAgent Issuer(testIdentity("a"), 1);
  TestAgent Executor(testIdentity("b"), 2);
  const std::string Echo = Issuer.ticket();
  fill(Issuer);
  Issuer.Core.setPeers({viewOf(Executor, 1)});
  const auto Spill = only<SendPeer>(Issuer.receive(Issuer.ticketed(Echo, "s")));
  ASSERT_EQ(Spill.size(), 1U);
  EXPECT_EQ(runs(Executor.peer(Spill[0])).size(), 1U);
  Executor.answered(RunId{1}, "elsewhere");
  EXPECT_TRUE(runs(Executor.peer(Spill[0])).empty());
  const auto Query = only<SendPeer>(Issuer.pass(400ms));
  const auto Reply = only<SendPeer>(Executor.peer(Query.at(0)));
  const Message Answer = lastAnswer(Issuer.peer(Reply.at(0)));
  EXPECT_EQ(Answer.Payload, "elsewhere");
  EXPECT_EQ(Answer.Verdict, Verdict::Ran);
}

TEST(Failures, AnExecutorThatRestartedLeavesTheVerdictOpen) {
  TestAgent Issuer(testIdentity("a"), 1);
  TestAgent Executor(testIdentity("b", 1), 2);
  const std::string Echo = Issuer.ticket();
  fill(Issuer);
  Issuer.Core.setPeers({viewOf(Executor, 1)});
  const auto Spill = only<SendPeer>(Issuer.receive(Issuer.ticketed(Echo, "s")));
  ASSERT_EQ(Spill.size(), 1U);
  TestAgent Restarted(testIdentity("b", 2), 3);
  EXPECT_TRUE(Restarted.peer(Spill[0]).empty());
  const AgentActions Out = Issuer.pass(3s);
  for (const SendPeer &Query : only<SendPeer>(Out))
    EXPECT_TRUE(Restarted.peer(Query).empty());
  // Others' empty acknowledgements are among the messages.
  std::optional<Verdict> Said;
  for (const SendMessage &Each : only<SendMessage>(Out))
    if (Each.Value.Token == "s")
      Said = Each.Value.Verdict;
  EXPECT_EQ(Said, Verdict::MayHaveRun);
}

TEST(Failures, AStaleUpstreamAnswerIsDropped) {
  TestAgent Agent(testIdentity("a"));
  Agent.receive(TestAgent::request(Code::Get));
  EXPECT_TRUE(only<SendMessage>(Agent.answered(RunId{99})).empty());
  EXPECT_EQ(only<SendMessage>(Agent.answered(RunId{1})).size(), 1U);
  EXPECT_TRUE(only<SendMessage>(Agent.answered(RunId{1})).empty());
}

TEST(Failures, ALeavingAgentStartsNothingNewAndEndsWhatRuns) {
  TestAgent Agent(testIdentity("a"));
  Agent.receive(TestAgent::request(Code::Get, "old"));
  AgentActions Out;
  Agent.Core.leave(Agent.Now, Out);
  const AgentActions New = Agent.receive(TestAgent::request(Code::Get, "new"));
  EXPECT_TRUE(runs(New).empty());
  EXPECT_EQ(lastAnswer(New).Verdict, Verdict::NotRun);
  EXPECT_EQ(lastAnswer(Agent.answered(RunId{1})).Verdict, Verdict::Ran);
  EXPECT_EQ(Agent.Core.inProgress(), 0U);
}

} // namespace
} // namespace dragonflystall
