// Liveness and choice of agents at one balancer.
#include "opaque/directory.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

TEST(Directory, AnUnlistedAgentThatStopsAnsweringIsRemoved) {
  Directory Agents("zone-0", 1);
  const AgentEntry Entry = {"a", "desk", "zone-0", {1, 1}, {1, 2}};
  TimePoint Now{100s};
  Agents.list(Entry, {1, 7}, Now);
  Pong Report;
  Report.Name = "a";
  Report.Service = "desk";
  Agents.onPong(Report, Now);
  Agents.unlist("a");
  Agents.expire(Now + 1s);
  EXPECT_NE(Agents.find("a"), nullptr);
  Agents.expire(Now + 3s);
  EXPECT_EQ(Agents.find("a"), nullptr);
}

TEST(Directory, APongOfAnotherServiceAtAReusedAddressIsNoSignOfLife) {
  Directory Agents("zone-0", 1);
  Agents.list({"a", "desk", "zone-0", {1, 1}, {1, 2}}, {1, 7}, TimePoint{100s});
  Pong Report;
  Report.Name = "a";
  Report.Service = "print";
  Agents.onPong(Report, TimePoint{101s});
  EXPECT_FALSE(Agents.find("a")->hasAnswered());
}

TEST(Directory, ABalancerThatIsCutOffRemovesNoAgents) {
  Directory Agents("zone-0", 1);
  TimePoint Now{100s};
  for (const char *Name : {"a", "b", "c"})
    Agents.list({Name, "desk", "zone-0", {1, 1}, {1, 2}}, {1, 7}, Now);
  for (const auto &[Name, A] : Agents.agents())
    Agents.onPingSent(*A, Now);
  EXPECT_TRUE(Agents.removable(Now + 30s).empty());
  Pong Report;
  Report.Service = "desk";
  for (const char *Name : {"a", "b"}) {
    Report.Name = Name;
    Agents.onPong(Report, Now + 30s);
  }
  ASSERT_EQ(Agents.removable(Now + 30s).size(), 1U);
  EXPECT_EQ(Agents.removable(Now + 30s)[0]->Entry.Name, "c");
}

TEST(Directory, AnAgentThatRefusedIsNotChosenUntilItReportsAgain) {
  Directory Agents("zone-0", 1);
  const TimePoint Now{100s};
  Pong Report;
  Report.Service = "desk";
  Report.State = Intake::Open;
  Report.Slots = 4;
  for (const char *Name : {"idle", "busy"}) {
    Report.Name = Name;
    Report.Busy = Report.Name == "idle" ? 0 : 4;
    const uint32_t Ip = Report.Name == "idle" ? 1 : 2;
    Agents.list({Name, "desk", "zone-0", {Ip, 1}, {Ip, 2}}, {1, 7}, Now);
    Agents.onPong(Report, Now);
  }
  EXPECT_EQ(Agents.choose("desk", 0, Now)->Entry.Name, "idle");
  Agents.onRefusal("desk", {1, 1}, Now);
  EXPECT_EQ(Agents.choose("desk", 0, Now)->Entry.Name, "busy");
  Report.Name = "idle";
  Report.Busy = 0;
  Agents.onPong(Report, Now + 500ms);
  EXPECT_EQ(Agents.choose("desk", 0, Now + 500ms)->Entry.Name, "idle");
}

TEST(Directory, AColdAgentThatRefusesIsPausedLongerWhileOthersAreOpen) {
  const TimePoint Now{100s};
  for (const bool OtherOpen : {false, true}) {
    Directory Agents("zone-0", 1);
    Pong Report;
    Report.Service = "desk";
    Report.Name = "cold";
    Report.State = Intake::Cold;
    Agents.list({"cold", "desk", "zone-0", {1, 1}, {1, 2}}, {1, 7}, Now);
    Agents.onPong(Report, Now);
    Report.Name = "other";
    Report.State = OtherOpen ? Intake::Open : Intake::Cold;
    Agents.list({"other", "desk", "zone-0", {2, 1}, {2, 2}}, {1, 7}, Now);
    Agents.onPong(Report, Now);
    Agents.onRefusal("desk", {1, 1}, Now);
    const uint32_t Other = Directory::triedBit(*Agents.find("other"));
    EXPECT_EQ(Agents.choose("desk", Other, Now + 40ms), nullptr);
    EXPECT_EQ(Agents.choose("desk", Other, Now + 100ms) != nullptr, !OtherOpen);
    EXPECT_NE(Agents.choose("desk", Other, Now + 250ms), nullptr);
  }
}

} // namespace
} // namespace dragonflystall::opaque::test
