// What a service's agents do together: joining, placing, handing over and
// giving up flows, each under the faults that it is meant for.
#include "flows/fakecluster_test.h"
#include "wire/convert.h"

#include <gtest/gtest.h>

namespace dragonflystall::test {
namespace {

/// Seven agents over three zones that know each other.
struct Deployment : testing::Test {
  FakeCluster C{20261204};

  void startAll(unsigned Count = 7, uint32_t Connections = 2000) {
    for (unsigned I = 0; I < Count; ++I)
      C.start(name(I), I % 3, I, Connections);
    C.run(5s);
  }
  static std::string name(unsigned I) { return fmt::format("tag-{}", I); }
  void requests(uint32_t First, uint32_t Count) {
    for (uint32_t I = First; I < First + Count; ++I)
      C.request(C.anyAlive(), I);
  }
  uint32_t held(uint32_t First, uint32_t Count, size_t Wanted = 1) {
    uint32_t Result = 0;
    for (uint32_t I = First; I < First + Count; ++I)
      Result += C.holders(FakeCluster::flowOf(I)).size() == Wanted ? 1 : 0;
    return Result;
  }
};

TEST_F(Deployment, AgentsAnnounceThemselvesWithOneWriteEach) {
  startAll();
  EXPECT_EQ(C.Stored.Agents.size(), 7U);
  const uint64_t Writes = C.StoreWrites;
  EXPECT_LE(Writes, 7U + 21U); // At most a few conflicts each.
  C.run(60s);
  EXPECT_EQ(C.StoreWrites, Writes);
}

TEST_F(Deployment, EachFlowHasOneHolderWhoeverGetsItsPackets) {
  startAll();
  for (int Round = 0; Round < 3; ++Round) {
    requests(0, 300);
    C.run(1s);
  }
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_EQ(C.Refusals, 0U);
}

TEST_F(Deployment, LeavingAgentHandsAllFlowsOver) {
  startAll();
  requests(0, 300);
  C.run(1s);
  C.leave(name(2));
  C.run(8s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_TRUE(C.Agents.at(name(2)).Core->empty());
  EXPECT_EQ(C.Stored.Agents.size(), 6U);
  EXPECT_TRUE(C.GivenUp.empty());
}

TEST_F(Deployment, FlowsLandEvenlyFromTwoThousandOn) {
  startAll();
  for (uint32_t I = 0; I < 2100; I += 30) {
    requests(I, 30);
    C.run(60ms);
  }
  C.run(1s);
  size_t Most = 0;
  for (const auto &[Name, Agent] : C.Agents)
    Most = std::max(Most, Agent.Core->size());
  EXPECT_LE(static_cast<double>(Most) * 7 / 2100, 1.10);
}

TEST_F(Deployment, FullServiceRefusesNewFlowsAndKeepsTheOld) {
  startAll(7, 10);
  requests(0, 90);
  C.run(2s);
  EXPECT_EQ(held(0, 90), 70U);
  EXPECT_EQ(C.Refusals, 20U);
  for (const auto &[Name, Agent] : C.Agents)
    EXPECT_LE(Agent.Core->size(), 10U);
}

TEST_F(Deployment, RefusalIsNotRunUnlessARequestHasATicket) {
  std::vector<Verdict> Verdicts;
  C.OnAction = [&](const FakeAgent &, const AgentAction &Action) {
    if (const auto *Answer = std::get_if<SendMessage>(&Action)) {
      Verdicts.push_back(*Answer->Value.Verdict);
      EXPECT_TRUE(Answer->Value.MaxAge);
    }
  };
  startAll(1, 1);
  C.request(name(0), 0);
  C.run(1s);
  C.request(name(0), 1);
  C.run(1s);
  C.request(name(0), 2, true);
  C.run(1s);
  EXPECT_EQ(Verdicts, (std::vector{Verdict::NotRun, Verdict::MayHaveRun}));
}

TEST_F(Deployment, KilledAgentLosesOnlyItsOwnFlows) {
  startAll();
  requests(0, 300);
  C.run(1s);
  const size_t Lost = C.Agents.at(name(3)).Core->size();
  C.kill(name(3));
  C.run(5s);
  EXPECT_EQ(held(0, 300), 300U - Lost);
  requests(0, 300);
  C.run(2s);
  EXPECT_EQ(held(0, 300), 300U);
  C.run(30s);
  EXPECT_EQ(C.Stored.find(agentId(name(3))), nullptr);
}

TEST_F(Deployment, PausedAgentRejoinsAndGivesUpFlowsPlacedElsewhere) {
  startAll();
  requests(0, 300);
  C.run(1s);
  for (int Twice = 0; Twice < 2; ++Twice) {
    C.pause(name(3), 25s);
    C.run(5s);
    for (uint32_t I = 0; I < 100; ++I)
      C.request(name(0), I);
    C.run(30s);
    EXPECT_EQ(held(0, 300), 300U);
    EXPECT_NE(C.Stored.find(agentId(name(3))), nullptr);
  }
}

TEST_F(Deployment, ZoneOutGivesItsFlowsUpAndSendsNothing) {
  startAll();
  requests(0, 300);
  C.run(1s);
  C.Wanted.Zones[1].Out = true;
  C.publishSettings();
  C.run(1s);
  EXPECT_EQ(C.Agents.at(name(1)).Core->size(), 0U);
  uint64_t FromZone = 0;
  C.OnAction = [&](const FakeAgent &A, const AgentAction &Action) {
    const bool Sends = std::holds_alternative<SendDatagram>(Action) ||
                       std::holds_alternative<SendPeer>(Action) ||
                       std::holds_alternative<SendMessage>(Action);
    FromZone += A.Identity.Self.Zone == "zone-1" && Sends ? 1 : 0;
  };
  for (uint32_t I = 0; I < 300; ++I)
    C.request(name(0), I);
  C.run(3s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_EQ(FromZone, 0U);
}

/// Half of the agents learn of a join late, while a zone goes out.
TEST_F(Deployment, UnevenRosterWhileAZoneGoesOutPlacesNoFlowTwice) {
  startAll();
  requests(0, 200);
  C.run(1s);
  C.Trouble.WatchDelay = 4s;
  C.start(name(7), 0, 7);
  C.Wanted.Zones[2].Out = true;
  C.publishSettings();
  for (int Round = 0; Round < 20; ++Round) {
    requests(0, 300);
    C.run(300ms);
  }
  C.run(5s);
  requests(0, 300);
  C.run(1s);
  EXPECT_EQ(held(0, 300), 300U);
}

TEST_F(Deployment, RestartWhileTheStoreIsDownServesAgain) {
  startAll();
  requests(0, 100);
  C.run(1s);
  C.Trouble.StoreDown = true;
  C.kill(name(2));
  C.start(name(2), 2, 2);
  C.run(8s);
  requests(0, 300);
  C.run(2s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_GT(C.Agents.at(name(2)).Core->size(), 0U);
  C.Trouble.StoreDown = false;
  C.run(40s);
  EXPECT_EQ(C.Stored.find(agentId(name(2)))->Agent,
            C.Agents.at(name(2)).Identity.Self.Agent);
}

TEST_F(Deployment, LostHandOverAnswersLoseNoFlow) {
  startAll();
  requests(0, 300);
  C.run(1s);
  C.Trouble.ControlDropPerMille = 300;
  C.Trouble.DuplicatePerMille = 300;
  C.leave(name(2));
  C.run(6s);
  C.Trouble = {};
  C.run(10s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_TRUE(C.GivenUp.empty());
}

/// The successor may have run requests before it died.
TEST_F(Deployment, HandOverToADeadSuccessorStaysFenced) {
  startAll(2);
  requests(0, 40);
  C.run(1s);
  FakeAgent &Giver = C.Agents.at(name(0));
  const auto Flows = Giver.Store.Count;
  C.leave(name(0));
  C.kill(name(1));
  C.run(15s);
  EXPECT_EQ(Giver.Core->size(), 0U);
  for (const auto &[Flow, Count] : Flows)
    EXPECT_TRUE(Giver.Store.Fenced.contains(Flow));
}

/// "Not here" is an answer that the asker may place the flow on.
TEST_F(Deployment, FlowThatAPeerAskedAboutIsLeftToIt) {
  startAll();
  const FlowKey Flow = FakeCluster::flowOf(5);
  const RosterEntry *Home =
      homeOf(C.Stored, Flow, [](const RosterEntry &) { return true; });
  const RosterEntry &Asker =
      C.Stored.Agents[Home == &C.Stored.Agents[0] ? 1 : 0];
  wire::ControlMessage Question;
  *Question.mutable_sender() = wire::toWire(Asker.Agent);
  *Question.mutable_reply_to() = wire::toWire(Asker.Control);
  Question.set_service(static_cast<uint64_t>(FakeCluster::service()));
  Question.set_roster_version(C.Stored.Version);
  *Question.mutable_locate()->add_flows() = wire::toWire(Flow);
  FlowsOutput Out;
  C.Agents.at(Home->Name).Core->onPeer(Question, C.Now, Out);
  Endpoint To;
  C.OnAction = [&](const FakeAgent &A, const AgentAction &Action) {
    const auto *Send = std::get_if<SendDatagram>(&Action);
    if (Send && A.Identity.Self.Name == Home->Name)
      To = To ? To : Send->To;
  };
  C.request(Home->Name, 5);
  C.run(100ms);
  EXPECT_EQ(To, Asker.Data);
}

TEST_F(Deployment, BusyFlowsMoveOnlyWhenTheirRequestsEnd) {
  startAll();
  requests(0, 100);
  C.run(1s);
  FakeAgent &Leaver = C.Agents.at(name(2));
  for (uint32_t I = 0; I < 100; ++I)
    if (Leaver.Core->holds(FakeCluster::flowOf(I)))
      Leaver.Store.Busy.insert(FakeCluster::flowOf(I));
  const size_t Busy = Leaver.Store.Busy.size();
  C.leave(name(2));
  C.run(20s);
  EXPECT_EQ(Leaver.Core->size(), Busy);
  EXPECT_FALSE(Leaver.Core->empty());
  Leaver.Store.Busy.clear();
  C.run(6s);
  EXPECT_TRUE(Leaver.Core->empty());
  EXPECT_EQ(held(0, 100), 100U);
}

TEST_F(Deployment, DrainedAgentTakesNothingNewAndComesBack) {
  startAll();
  C.Wanted.Services[0].Drained = {name(4)};
  C.publishSettings();
  C.run(2s);
  requests(0, 200);
  C.run(2s);
  EXPECT_EQ(C.Agents.at(name(4)).Core->size(), 0U);
  EXPECT_EQ(C.Stored.find(agentId(name(4)))->Phase, AgentPhase::Leaving);
  C.Wanted.Services[0].Drained.clear();
  C.publishSettings();
  C.run(2s);
  requests(200, 200);
  C.run(2s);
  EXPECT_GT(C.Agents.at(name(4)).Core->size(), 0U);
  EXPECT_EQ(held(0, 400), 400U);
}

TEST_F(Deployment, LostWriteAnswerIsNoSecondJoin) {
  C.Trouble.LostAnswerPerMille = 1000;
  C.start(name(0), 0, 0);
  C.run(30s);
  EXPECT_EQ(C.Stored.Agents.size(), 1U);
  EXPECT_EQ(C.StoreWrites, 1U);
}

TEST_F(Deployment, ForeignPacketsAreDroppedAndCounted) {
  startAll();
  AgentPacket P;
  P.From = FakeCluster::Balancer;
  P.Header.Service = serviceId("team", "receipts");
  P.Header.ServiceAddress = FakeCluster::ServiceAddress;
  P.Header.Caller = FakeCluster::callerOf(1);
  P.Decoded.Kind = Code::Get;
  FlowsOutput Out;
  Flows &Core = *C.Agents.at(name(0)).Core;
  Core.onPacket(P, C.Now, Out);
  P.Header.Service = FakeCluster::service();
  P.Header.ServiceAddress.Port = 1;
  Core.onPacket(P, C.Now, Out);
  P.Header.ServiceAddress = FakeCluster::ServiceAddress;
  P.From.Ip = 0x7f020101;
  Core.onPacket(P, C.Now, Out);
  EXPECT_TRUE(Out.Deliver.empty());
  ASSERT_EQ(Out.Actions.size(), 3U);
  for (const AgentAction &Action : Out.Actions)
    EXPECT_EQ(std::get<Event>(Action).Kind, EventKind::PacketDropped);
}

} // namespace
} // namespace dragonflystall::test
