// Which peer a process that is behind asks, and when.
#include "opaque/catchup.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

const ConfigVersions Old = {1, {}, 0};
const ConfigVersions New = {2, {}, 0};
constexpr Endpoint Peer = {0x0a010001, 7720};
constexpr Endpoint OtherPeer = {0x0a010002, 7720};

// An answer that brings nothing, of a peer that has restarted or whose manifest
// can't be read here, is not asked for again and again.
TEST(CatchUp, APeerWhoseAnswerIsOfNoUseIsLeftAloneUntilItHasMore) {
  CatchUp Peers;
  TimePoint Now{100s};
  Peers.onReport(Peer, New, Old, Now);
  Now += CatchUp::WatchDelay;
  EXPECT_EQ(Peers.next(Old, Now), Peer);
  Peers.onAnswer(Peer, Old, Now);
  Now += CatchUp::UselessPause - 1ms;
  Peers.onReport(Peer, New, Old, Now);
  EXPECT_EQ(Peers.next(Old, Now), std::nullopt);
  Peers.onReport(Peer, {3, {}, 0}, Old, Now);
  EXPECT_EQ(Peers.next(Old, Now), Peer);
}

// A peer that reported yet another change during a fetch was left alone for
// seconds, as its answer did not have that change.
TEST(CatchUp, AChangeDuringAFetchIsFetchedNext) {
  const ConfigVersions Newest = {3, {}, 0};
  CatchUp Peers;
  TimePoint Now{100s};
  Peers.onReport(Peer, New, Old, Now);
  Now += CatchUp::WatchDelay;
  ASSERT_EQ(Peers.next(Old, Now), Peer);
  Peers.onReport(Peer, Newest, Old, Now);
  Peers.onAnswer(Peer, New, Now);
  EXPECT_EQ(Peers.next(New, Now), Peer);
  Peers.onAnswer(Peer, Newest, Now);
  EXPECT_EQ(Peers.next(Newest, Now), std::nullopt);
}

TEST(CatchUp, AFailureLeadsToTheNextPeerAtOnce) {
  CatchUp Peers;
  TimePoint Now{100s};
  Peers.onReport(OtherPeer, New, Old, Now);
  Peers.onReport(Peer, New, Old, Now + 1ms);
  Now += CatchUp::WatchDelay;
  EXPECT_EQ(Peers.next(Old, Now), Peer);
  EXPECT_EQ(Peers.next(Old, Now), std::nullopt);
  Peers.onFailure(Peer, Now);
  EXPECT_EQ(Peers.next(Old, Now), OtherPeer);
}

TEST(CatchUp, ThePeersAndFetchesAreBounded) {
  CatchUp Peers;
  TimePoint Now{100s};
  size_t Fetches = 0;
  for (int Step = 0; Step < 20; ++Step, Now += CatchUp::HedgeDelay) {
    for (uint32_t I = 0; I < 300; ++I)
      Peers.onReport({0x0a020000 + I, 7720}, New, Old, Now);
    Fetches += Peers.next(Old, Now).has_value();
  }
  EXPECT_EQ(Fetches, CatchUp::MaxFetches);
}

} // namespace
} // namespace dragonflystall::opaque::test
