// What a service's agents do together: joining, placing, handing over and
// giving up flows, each under the faults that it is meant for.
#include "flows/fakecluster_test.h"

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

} // namespace
} // namespace dragonflystall::test
