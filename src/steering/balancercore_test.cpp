// What callers and operators notice of a balancer's decisions, one case each.
#include "steering/balancercore.h"
#include "steering/steeringworld.h"

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
    give(update(InForce));
    give(RosterUpdate{roster("tags", 1, TagAgents)});
    give(RosterUpdate{roster("receipts", 1, ReceiptAgents)});
  }

  const BalancerActions &give(const BalancerEvent &What) {
    Actions.clear();
    Core.handle(What, Clock.now(), Actions);
    return Actions;
  }

  /// Where a packet of the caller goes; no address when it is dropped.
  Endpoint sent(Endpoint Caller, Endpoint To = TagsAddress) {
    give(CallerPacket{Caller, To, "request"});
    const auto *Packet =
        Actions.empty() ? nullptr : std::get_if<SendPacket>(&Actions.back());
    return Packet ? Packet->To : Endpoint();
  }

  void answer(const RosterEntry &Holder, Endpoint Caller,
              uint64_t RosterVersion = 1) {
    give(reply(Holder, Tags, TagsAddress, Caller, RosterVersion));
  }

  /// Lets the time pass in ticks; returns the kinds of events seen.
  std::vector<EventKind> pass(Duration Time) {
    std::vector<EventKind> Kinds;
    for (Duration Passed{}; Passed < Time; Passed += TickPeriod) {
      Clock.advance(TickPeriod);
      give(Tick{});
      for (const BalancerAction &Action : Actions)
        if (const auto *What = std::get_if<Event>(&Action))
          Kinds.push_back(What->Kind);
    }
    return Kinds;
  }

  /// The agent of the service that a flow without a holder goes to.
  const RosterEntry &homeAgent(Endpoint Caller) {
    const Endpoint To = sent(Caller);
    for (const RosterEntry &Entry : TagAgents)
      if (Entry.Data == To)
        return Entry;
    ADD_FAILURE() << "not a tag agent: " << toString(To);
    return TagAgents.front();
  }

  const RosterEntry &anotherThan(const RosterEntry &Entry) {
    return TagAgents[0].Data == Entry.Data ? TagAgents[1] : TagAgents[0];
  }

  static constexpr Duration TickPeriod = 50ms;
  std::vector<RosterEntry> TagAgents = {agent(0, 10), agent(1, 10),
                                        agent(2, 10)};
  std::vector<RosterEntry> ReceiptAgents = {agent(0, 20), agent(1, 20)};
  Settings InForce = settings(1, {service("tags", {TagsAddress}),
                                  service("receipts", {ReceiptsAddress})});
  VirtualClock Clock;
  BalancerCore Core{{zoneName(0), address(0, 1), /*FlowCapacity=*/1000}};
  BalancerActions Actions;
};

TEST_F(BalancerCoreTest, FollowsTheHolderThatAnAnswerNames) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Other = anotherThan(homeAgent(Caller));
  answer(Other, Caller);
  EXPECT_EQ(sent(Caller), Other.Data);
}

TEST_F(BalancerCoreTest, ForgetsAFlowThatHasNoHolderAnyMore) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  answer(anotherThan(Home), Caller);
  InternalPacket Gone =
      reply(Home, Tags, TagsAddress, Caller, /*RosterVersion=*/1);
  Gone.Header.Holder = AgentId::None;
  give(Gone);
  EXPECT_EQ(sent(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, AnswersGoToTheCallerFromTheAddressItUsed) {
  const Endpoint Caller = callerAddress(1);
  answer(TagAgents[0], Caller);
  const auto *Answer = std::get_if<SendToCaller>(&Actions.back());
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->Caller, Caller);
  EXPECT_EQ(Answer->ServiceAddress, TagsAddress);
  EXPECT_EQ(Answer->Payload, "answer");
}

TEST_F(BalancerCoreTest, NoPacketEntersAZoneFromTheMomentItIsOut) {
  const Endpoint Caller = callerAddress(1);
  answer(TagAgents[1], Caller);
  ASSERT_EQ(sent(Caller), TagAgents[1].Data);
  InForce.Version = 2;
  InForce.Zones[1].Out = true;
  give(update(InForce));
  EXPECT_NE(sent(Caller), TagAgents[1].Data);
  EXPECT_NE(sent(Caller), Endpoint()) << "the other zones serve on";
  EXPECT_TRUE(give(reply(TagAgents[1], Tags, TagsAddress, Caller, 1)).empty());
}

TEST_F(BalancerCoreTest, AnOutZoneIsNotEnteredUnderAnotherZonesName) {
  InForce.Version = 2;
  InForce.Zones[1].Out = true;
  give(update(InForce));
  RosterEntry Inside = agent(1, 10);
  Inside.Zone = zoneName(0);
  RosterEntry Outside = agent(0, 10);
  Outside.Zone = zoneName(1);
  give(RosterUpdate{roster("tags", 2, {Inside, Outside})});
  EXPECT_EQ(sent(callerAddress(1)), Endpoint());
}

TEST_F(BalancerCoreTest, ABalancerInAZoneThatIsOutServesNobody) {
  InForce.Version = 2;
  InForce.Zones[0].Out = true;
  give(update(InForce));
  EXPECT_EQ(sent(callerAddress(1)), Endpoint());
  EXPECT_FALSE(Core.ready());
}

TEST_F(BalancerCoreTest, AnAddressThatChangedHandsNeverCrossesServices) {
  const Endpoint Caller = callerAddress(1);
  answer(TagAgents[0], Caller);
  give(update(settings(2, {service("tags", {ReceiptsAddress}),
                           service("receipts", {TagsAddress})})));
  give(CallerPacket{Caller, TagsAddress, "request"});
  const auto &Packet = std::get<SendPacket>(Actions.back());
  EXPECT_EQ(Packet.Header.Service, Receipts);
  EXPECT_TRUE(Packet.To == ReceiptAgents[0].Data ||
              Packet.To == ReceiptAgents[1].Data);
  // A late answer of the former owner isn't shown to the caller.
  EXPECT_TRUE(give(reply(TagAgents[0], Tags, TagsAddress, Caller, 1)).empty());
}

TEST_F(BalancerCoreTest, StrangersAndUnknownAddressesAreDroppedAndCounted) {
  InternalPacket Foreign =
      reply(TagAgents[0], Tags, TagsAddress, callerAddress(1), 1);
  Foreign.From = {0x0a000001, 7000};
  EXPECT_TRUE(give(Foreign).empty());
  EXPECT_EQ(Core.counters()[SteerCounter::ForeignSender], 1U);
  EXPECT_EQ(sent(callerAddress(1), serviceAddress(9)), Endpoint());
  EXPECT_EQ(Core.counters()[SteerCounter::UnknownAddress], 1U);
}

TEST_F(BalancerCoreTest, ASilentAgentIsSkippedUntilItIsHeardAgain) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  EXPECT_TRUE(pass(400ms).empty());
  EXPECT_EQ(Core.counters()[SteerCounter::Probe], 0U);
  EXPECT_EQ(pass(1200ms), std::vector{EventKind::AgentSuspected});
  EXPECT_GE(Core.counters()[SteerCounter::Probe], 5U);
  EXPECT_NE(sent(Caller), Home.Data);
  PacketHeader Header;
  Header.Kind = PacketKind::ProbeReply;
  Header.Service = Tags;
  give(InternalPacket{Home.Data, Header, {}});
  EXPECT_EQ(Core.suspects(), 0U);
  EXPECT_EQ(sent(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, WhenAllAreSuspectedTheyAreBetterThanNobody) {
  for (uint32_t I = 0; I < 50; ++I)
    sent(callerAddress(I));
  pass(2s);
  EXPECT_EQ(Core.suspects(), TagAgents.size());
  EXPECT_NE(sent(callerAddress(1)), Endpoint());
}

TEST_F(BalancerCoreTest, ARestartedAgentIsNotSuspectedForItsFormerSelf) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  pass(2s);
  ASSERT_EQ(Core.suspects(), 1U);
  for (RosterEntry &Entry : TagAgents)
    Entry.Agent.Start = Incarnation{2};
  give(RosterUpdate{roster("tags", 2, TagAgents)});
  EXPECT_EQ(sent(Caller), Home.Data);
}

TEST_F(BalancerCoreTest, ALeavingAgentKeepsItsFlowsAndGetsNoNewOnes) {
  const Endpoint Caller = callerAddress(1);
  const RosterEntry Home = homeAgent(Caller);
  answer(Home, Caller);
  for (RosterEntry &Entry : TagAgents)
    if (Entry.Data == Home.Data)
      Entry.Phase = AgentPhase::Leaving;
  give(RosterUpdate{roster("tags", 2, TagAgents)});
  EXPECT_EQ(sent(Caller), Home.Data);
  for (uint32_t I = 2; I < 100; ++I)
    EXPECT_NE(sent(callerAddress(I)), Home.Data);
}

TEST_F(BalancerCoreTest, AnAnswerWithANewerRosterVersionFetchesIt) {
  answer(TagAgents[0], callerAddress(1), /*RosterVersion=*/7);
  const auto *Want = std::get_if<WantRoster>(&Actions.front());
  ASSERT_TRUE(Want);
  EXPECT_EQ(Want->Service, Tags);
  EXPECT_EQ(Want->KnownVersion, 7U);
  answer(TagAgents[0], callerAddress(2), /*RosterVersion=*/7);
  EXPECT_FALSE(std::holds_alternative<WantRoster>(Actions.front()))
      << "asked once, not for every packet";
}

TEST_F(BalancerCoreTest, OlderSettingsAndRostersChangeNothing) {
  Settings Older = InForce;
  Older.Version = 1;
  Older.Services.clear();
  give(update(Older));
  give(RosterUpdate{roster("tags", 1, {})});
  EXPECT_NE(sent(callerAddress(1)), Endpoint());
  EXPECT_EQ(Core.counters()[SteerCounter::StaleSettings], 1U);
  EXPECT_EQ(Core.counters()[SteerCounter::StaleRoster], 1U);
}

TEST_F(BalancerCoreTest, FirstPacketsWaitForTheRoster) {
  InForce.Version = 2;
  InForce.Services = settings(2, {service("tags", {TagsAddress}),
                                  service("late", {serviceAddress(3)})})
                         .Services;
  give(update(InForce));
  give(CallerPacket{callerAddress(1), serviceAddress(3), "early"});
  ASSERT_EQ(Actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<WantRoster>(Actions[0]));
  give(RosterUpdate{roster("late", 1, {agent(1, 30)})});
  const auto &Packet = std::get<SendPacket>(Actions.back());
  EXPECT_EQ(Packet.Payload, "early");
  EXPECT_EQ(Packet.To, agent(1, 30).Data);
}

TEST_F(BalancerCoreTest, AServiceServesInItsOwnZonesOnly) {
  InForce.Version = 2;
  for (ServiceSettings &Each : InForce.Services)
    Each.Zones = {zoneName(2)};
  give(update(InForce));
  for (uint32_t I = 0; I < 50; ++I)
    EXPECT_EQ(sent(callerAddress(I)), TagAgents[2].Data);
}

} // namespace
} // namespace dragonflystall
