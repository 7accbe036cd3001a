// Test support: an agent with hedging and a peer to which it sends its hedges.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGING_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGING_H

#include "requests/testagent.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace dragonflystall {

constexpr Duration UsualTime = 10ms;

inline std::vector<SendMessage> answers(const AgentActions &Actions) {
  std::vector<SendMessage> Result;
  for (const SendMessage &Sent : actionsOfType<SendMessage>(Actions))
    if (Sent.Value.Kind != Code::Empty)
      Result.push_back(Sent);
  return Result;
}

/// An agent whose runs take UsualTime, and a peer with room.
struct Hedging : testing::Test {
  Hedging() : Hedging(20) {}
  explicit Hedging(uint32_t Percent) {
    Agent.setHedgePercent(Percent);
    Agent.Core.setPeers({peerView()});
    answerRuns(150);
    // Only requests of complete seconds count for the budget.
    Agent.advance(1100ms);
  }
  PeerView peerView() const {
    PeerView View;
    View.Agent = Peer.Self.Self.Agent;
    View.Control = Peer.Self.Self.Control;
    View.Limit = 4;
    View.Slots = 4;
    return View;
  }
  void advanceWithoutTick(Duration Time) { Agent.Now += Time; }
  AgentActions tick() {
    AgentActions Out;
    Agent.Core.tick(Agent.Now, Out);
    return Out;
  }
  /// Starts a request and returns its run.
  RunId begin(Message Request) {
    Request.MessageId = 0;
    const auto Started = actionsOfType<RunUpstream>(Agent.receive(Request));
    EXPECT_EQ(Started.size(), 1U);
    return Started.empty() ? RunId::None : Started.back().Run;
  }
  RunId begin(Code Method = Code::Get) {
    return begin(TestAgent::request(Method, fmt::format("t{}", NextToken++)));
  }
  void answerRuns(int Count) {
    for (int I = 0; I < Count; ++I) {
      const RunId Run = begin();
      advanceWithoutTick(UsualTime);
      Agent.answerRun(Run);
    }
  }
  /// Starts a request and lets it run for longer than the others.
  RunId beginSlow() {
    const RunId Run = begin();
    advanceWithoutTick(UsualTime + 1ms);
    return Run;
  }
  /// The hedge of a slow request, which the peer has received.
  SendPeer hedge() {
    const auto Sent = actionsOfType<SendPeer>(tick());
    EXPECT_EQ(Sent.size(), 1U);
    PeerRun = RunId{static_cast<uint64_t>(PeerRun) + 1};
    Peer.Now = Agent.Now;
    EXPECT_EQ(
        actionsOfType<RunUpstream>(Peer.receiveFromPeer(Sent.at(0))).at(0).Run,
        PeerRun);
    return Sent.at(0);
  }
  /// The peer's reply to the hedge.
  SendPeer replyOfPeer(UpstreamOutcome Outcome = UpstreamOutcome::Answered) {
    return actionsOfType<SendPeer>(Peer.answerRun(PeerRun, "peer", Outcome))
        .at(0);
  }

  void expectNothingRefused() const {
    EXPECT_EQ(Agent.hedges(RequestHedgeResult::RefusedRoom), 0U);
    EXPECT_EQ(Agent.hedges(RequestHedgeResult::RefusedBudget), 0U);
  }
  /// Makes the peer spill its next request to the agent.
  void fillPeer() {
    PeerView View;
    View.Agent = Agent.Self.Self.Agent;
    View.Control = Agent.Self.Self.Control;
    View.Limit = 4;
    Peer.Now = Agent.Now;
    Peer.receive(TestAgent::request(Code::Get, "fill-1"), 1);
    Peer.receive(TestAgent::request(Code::Get, "fill-2"), 2);
    Peer.Core.setPeers({View});
  }

  TestAgent Agent{testIdentity("a"), 1};
  TestAgent Peer{testIdentity("b"), 2};
  RunId PeerRun = RunId::None;
  int NextToken = 0;
};

} // namespace dragonflystall

#endif
