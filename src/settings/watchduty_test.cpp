// At least one process always watches, only a few watch when all processes
// receive each other's messages, and others replace failed watchers.
#include "settings/watchduty.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

std::vector<Endpoint> addresses(uint32_t Count) {
  std::vector<Endpoint> Out;
  for (uint32_t I = 1; I <= Count; ++I)
    Out.push_back({0x0a000000 + I, 7001});
  return Out;
}

class Group {
public:
  explicit Group(uint32_t Count) : All(addresses(Count)) {
    for (const Endpoint Self : All)
      Members.emplace_back(WatchRole::Candidate, Self, All);
  }
  /// Delivers a message from each alive process to each alive process.
  void exchangeMessages(const std::vector<bool> &Alive, TimePoint Now) {
    for (size_t I = 0; I < All.size(); ++I)
      for (size_t J = 0; J < All.size() && Alive[I]; ++J)
        if (Alive[J])
          Members[I].recordMessage(All[J], Now);
  }
  std::vector<size_t> watchers(TimePoint Now) const {
    std::vector<size_t> Out;
    for (size_t I = 0; I < Members.size(); ++I)
      if (Members[I].shouldWatch(Now))
        Out.push_back(I);
    return Out;
  }

  std::vector<Endpoint> All;
  std::vector<WatchDuty> Members;
};

TEST(WatchDuty, AllWatchUntilMessagesFromPeersArrive) {
  const Group G(30);
  EXPECT_EQ(G.watchers(TimePoint{}).size(), 30U);
}

TEST(WatchDuty, OnlyAFewWatchAndOthersReplaceFailedOnes) {
  Group G(30);
  std::vector<bool> Alive(30, true);
  TimePoint Now{};
  G.exchangeMessages(Alive, Now);
  const std::vector<size_t> First = G.watchers(Now);
  EXPECT_EQ(First.size(), Watchers);
  for (const size_t I : First)
    Alive[I] = false;
  Now += WatcherTimeout + 1s;
  G.exchangeMessages(Alive, Now);
  size_t Replaced = 0;
  for (const size_t I : G.watchers(Now))
    Replaced += Alive[I] ? 1 : 0;
  EXPECT_EQ(Replaced, Watchers);
}

TEST(WatchDuty, FollowerWatchesOnlyWithoutMessagesFromCandidates) {
  const std::vector<Endpoint> Candidates = addresses(2);
  WatchDuty Agent(WatchRole::Follower, {0x0a000101, 7001}, Candidates);
  TimePoint Now{};
  EXPECT_TRUE(Agent.shouldWatch(Now));
  Agent.recordMessage({0x0a000102, 7001}, Now); // Not a candidate: ignored.
  EXPECT_TRUE(Agent.shouldWatch(Now));
  Agent.recordMessage(Candidates[0], Now);
  EXPECT_FALSE(Agent.shouldWatch(Now));
  EXPECT_TRUE(Agent.shouldWatch(Now + WatcherTimeout + 1s));
}

} // namespace
} // namespace dragonflystall
