// The roster's invariant, and that homes move only as far as they must.
#include "dragonflystall/roster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall {
namespace {

Roster rosterOf(unsigned Count) {
  Roster R;
  for (unsigned I = 0; I < Count; ++I) {
    RosterEntry Entry;
    Entry.Name = "agent-" + std::to_string(I);
    Entry.Agent = {agentId(Entry.Name), Incarnation{I + 1}};
    upsert(R, Entry);
  }
  return R;
}

bool anyAgent(const RosterEntry &) { return true; }

RC_GTEST_PROP(Roster, JoinMovesHomesOnlyToTheNewAgent, (uint32_t Ip)) {
  const Roster Before = rosterOf(9);
  const Roster After = rosterOf(10);
  const FlowKey Flow{ServiceId{7}, {Ip, 5000}};
  const AgentId Old = homeOf(Before, Flow, anyAgent)->Agent.Id;
  const AgentId New = homeOf(After, Flow, anyAgent)->Agent.Id;
  RC_ASSERT(New == Old || New == agentId("agent-9"));
}

TEST(Roster, RemovalNamesTheIncarnation) {
  Roster R = rosterOf(3);
  const AgentRef Current = R.Agents[1].Agent;
  AgentRef Earlier = Current;
  Earlier.Start = Incarnation{99};
  EXPECT_FALSE(removeAgent(R, Earlier));
  EXPECT_NE(R.find(Current.Id), nullptr);
  EXPECT_TRUE(removeAgent(R, Current));
  EXPECT_EQ(R.find(Current.Id), nullptr);
}

} // namespace
} // namespace dragonflystall
