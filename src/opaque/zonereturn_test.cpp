// A zone that is taken back while an agent starts.
#include "opaque/upstreamfixture_test.h"

namespace dragonflystall::opaque::test {
namespace {

/// An agent that has a manifest and does not know the evacuations yet.
struct ZoneReturns : OneUpstream {
  void SetUp() override {
    Config = Configuration();
    setWarmUp(2s);
    startAgent();
    run(2s); // The cold budget is free.
  }
  void learnEvacuations(std::set<std::string> Zones) {
    Config.evacuations().offer({{1, ++Revision}, std::move(Zones)}, Now);
    Local->onEvacuationsChanged();
  }
  int64_t Revision = 10;
};

// Guards against new flows in an evacuated zone, through an agent that has its
// manifest earlier than the evacuations.
TEST_F(ZoneReturns, AnAgentThatDoesNotKnowTheEvacuationsAdmitsNothing) {
  hear(beat("a", 1000, 17));
  EXPECT_EQ(Local->intake(Now), Intake::Unready);
  EXPECT_FALSE(Local->admits(Now));
  learnEvacuations({"a"});
  EXPECT_EQ(Local->intake(Now), Intake::Evacuated);
  run(Interval);
  hear(beat("a", 1000, 18));
  learnEvacuations({});
  EXPECT_EQ(Local->intake(Now), Intake::Cold);
}

// Guards against more new flows than a cold upstream bears: its zone was taken
// back between the first heartbeat that the agent heard, by which it was warm,
// and the agent's first list of evacuations.
TEST_F(ZoneReturns, AHeartbeatBeforeTheEvacuationsAreKnownIsNoProofOfWarmth) {
  hear(beat("a", 1000, 17));
  run(100ms);
  learnEvacuations({});
  EXPECT_EQ(Local->intake(Now), Intake::Cold);
  run(Interval);
  hear(beat("a", 1000, 18));
  EXPECT_EQ(Local->intake(Now), Intake::Open);
}

TEST_F(ZoneReturns, AHeartbeatAfterTheEvacuationsAreKnownIsBelieved) {
  learnEvacuations({});
  hear(beat("a", 1000, 17));
  EXPECT_EQ(Local->intake(Now), Intake::Open);
}

} // namespace
} // namespace dragonflystall::opaque::test
