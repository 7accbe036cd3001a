// Some process always watches, few do when all know each other, and others
// take over from the dead.
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
  /// All that live hear each other.
  void hear(const std::vector<bool> &Lives, TimePoint Now) {
    for (size_t I = 0; I < All.size(); ++I)
      for (size_t J = 0; J < All.size() && Lives[I]; ++J)
        if (Lives[J])
          Members[I].heard(All[J], Now);
  }
  std::vector<size_t> onDuty(TimePoint Now) const {
    std::vector<size_t> Out;
    for (size_t I = 0; I < Members.size(); ++I)
      if (Members[I].onDuty(Now))
        Out.push_back(I);
    return Out;
  }

  std::vector<Endpoint> All;
  std::vector<WatchDuty> Members;
};

TEST(WatchDuty, EveryoneWatchesUntilPeersAreHeard) {
  const Group G(30);
  EXPECT_EQ(G.onDuty(TimePoint{}).size(), 30U);
}

TEST(WatchDuty, AFewOfManyWatchAndOthersTakeOverFromTheDead) {
  Group G(30);
  std::vector<bool> Lives(30, true);
  TimePoint Now{};
  G.hear(Lives, Now);
  const std::vector<size_t> First = G.onDuty(Now);
  EXPECT_EQ(First.size(), Watchers);
  for (const size_t I : First)
    Lives[I] = false;
  Now += WatcherTimeout + 1s;
  G.hear(Lives, Now);
  size_t Replaced = 0;
  for (const size_t I : G.onDuty(Now))
    Replaced += Lives[I] ? 1 : 0;
  EXPECT_EQ(Replaced, Watchers);
}

TEST(WatchDuty, AFollowerWatchesOnlyWhileItHearsNoCandidate) {
  const std::vector<Endpoint> Candidates = addresses(2);
  WatchDuty Agent(WatchRole::Follower, {0x0a000101, 7001}, Candidates);
  TimePoint Now{};
  EXPECT_TRUE(Agent.onDuty(Now));
  Agent.heard({0x0a000102, 7001}, Now); // Another agent proves nothing.
  EXPECT_TRUE(Agent.onDuty(Now));
  Agent.heard(Candidates[0], Now);
  EXPECT_FALSE(Agent.onDuty(Now));
  EXPECT_TRUE(Agent.onDuty(Now + WatcherTimeout + 1s));
}

} // namespace
} // namespace dragonflystall
