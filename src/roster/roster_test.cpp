// Updates keep the roster's invariant, and a joining agent moves no homes
// between the other agents.
#include "dragonflystall/roster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall {
namespace {

Roster makeRoster(unsigned Count) {
  Roster Result;
  for (unsigned I = 0; I < Count; ++I) {
    RosterEntry Entry;
    Entry.Name = "agent-" + std::to_string(I);
    Entry.Agent = {agentId(Entry.Name), Incarnation{I + 1}};
    upsert(Result, Entry);
  }
  return Result;
}

bool anyAgent(const RosterEntry &) { return true; }

RC_GTEST_PROP(Roster, JoinMovesHomesOnlyToTheNewAgent, (uint32_t Ip)) {
  const Roster Before = makeRoster(9);
  const Roster After = makeRoster(10);
  const FlowKey Flow{ServiceId{7}, {Ip, 5000}};
  const AgentId OldHome = homeOf(Before, Flow, anyAgent)->Agent.Id;
  const AgentId NewHome = homeOf(After, Flow, anyAgent)->Agent.Id;
  RC_ASSERT(NewHome == OldHome || NewHome == agentId("agent-9"));
}

TEST(Roster, RemovalRequiresTheSameIncarnation) {
  Roster ServiceRoster = makeRoster(3);
  const AgentRef Current = ServiceRoster.Agents[1].Agent;
  AgentRef Earlier = Current;
  Earlier.Start = Incarnation{99};
  EXPECT_FALSE(removeAgent(ServiceRoster, Earlier));
  EXPECT_NE(ServiceRoster.find(Current.Id), nullptr);
  EXPECT_TRUE(removeAgent(ServiceRoster, Current));
  EXPECT_EQ(ServiceRoster.find(Current.Id), nullptr);
}

} // namespace
} // namespace dragonflystall
