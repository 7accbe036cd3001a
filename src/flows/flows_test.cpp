// Tests of the agents of one service together: joining the roster, and placing,
// handing over and giving up flows, with the faults that each must tolerate.
#include "flows/fakecluster_test.h"
#include "wire/convert.h"

#include <gtest/gtest.h>

namespace dragonflystall::test {
namespace {

/// Seven agents in three zones that have all joined the roster.
struct Deployment : testing::Test {
  FakeCluster Cluster{20261204};

  void startAll(unsigned Count = 7, uint32_t Connections = 2000) {
    for (unsigned I = 0; I < Count; ++I)
      Cluster.start(name(I), I % 3, I, Connections);
    Cluster.run(5s);
  }
  static std::string name(unsigned I) { return fmt::format("tag-{}", I); }
  void requests(uint32_t First, uint32_t Count) {
    for (uint32_t I = First; I < First + Count; ++I)
      Cluster.request(Cluster.randomLiveAgent(), I);
  }
  uint32_t held(uint32_t First, uint32_t Count, size_t ExpectedHolders = 1) {
    uint32_t Result = 0;
    for (uint32_t I = First; I < First + Count; ++I)
      Result +=
          Cluster.holders(FakeCluster::flowOf(I)).size() == ExpectedHolders ? 1
                                                                            : 0;
    return Result;
  }
};

TEST_F(Deployment, AgentsAnnounceThemselvesWithOneWriteEach) {
  startAll();
  EXPECT_EQ(Cluster.StoredRoster.Agents.size(), 7U);
  const uint64_t Writes = Cluster.StoreWrites;
  EXPECT_LE(Writes, 7U + 21U); // Up to three conflicts per agent.
  Cluster.run(60s);
  EXPECT_EQ(Cluster.StoreWrites, Writes);
}

TEST_F(Deployment, EachFlowHasOneHolderWhicheverAgentGetsItsPackets) {
  startAll();
  for (int Round = 0; Round < 3; ++Round) {
    requests(0, 300);
    Cluster.run(1s);
  }
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_EQ(Cluster.Refusals, 0U);
}

TEST_F(Deployment, LeavingAgentHandsAllFlowsOver) {
  startAll();
  requests(0, 300);
  Cluster.run(1s);
  Cluster.leave(name(2));
  Cluster.run(8s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_TRUE(Cluster.Agents.at(name(2)).Core->isDoneLeaving());
  EXPECT_EQ(Cluster.StoredRoster.Agents.size(), 6U);
  EXPECT_TRUE(Cluster.GivenUp.empty());
}

TEST_F(Deployment, TwoThousandFlowsAreSpreadEvenly) {
  startAll();
  for (uint32_t I = 0; I < 2100; I += 30) {
    requests(I, 30);
    Cluster.run(60ms);
  }
  Cluster.run(1s);
  size_t Largest = 0;
  for (const auto &[Name, Agent] : Cluster.Agents)
    Largest = std::max(Largest, Agent.Core->size());
  EXPECT_LE(static_cast<double>(Largest) * 7 / 2100, 1.10);
}

TEST_F(Deployment, FullServiceRefusesNewFlowsAndKeepsTheOld) {
  startAll(7, 10);
  requests(0, 90);
  Cluster.run(2s);
  EXPECT_EQ(held(0, 90), 70U);
  EXPECT_EQ(Cluster.Refusals, 20U);
  for (const auto &[Name, Agent] : Cluster.Agents)
    EXPECT_LE(Agent.Core->size(), 10U);
}

TEST_F(Deployment, RefusalVerdictIsNotRunUnlessTheRequestHasATicket) {
  std::vector<Verdict> Verdicts;
  Cluster.OnAction = [&](const FakeAgent &, const AgentAction &Action) {
    if (const auto *Answer = std::get_if<SendMessage>(&Action)) {
      Verdicts.push_back(*Answer->Value.Verdict);
      EXPECT_TRUE(Answer->Value.MaxAge);
    }
  };
  startAll(1, 1);
  Cluster.request(name(0), 0);
  Cluster.run(1s);
  Cluster.request(name(0), 1);
  Cluster.run(1s);
  Cluster.request(name(0), 2, true);
  Cluster.run(1s);
  EXPECT_EQ(Verdicts, (std::vector{Verdict::NotRun, Verdict::MayHaveRun}));
}

TEST_F(Deployment, KilledAgentLosesOnlyTheFlowsItHeld) {
  startAll();
  requests(0, 300);
  Cluster.run(1s);
  const size_t Lost = Cluster.Agents.at(name(3)).Core->size();
  Cluster.kill(name(3));
  Cluster.run(5s);
  EXPECT_EQ(held(0, 300), 300U - Lost);
  requests(0, 300);
  Cluster.run(2s);
  EXPECT_EQ(held(0, 300), 300U);
  Cluster.run(30s);
  EXPECT_EQ(Cluster.StoredRoster.find(agentId(name(3))), nullptr);
}

TEST_F(Deployment, PausedAgentRejoinsAndGivesUpFlowsPlacedElsewhere) {
  startAll();
  requests(0, 300);
  Cluster.run(1s);
  for (int Round = 0; Round < 2; ++Round) {
    Cluster.pause(name(3), 25s);
    Cluster.run(5s);
    for (uint32_t I = 0; I < 100; ++I)
      Cluster.request(name(0), I);
    Cluster.run(30s);
    EXPECT_EQ(held(0, 300), 300U);
    EXPECT_NE(Cluster.StoredRoster.find(agentId(name(3))), nullptr);
  }
}

TEST_F(Deployment, AgentsOfAZoneThatIsOutGiveUpFlowsAndSendNothing) {
  startAll();
  requests(0, 300);
  Cluster.run(1s);
  Cluster.CurrentSettings.Zones[1].Evacuated = true;
  Cluster.publishSettings();
  Cluster.run(1s);
  EXPECT_EQ(Cluster.Agents.at(name(1)).Core->size(), 0U);
  uint64_t SentFromZone = 0;
  Cluster.OnAction = [&](const FakeAgent &Agent, const AgentAction &Action) {
    const bool Sends = std::holds_alternative<SendDatagram>(Action) ||
                       std::holds_alternative<SendPeer>(Action) ||
                       std::holds_alternative<SendMessage>(Action);
    SentFromZone += Agent.Identity.Self.Zone == "zone-1" && Sends ? 1 : 0;
  };
  for (uint32_t I = 0; I < 300; ++I)
    Cluster.request(name(0), I);
  Cluster.run(3s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_EQ(SentFromZone, 0U);
}

/// Agents receive a join and a change that takes a zone out up to 4 s apart, so
/// that their rosters and settings differ meanwhile. No flow may get two
/// holders.
TEST_F(Deployment, DifferingRostersWhileAZoneGoesOutPlaceNoFlowTwice) {
  startAll();
  requests(0, 200);
  Cluster.run(1s);
  Cluster.ActiveFaults.WatchDelay = 4s;
  Cluster.start(name(7), 0, 7);
  Cluster.CurrentSettings.Zones[2].Evacuated = true;
  Cluster.publishSettings();
  for (int Round = 0; Round < 20; ++Round) {
    requests(0, 300);
    Cluster.run(300ms);
  }
  Cluster.run(5s);
  requests(0, 300);
  Cluster.run(1s);
  EXPECT_EQ(held(0, 300), 300U);
}

TEST_F(Deployment, AgentRestartedWhileTheStoreIsDownServes) {
  startAll();
  requests(0, 100);
  Cluster.run(1s);
  Cluster.ActiveFaults.StoreDown = true;
  Cluster.kill(name(2));
  Cluster.start(name(2), 2, 2);
  Cluster.run(8s);
  requests(0, 300);
  Cluster.run(2s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_GT(Cluster.Agents.at(name(2)).Core->size(), 0U);
  Cluster.ActiveFaults.StoreDown = false;
  Cluster.run(40s);
  EXPECT_EQ(Cluster.StoredRoster.find(agentId(name(2)))->Agent,
            Cluster.Agents.at(name(2)).Identity.Self.Agent);
}

TEST_F(Deployment, LostHandOverMessagesLoseNoFlow) {
  startAll();
  requests(0, 300);
  Cluster.run(1s);
  Cluster.ActiveFaults.ControlDropPerMille = 300;
  Cluster.ActiveFaults.DuplicatePerMille = 300;
  Cluster.leave(name(2));
  Cluster.run(6s);
  Cluster.ActiveFaults = {};
  Cluster.run(10s);
  EXPECT_EQ(held(0, 300), 300U);
  EXPECT_TRUE(Cluster.GivenUp.empty());
}

/// The successor may have run requests before it failed, so the leaving agent
/// must not accept tickets of the flows again.
TEST_F(Deployment, FlowsHandedOverToAFailedSuccessorStayFenced) {
  startAll(2);
  requests(0, 40);
  Cluster.run(1s);
  FakeAgent &LeavingAgent = Cluster.Agents.at(name(0));
  const auto Flows = LeavingAgent.Store.Count;
  Cluster.leave(name(0));
  Cluster.kill(name(1));
  Cluster.run(15s);
  EXPECT_EQ(LeavingAgent.Core->size(), 0U);
  for (const auto &[Flow, Count] : Flows)
    EXPECT_TRUE(LeavingAgent.Store.Fenced.contains(Flow));
}

/// After the answer "not here" to a peer's locate message, the peer may place
/// the flow; the answering agent must forward the flow's packets to it.
TEST_F(Deployment, FlowLocatedByAPeerIsPlacedByThatPeerOnly) {
  startAll();
  const FlowKey Flow = FakeCluster::flowOf(5);
  const RosterEntry *Home = homeOf(Cluster.StoredRoster, Flow,
                                   [](const RosterEntry &) { return true; });
  const RosterEntry &Asker =
      Cluster.StoredRoster
          .Agents[Home == &Cluster.StoredRoster.Agents[0] ? 1 : 0];
  wire::ControlMessage LocateMessage;
  *LocateMessage.mutable_sender() = wire::toWire(Asker.Agent);
  *LocateMessage.mutable_reply_to() = wire::toWire(Asker.Control);
  LocateMessage.set_service(static_cast<uint64_t>(FakeCluster::service()));
  LocateMessage.set_roster_version(Cluster.StoredRoster.Version);
  *LocateMessage.mutable_locate()->add_flows() = wire::toWire(Flow);
  FlowsOutput Out;
  Cluster.Agents.at(Home->Name).Core->onPeer(LocateMessage, Cluster.Now, Out);
  Endpoint To;
  Cluster.OnAction = [&](const FakeAgent &Agent, const AgentAction &Action) {
    const auto *Send = std::get_if<SendDatagram>(&Action);
    if (Send && Agent.Identity.Self.Name == Home->Name)
      To = To ? To : Send->To;
  };
  Cluster.request(Home->Name, 5);
  Cluster.run(100ms);
  EXPECT_EQ(To, Asker.Data);
}

TEST_F(Deployment, BusyFlowsMoveOnlyWhenTheirRequestsEnd) {
  startAll();
  requests(0, 100);
  Cluster.run(1s);
  FakeAgent &LeavingAgent = Cluster.Agents.at(name(2));
  for (uint32_t I = 0; I < 100; ++I)
    if (LeavingAgent.Core->holds(FakeCluster::flowOf(I)))
      LeavingAgent.Store.Busy.insert(FakeCluster::flowOf(I));
  const size_t Busy = LeavingAgent.Store.Busy.size();
  Cluster.leave(name(2));
  Cluster.run(20s);
  EXPECT_EQ(LeavingAgent.Core->size(), Busy);
  EXPECT_FALSE(LeavingAgent.Core->isDoneLeaving());
  LeavingAgent.Store.Busy.clear();
  Cluster.run(6s);
  EXPECT_TRUE(LeavingAgent.Core->isDoneLeaving());
  EXPECT_EQ(held(0, 100), 100U);
}

TEST_F(Deployment, DrainedAgentTakesNoNewFlowsUntilTheDrainEnds) {
  startAll();
  Cluster.CurrentSettings.Services[0].Drained = {name(4)};
  Cluster.publishSettings();
  Cluster.run(2s);
  requests(0, 200);
  Cluster.run(2s);
  EXPECT_EQ(Cluster.Agents.at(name(4)).Core->size(), 0U);
  EXPECT_EQ(Cluster.StoredRoster.find(agentId(name(4)))->Phase,
            AgentPhase::Leaving);
  Cluster.CurrentSettings.Services[0].Drained.clear();
  Cluster.publishSettings();
  Cluster.run(2s);
  requests(200, 200);
  Cluster.run(2s);
  EXPECT_GT(Cluster.Agents.at(name(4)).Core->size(), 0U);
  EXPECT_EQ(held(0, 400), 400U);
}

TEST_F(Deployment, LostWriteReplyCausesNoSecondJoin) {
  Cluster.ActiveFaults.LostAnswerPerMille = 1000;
  Cluster.start(name(0), 0, 0);
  Cluster.run(30s);
  EXPECT_EQ(Cluster.StoredRoster.Agents.size(), 1U);
  EXPECT_EQ(Cluster.StoreWrites, 1U);
}

TEST_F(Deployment, PacketsOfOtherServicesOrSendersAreDropped) {
  startAll();
  AgentPacket Packet;
  Packet.From = FakeCluster::Balancer;
  Packet.Header.Service = serviceId("team", "receipts");
  Packet.Header.ServiceAddress = FakeCluster::ServiceAddress;
  Packet.Header.Caller = FakeCluster::callerOf(1);
  Packet.Decoded.Kind = Code::Get;
  FlowsOutput Out;
  Flows &Core = *Cluster.Agents.at(name(0)).Core;
  Core.onPacket(Packet, Cluster.Now, Out);
  Packet.Header.Service = FakeCluster::service();
  Packet.Header.ServiceAddress.Port = 1;
  Core.onPacket(Packet, Cluster.Now, Out);
  Packet.Header.ServiceAddress = FakeCluster::ServiceAddress;
  Packet.From.Ip = 0x7f020101;
  Core.onPacket(Packet, Cluster.Now, Out);
  EXPECT_TRUE(Out.Deliver.empty());
  ASSERT_EQ(Out.Actions.size(), 3U);
  for (const AgentAction &Action : Out.Actions)
    EXPECT_EQ(std::get<Event>(Action).Kind, EventKind::PacketDropped);
}

} // namespace
} // namespace dragonflystall::test
