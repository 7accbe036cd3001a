// The admission limit follows the outcomes and latencies of requests.
#include "admission.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

struct AdmissionDriver {
  Admission Controller{4};
  TimePoint Now{1min};
  AgentActions Out;

  void complete(Duration Latency, unsigned Times = 1,
                UpstreamOutcome Outcome = UpstreamOutcome::Answered) {
    for (unsigned I = 0; I < Times; ++I) {
      Admission::Sample Sample;
      Sample.Outcome = Outcome;
      Sample.Started = Now;
      Sample.Concurrency = Controller.limit();
      Now += Latency;
      Controller.onOutcome(Sample, Now, Out);
    }
  }
  void warmUp() { complete(5ms, 100); }
};

TEST(Admission, StartsAtOneAndGrowsToTheSlots) {
  AdmissionDriver Upstream;
  EXPECT_EQ(Upstream.Controller.limit(), 1U);
  Upstream.complete(5ms, 3);
  EXPECT_EQ(Upstream.Controller.limit(), 1U);
  Upstream.warmUp();
  EXPECT_EQ(Upstream.Controller.limit(), 4U);
}

TEST(Admission, ShedHalvesTheLimitAndRefusedResetsIt) {
  AdmissionDriver Upstream;
  Upstream.warmUp();
  Upstream.complete(1ms, 1, UpstreamOutcome::Shed);
  EXPECT_EQ(Upstream.Controller.limit(), 2U);
  Upstream.complete(1ms, 1, UpstreamOutcome::Refused);
  EXPECT_EQ(Upstream.Controller.limit(), 1U);
}

TEST(Admission, AColdUpstreamIsDetectedWithinThreeRequests) {
  AdmissionDriver Upstream;
  Upstream.warmUp();
  Upstream.complete(100ms, 2);
  EXPECT_EQ(Upstream.Controller.limit(), 2U);
  Upstream.complete(100ms, 1);
  EXPECT_EQ(Upstream.Controller.limit(), 1U);
}

TEST(Admission, AHangingRequestReducesTheLimitBeforeItEnds) {
  AdmissionDriver Upstream;
  Upstream.warmUp();
  const TimePoint Started = Upstream.Now;
  Upstream.Controller.onRunning(Started, Started + 150ms, Upstream.Out);
  EXPECT_EQ(Upstream.Controller.limit(), 2U);
}

TEST(Admission, OneSlowRequestDoesNotReduceTheLimit) {
  AdmissionDriver Upstream;
  Upstream.warmUp();
  Upstream.complete(100ms, 1);
  Upstream.complete(5ms, 5);
  EXPECT_EQ(Upstream.Controller.limit(), 4U);
}

TEST(Admission, ScatteredLatenciesRarelyReduceTheLimit) {
  AdmissionDriver Upstream;
  Random Engine(1);
  std::exponential_distribution<double> Seconds(200);
  Upstream.warmUp();
  uint64_t AtFullLimit = 0;
  for (unsigned I = 0; I < 5000; ++I) {
    Upstream.complete(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds(Engine))));
    AtFullLimit += Upstream.Controller.limit() == 4;
  }
  EXPECT_GT(AtFullLimit, 4500U);
}

TEST(Admission, HintsNeitherRaiseTheLimitNorStopItsGrowth) {
  AdmissionDriver Upstream;
  UpstreamHint GoodHint;
  Upstream.Controller.onHint(GoodHint);
  EXPECT_EQ(Upstream.Controller.limit(), 1U);
  UpstreamHint BadHint;
  BadHint.Healthy = false;
  BadHint.Load = 100;
  Upstream.Controller.onHint(BadHint);
  Upstream.complete(5ms, 200);
  EXPECT_EQ(Upstream.Controller.limit(), 4U);
}

TEST(Admission, FewerSlotsTakeEffectImmediately) {
  AdmissionDriver Upstream;
  Upstream.warmUp();
  Upstream.Controller.setSlots(2);
  EXPECT_EQ(Upstream.Controller.limit(), 2U);
  Upstream.warmUp();
  EXPECT_EQ(Upstream.Controller.limit(), 2U);
}

} // namespace
} // namespace dragonflystall
