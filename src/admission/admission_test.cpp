// The limit follows what the upstream did.
#include "admission.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

struct Driver {
  Admission Limit{4};
  TimePoint Now{1min};
  AgentActions Out;

  void complete(Duration Latency, unsigned Times = 1,
                UpstreamOutcome Outcome = UpstreamOutcome::Answered) {
    for (unsigned I = 0; I < Times; ++I) {
      Admission::Sample Sample;
      Sample.Outcome = Outcome;
      Sample.Started = Now;
      Sample.Concurrency = Limit.limit();
      Now += Latency;
      Limit.onOutcome(Sample, Now, Out);
    }
  }
  void warmUp() { complete(5ms, 100); }
};

TEST(Admission, StartsAtOneAndGrowsToTheSlots) {
  Driver Upstream;
  EXPECT_EQ(Upstream.Limit.limit(), 1U);
  Upstream.complete(5ms, 3);
  EXPECT_EQ(Upstream.Limit.limit(), 1U);
  Upstream.warmUp();
  EXPECT_EQ(Upstream.Limit.limit(), 4U);
}

TEST(Admission, ShedHalvesAndRefusedStartsAnew) {
  Driver Upstream;
  Upstream.warmUp();
  Upstream.complete(1ms, 1, UpstreamOutcome::Shed);
  EXPECT_EQ(Upstream.Limit.limit(), 2U);
  Upstream.complete(1ms, 1, UpstreamOutcome::Refused);
  EXPECT_EQ(Upstream.Limit.limit(), 1U);
}

TEST(Admission, ColdAgainIsSeenWithinThreeRequests) {
  Driver Upstream;
  Upstream.warmUp();
  Upstream.complete(100ms, 2);
  EXPECT_EQ(Upstream.Limit.limit(), 2U);
  Upstream.complete(100ms, 1);
  EXPECT_EQ(Upstream.Limit.limit(), 1U);
}

TEST(Admission, ARunThatHangsIsASignBeforeItEnds) {
  Driver Upstream;
  Upstream.warmUp();
  const TimePoint Started = Upstream.Now;
  Upstream.Limit.onRunning(Started, Started + 150ms, Upstream.Out);
  EXPECT_EQ(Upstream.Limit.limit(), 2U);
}

TEST(Admission, OneSlowRequestIsNotCold) {
  Driver Upstream;
  Upstream.warmUp();
  Upstream.complete(100ms, 1);
  Upstream.complete(5ms, 5);
  EXPECT_EQ(Upstream.Limit.limit(), 4U);
}

TEST(Admission, ScatteredLatenciesAreNotCold) {
  Driver Upstream;
  Random Bits(1);
  std::exponential_distribution<double> Seconds(200);
  Upstream.warmUp();
  uint64_t AtFullLimit = 0;
  for (unsigned I = 0; I < 5000; ++I) {
    Upstream.complete(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds(Bits))));
    AtFullLimit += Upstream.Limit.limit() == 4;
  }
  EXPECT_GT(AtFullLimit, 4500U);
}

TEST(Admission, HintsNeverRaiseTheLimitNorStopItsGrowth) {
  Driver Upstream;
  UpstreamHint Idle;
  Upstream.Limit.onHint(Idle);
  EXPECT_EQ(Upstream.Limit.limit(), 1U);
  UpstreamHint Lying;
  Lying.Healthy = false;
  Lying.Load = 100;
  Upstream.Limit.onHint(Lying);
  Upstream.complete(5ms, 200);
  EXPECT_EQ(Upstream.Limit.limit(), 4U);
}

TEST(Admission, FewerSlotsTakeEffectAtOnce) {
  Driver Upstream;
  Upstream.warmUp();
  Upstream.Limit.setSlots(2);
  EXPECT_EQ(Upstream.Limit.limit(), 2U);
  Upstream.warmUp();
  EXPECT_EQ(Upstream.Limit.limit(), 2U);
}

} // namespace
} // namespace dragonflystall
