// The balancer's decisions as callers and operators observe them, one case per
// test.
#include "steering/balancercore.h"
#include "steering/testdeployment.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

using namespace testing;

const ServiceId Tags = serviceId("team", "tags");
const ServiceId Receipts = serviceId("team", "receipts");
const Endpoint TagsAddress = serviceAddress(1);
const Endpoint ReceiptsAddress = serviceAddress(2);

struct BalancerCoreTest : ::testing::Test {
  BalancerCoreTest() {
    deliver(update(CurrentSettings));
    deliver(RosterUpdate{roster("tags", 1, TagAgents)});
    deliver(RosterUpdate{roster("receipts", 1, ReceiptAgents)});
  }

  const BalancerActions &deliver(const BalancerEvent &Input) {
    Actions.clear();
    Core.handle(Input, Clock.now(), Actions);
    return Actions;
  }

  /// Sends a packet from the caller; returns the agent's address, or an empty
  /// endpoint if the packet is dropped.
  Endpoint destinationOf(Endpoint Caller, Endpoint To = TagsAddress) {
    deliver(CallerPacket{Caller, To, "request"});
    const auto *Packet =
        Actions.empty() ? nullptr : std::get_if<SendPacket>(&Actions.back());
    return Packet ? Packet->To : Endpoint();
  }

  void deliverAnswer(const RosterEntry &Holder, Endpoint Caller,
                     uint64_t RosterVersion = 1) {
    deliver(reply(Holder, Tags, TagsAddress, Caller, RosterVersion));
  }

  /// Advances the clock by Time in ticks; returns the kinds of events reported.
  std::vector<EventKind> advanceTime(Duration Time) {
    std::vector<EventKind> Kinds;
    for (Duration Passed{}; Passed < Time; Passed += TickPeriod) {
      Clock.advance(TickPeriod);
      deliver(Tick{});
      for (const BalancerAction &Action : Actions)
        if (const auto *Reported = std::get_if<Event>(&Action))
          Kinds.push_back(Reported->Kind);
    }
    return Kinds;
  }

  /// The agent that receives packets of a flow without a cached holder.
  const RosterEntry &homeAgent(Endpoint Caller) {
    const Endpoint To = destinationOf(Caller);
    for (const RosterEntry &Entry : TagAgents)
      if (Entry.Data == To)
        return Entry;
    ADD_FAILURE() << "not a tag agent: " << toString(To);
    return TagAgents.front();
  }

  const RosterEntry &otherAgentThan(const RosterEntry &Entry) {
    return TagAgents[0].Data == Entry.Data ? TagAgents[1] : TagAgents[0];
  }

  static constexpr Duration TickPeriod = 50ms;
  std::vector<RosterEntry> TagAgents = {agent(0, 10), agent(1, 10),
                                        agent(2, 10)};
  std::vector<RosterEntry> ReceiptAgents = {agent(0, 20), agent(1, 20)};
  Settings CurrentSettings =
      settings(1, {service("tags", {TagsAddress}),
                   service("receipts", {ReceiptsAddress})});
  VirtualClock Clock;
  BalancerCore Core{{zoneName(0), address(0, 1), /*FlowCapacity=*/1000}};
  BalancerActions Actions;
};

TEST_F(BalancerCoreTest, FollowsTheHolderThatAnAnswerNames) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Other = otherAgentThan(homeAgent(Caller));
  deliverAnswer(Other, Caller);
  EXPECT_EQ(destinationOf(Caller), Other.Data);
}

TEST_F(BalancerCoreTest, RemovesAFlowThatHasNoHolderAnyMore) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  deliverAnswer(otherAgentThan(Home), Caller);
  InternalPacket FlowRemoved =
      reply(Home, Tags, TagsAddress, Caller, /*RosterVersion=*/1);
  FlowRemoved.Header.Holder = AgentId::None;
  deliver(FlowRemoved);
  EXPECT_EQ(destinationOf(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, AnswersAreSentFromTheServiceAddressThatTheCallerUsed) {
  const Endpoint Caller = callerAddress(1);
  deliverAnswer(TagAgents[0], Caller);
  const auto *Answer = std::get_if<SendToCaller>(&Actions.back());
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->Caller, Caller);
  EXPECT_EQ(Answer->ServiceAddress, TagsAddress);
  EXPECT_EQ(Answer->Payload, "answer");
}

TEST_F(BalancerCoreTest, NoPacketIsSentToAZoneOnceItIsOut) {
  const Endpoint Caller = callerAddress(1);
  deliverAnswer(TagAgents[1], Caller);
  ASSERT_EQ(destinationOf(Caller), TagAgents[1].Data);
  CurrentSettings.Version = 2;
  CurrentSettings.Zones[1].Evacuated = true;
  deliver(update(CurrentSettings));
  EXPECT_NE(destinationOf(Caller), TagAgents[1].Data);
  EXPECT_NE(destinationOf(Caller), Endpoint()) << "the other zones still serve";
  EXPECT_TRUE(
      deliver(reply(TagAgents[1], Tags, TagsAddress, Caller, 1)).empty());
}

TEST_F(BalancerCoreTest, AgentsWhoseZoneDoesNotMatchTheirAddressGetNoPackets) {
  CurrentSettings.Version = 2;
  CurrentSettings.Zones[1].Evacuated = true;
  deliver(update(CurrentSettings));
  RosterEntry Inside = agent(1, 10);
  Inside.Zone = zoneName(0);
  RosterEntry Outside = agent(0, 10);
  Outside.Zone = zoneName(1);
  deliver(RosterUpdate{roster("tags", 2, {Inside, Outside})});
  EXPECT_EQ(destinationOf(callerAddress(1)), Endpoint());
}

TEST_F(BalancerCoreTest, ABalancerInAZoneThatIsOutForwardsNothing) {
  CurrentSettings.Version = 2;
  CurrentSettings.Zones[0].Evacuated = true;
  deliver(update(CurrentSettings));
  EXPECT_EQ(destinationOf(callerAddress(1)), Endpoint());
  EXPECT_FALSE(Core.ready());
}

TEST_F(BalancerCoreTest, AReassignedAddressNeverReachesItsFormerService) {
  const Endpoint Caller = callerAddress(1);
  deliverAnswer(TagAgents[0], Caller);
  deliver(update(settings(2, {service("tags", {ReceiptsAddress}),
                              service("receipts", {TagsAddress})})));
  deliver(CallerPacket{Caller, TagsAddress, "request"});
  const auto &Packet = std::get<SendPacket>(Actions.back());
  EXPECT_EQ(Packet.Header.Service, Receipts);
  EXPECT_TRUE(Packet.To == ReceiptAgents[0].Data ||
              Packet.To == ReceiptAgents[1].Data);
  // A late answer of the address's former service does not reach the caller.
  EXPECT_TRUE(
      deliver(reply(TagAgents[0], Tags, TagsAddress, Caller, 1)).empty());
}

TEST_F(BalancerCoreTest,
       ForeignSendersAndUnknownAddressesAreDroppedAndCounted) {
  InternalPacket Foreign =
      reply(TagAgents[0], Tags, TagsAddress, callerAddress(1), 1);
  Foreign.From = {0x0a000001, 7000};
  EXPECT_TRUE(deliver(Foreign).empty());
  EXPECT_EQ(Core.counters()[SteerCounter::ForeignSender], 1U);
  EXPECT_EQ(destinationOf(callerAddress(1), serviceAddress(9)), Endpoint());
  EXPECT_EQ(Core.counters()[SteerCounter::UnknownAddress], 1U);
}

TEST_F(BalancerCoreTest, AnUnresponsiveAgentIsSkippedUntilItRespondsAgain) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  EXPECT_TRUE(advanceTime(400ms).empty());
  EXPECT_EQ(Core.counters()[SteerCounter::Probe], 0U);
  EXPECT_EQ(advanceTime(1200ms), std::vector{EventKind::AgentSuspected});
  EXPECT_GE(Core.counters()[SteerCounter::Probe], 5U);
  EXPECT_NE(destinationOf(Caller), Home.Data);
  PacketHeader Header;
  Header.Kind = PacketKind::ProbeReply;
  Header.Service = Tags;
  deliver(InternalPacket{Home.Data, Header, {}});
  EXPECT_EQ(Core.suspects(), 0U);
  EXPECT_EQ(destinationOf(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, SuspectedAgentsAreUsedWhenAllAreSuspected) {
  for (uint32_t I = 0; I < 50; ++I)
    destinationOf(callerAddress(I));
  advanceTime(2s);
  EXPECT_EQ(Core.suspects(), TagAgents.size());
  EXPECT_NE(destinationOf(callerAddress(1)), Endpoint());
}

TEST_F(BalancerCoreTest, ARestartedAgentDoesNotInheritSuspicion) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  advanceTime(2s);
  ASSERT_EQ(Core.suspects(), 1U);
  for (RosterEntry &Entry : TagAgents)
    Entry.Agent.Start = Incarnation{2};
  deliver(RosterUpdate{roster("tags", 2, TagAgents)});
  EXPECT_EQ(destinationOf(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, ALeavingAgentKeepsItsFlowsAndGetsNoNewOnes) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  deliverAnswer(Home, Caller);
  for (RosterEntry &Entry : TagAgents)
    if (Entry.Data == Home.Data)
      Entry.Phase = AgentPhase::Leaving;
  deliver(RosterUpdate{roster("tags", 2, TagAgents)});
  EXPECT_EQ(destinationOf(Caller), Home.Data);
  for (uint32_t I = 2; I < 100; ++I)
    EXPECT_NE(destinationOf(callerAddress(I)), Home.Data);
}

TEST_F(BalancerCoreTest, AnAnswerWithANewerRosterVersionFetchesIt) {
  deliverAnswer(TagAgents[0], callerAddress(1), /*RosterVersion=*/7);
  const auto *Want = std::get_if<FetchRoster>(&Actions.front());
  ASSERT_TRUE(Want);
  EXPECT_EQ(Want->Service, Tags);
  EXPECT_EQ(Want->KnownVersion, 7U);
  deliverAnswer(TagAgents[0], callerAddress(2), /*RosterVersion=*/7);
  EXPECT_FALSE(std::holds_alternative<FetchRoster>(Actions.front()))
      << "the roster is requested once, not for every packet";
}

TEST_F(BalancerCoreTest, OlderSettingsAndRostersChangeNothing) {
  Settings Older = CurrentSettings;
  Older.Version = 1;
  Older.Services.clear();
  deliver(update(Older));
  deliver(RosterUpdate{roster("tags", 1, {})});
  EXPECT_NE(destinationOf(callerAddress(1)), Endpoint());
  EXPECT_EQ(Core.counters()[SteerCounter::StaleSettings], 1U);
  EXPECT_EQ(Core.counters()[SteerCounter::StaleRoster], 1U);
}

TEST_F(BalancerCoreTest, FirstPacketsAreHeldUntilTheRosterArrives) {
  CurrentSettings.Version = 2;
  CurrentSettings.Services = settings(2, {service("tags", {TagsAddress}),
                                          service("late", {serviceAddress(3)})})
                                 .Services;
  deliver(update(CurrentSettings));
  deliver(CallerPacket{callerAddress(1), serviceAddress(3), "early"});
  ASSERT_EQ(Actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<FetchRoster>(Actions[0]));
  deliver(RosterUpdate{roster("late", 1, {agent(1, 30)})});
  const auto &Packet = std::get<SendPacket>(Actions.back());
  EXPECT_EQ(Packet.Payload, "early");
  EXPECT_EQ(Packet.To, agent(1, 30).Data);
}

TEST_F(BalancerCoreTest, AServiceIsServedOnlyInItsConfiguredZones) {
  CurrentSettings.Version = 2;
  for (ServiceSettings &Service : CurrentSettings.Services)
    Service.Zones = {zoneName(2)};
  deliver(update(CurrentSettings));
  for (uint32_t I = 0; I < 50; ++I)
    EXPECT_EQ(destinationOf(callerAddress(I)), TagAgents[2].Data);
}

} // namespace
} // namespace dragonflystall
