// What shows that an upstream has started after its agent, and what does not.
#include "opaque/opaquefixture_test.h"
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

// Guards against an agent that compares the age of an upstream again with each
// manifest: a warm-up that has become shorter makes an old start look young.
TEST_F(StartAges, ALaterManifestDoesNotMakeAStartYounger) {
  run(100ms);
  Heartbeat Beat = cold(2, WarmUpLength - 1s);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenRunning);
  setWarmUp(WarmUpLength - 950ms);
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
  EXPECT_FALSE(Local->awaitsProof());
  EXPECT_EQ(admitted(), 0u) << "the former run may have admitted as many";
}

// Guards against an age that grows while the agent waits for its manifest,
// since packets of open flows are answered meanwhile.
TEST_F(StartAges, AnAnswerBeforeTheManifestDoesNotMakeAStartYounger) {
  Config = Configuration();
  startAgent();
  run(100ms);
  Heartbeat Beat = cold(2, WarmUpLength - 600ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenRunning);
  run(600ms);
  Local->onAnswer(Now);
  setWarmUp(WarmUpLength);
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
  EXPECT_FALSE(Local->awaitsProof());
}

// Guards against a late first call that is not recognized, since the warm-up
// became shorter before the second one.
TEST_F(StartAges, ALateCallIsRecognizedThoughTheWarmUpGetsShorter) {
  constexpr Duration Late = 1400ms;
  setWarmUp(3s);
  run(300ms);
  Heartbeat Beat = cold(1, 3s - 50ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenNewStart);
  setWarmUp(3s - Late);
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
  Beat.ColdFor -= Late;
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::TakenRunning);
  EXPECT_FALSE(Local->awaitsProof());
}

// Guards against dead flows that get no reset, since an upstream that was
// silent for a while is compared again when it is warm.
TEST_F(StartAges, ASilenceDoesNotMakeAStartOlder) {
  run(100ms);
  Heartbeat Beat = cold(1, WarmUpLength - 50ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenNewStart);
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
  EXPECT_EQ(hearNext(Beat, 3s), HeartbeatVerdict::Taken);
  EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
  EXPECT_TRUE(Local->hasSeenStart());
  EXPECT_EQ(hearNext(Beat, 3s), HeartbeatVerdict::Taken);
  EXPECT_FALSE(Local->onAnswerOnOlderFlow()) << "it may have been forgotten";
}

// Guards against dead flows that get no reset, since the length of the warm-up
// was changed between the first two calls of a start.
TEST_F(StartAges, AStartIsSeenThoughTheWarmUpChanges) {
  for (const Duration Length : {5 * WarmUpLength, WarmUpLength / 2}) {
    setWarmUp(WarmUpLength);
    startAgent();
    run(300ms);
    Heartbeat Beat = cold(1, WarmUpLength - 50ms);
    EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenNewStart);
    setWarmUp(Length);
    EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
    EXPECT_EQ(hearNext(Beat), HeartbeatVerdict::Taken);
    EXPECT_TRUE(Local->hasSeenStart());
  }
}

// An upstream became cold under a warm-up that was longer or shorter than the
// one that its restarted agent knows. Its former run may have admitted as many
// new flows as the upstream bears.
TEST_F(StartAges, ABudgetIsBlockedWhateverTheLengthOfTheWarmUpWas) {
  for (const Duration Length : {WarmUpLength - 1s, WarmUpLength + 1s}) {
    setWarmUp(Length);
    startAgent();
    run(300ms);
    EXPECT_EQ(hear(cold(ManyCalls, WarmUpLength - 1s)),
              HeartbeatVerdict::TakenRunning);
    EXPECT_EQ(admitted(), 0u);
    run(SlidingBudget::Window - 300ms);
    EXPECT_EQ(admitted(), Local->coldLimit());
  }
}

// An agent is killed in the second in which its zone is taken back.
TEST_F(StartAges, TwoRunsOfAnAgentShareTheBudgetOfAZoneThatReturns) {
  Heartbeat Beat = cold(ManyCalls, WarmUpLength);
  hear(Beat);
  run(SlidingBudget::Window);
  EXPECT_EQ(admitted(), Local->coldLimit());
  run(100ms);
  startAgent();
  Beat.ColdFor -= SlidingBudget::Window + 100ms;
  EXPECT_EQ(hearNext(Beat, 100ms), HeartbeatVerdict::TakenRunning);
  EXPECT_EQ(admitted(), 0u);
}

// Guards against a restarted agent that takes an upstream for younger although
// it answers on flows of before: few calls and a warm-up that has just begun
// don't exclude that its zone was out for a moment.
TEST_F(Opaque, AnAnswerOnAFlowOfBeforeShowsAnOlderStart) {
  Sim.SharedManifest.Services["desk"] = {0, WarmUpLength};
  Sim.publish();
  const FlowId Used = Sim.open(*First, DeskRoute);
  FakeHost &Host = holderOf(Used);
  FlowId Idle = Used;
  while (Idle == Used || &holderOf(Idle) != &Host)
    Idle = Sim.open(*First, DeskRoute);
  Host.LocalUpstream.Beats = 0;
  Host.LocalUpstream.ColdUntil = Sim.Now + WarmUpLength;
  Sim.startAgent(Host);
  ASSERT_TRUE(Host.UpstreamState->awaitsProof());
  Sim.sendData(*First, Used, 100);
  Sim.run(WarmUpLength);
  EXPECT_TRUE(Sim.Callers[Used].Answered);
  EXPECT_NE(Host.PacketGate->holding(Idle, Sim.Now), Holding::Denies);
}

// The same where the answer comes before the first call.
TEST_F(StartAges, AnAnswerOnAnOlderFlowCountsBeforeTheFirstCall) {
  EXPECT_FALSE(Local->onAnswerOnOlderFlow());
  run(300ms);
  EXPECT_EQ(hear(cold(1, WarmUpLength - 50ms)), HeartbeatVerdict::TakenRunning);
  EXPECT_EQ(admitted(), 0u);
}

// A packet of a former start may have waited in the agent's socket.
TEST_F(StartAges, WhatStartedAfterTheProbeStaysYounger) {
  Local->onPortClosed();
  run(300ms);
  EXPECT_EQ(hear(cold(1, WarmUpLength - 50ms)),
            HeartbeatVerdict::TakenNewStart);
  EXPECT_FALSE(Local->onAnswerOnOlderFlow());
  EXPECT_EQ(admitted(), Local->coldLimit());
}

// Guards against a cold budget that stays free though the first call turned out
// to be a late one.
TEST_F(StartAges, TheBudgetIsBlockedAgainAfterALateCall) {
  constexpr Duration Late = 300ms;
  run(200ms);
  Heartbeat Beat = cold(1, WarmUpLength - 50ms);
  EXPECT_EQ(hear(Beat), HeartbeatVerdict::TakenNewStart);
  Beat.ColdFor -= Late;
  EXPECT_EQ(hearNext(Beat, Interval / 2), HeartbeatVerdict::TakenRunning);
  EXPECT_EQ(admitted(), 0u);
}

} // namespace
} // namespace dragonflystall::opaque::test
