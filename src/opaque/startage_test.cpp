// What shows that an upstream has started after its agent, and what does not.
#include "opaque/upstreamfixture_test.h"

namespace dragonflystall::opaque::test {
namespace {

constexpr Duration WarmUpLength = 2s;
/// Calls that an upstream makes in a quarter of a minute.
constexpr int64_t ManyCalls = 17;

/// One agent that has just started.
struct StartAges : OneUpstream {
  void SetUp() override {
    OneUpstream::SetUp();
    setWarmUp(WarmUpLength);
  }
  Heartbeat cold(int64_t Sequence, Duration ColdFor) const {
    Heartbeat Beat = beat("a", 1000, Sequence);
    Beat.ColdFor = ColdFor;
    return Beat;
  }
  /// The upstream's next call, Later.
  HeartbeatVerdict hearNext(Heartbeat &Beat, Duration Later = Interval) {
    run(Later);
    ++Beat.Sequence;
    Beat.ColdFor = std::max(Duration::zero(), Beat.ColdFor - Later);
    return hear(Beat);
  }
  /// How many of many SYNs that arrive at once are admitted.
  uint32_t admitted() {
    uint32_t Count = 0;
    for (int I = 0; I < 50; ++I)
      if (Local->admits(Now)) {
        Local->onSynPassed(Now);
        ++Count;
      }
    return Count;
  }
};

// Guards against review/7: an upstream became cold at the end of its zone's
// evacuation, just after its agent had started; the agent took the warm-up for
// a start and denied the flows that the upstream held.
TEST_F(StartAges, AnUpstreamThatBecomesColdLaterHasNotStarted) {
  run(500ms);
  Heartbeat Beat = cold(ManyCalls, WarmUpLength - 300ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenRunning);
  EXPECT_FALSE(Local->awaitsProof());
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
}

// The same where the manifest comes after the first call.
TEST_F(StartAges, AnUpstreamThatIsColdWhenTheManifestComesHasNotStarted) {
  Config = Configuration();
  startAgent();
  run(500ms);
  Heartbeat Beat = cold(ManyCalls, WarmUpLength - 300ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenRunning);
  setWarmUp(WarmUpLength);
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
}

// The first call of a start is refused if its agent does not listen yet, and
// the second one is heard.
TEST_F(StartAges, AStartWhoseFirstCallWasRefusedIsSeen) {
  run(100ms);
  Heartbeat Beat = cold(2, WarmUpLength - 50ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenNewStart);
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
  EXPECT_TRUE(Local->hasSeenStart());
}

} // namespace
} // namespace dragonflystall::opaque::test
