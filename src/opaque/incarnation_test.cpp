// Calls of an upstream that arrive late, after it has started again or its
// address has gone to another one.
#include "opaque/upstreamfixture_test.h"

namespace dragonflystall::opaque::test {
namespace {

struct Incarnations : OneUpstream {};

// Guards against review/4: the first heartbeat that a restarted agent received
// was a late one of the service that had the address before, and the agent
// admitted flows of that service to the present upstream.
TEST_F(Incarnations, AHeartbeatOfAnotherServiceSaysNothing) {
  Heartbeat Other = beat("former", 5000, 9);
  Other.Service = "print";
  EXPECT_EQ(hear(Other), HeartbeatVerdict::OtherService);
  EXPECT_FALSE(Local->isKnown());
  EXPECT_EQ(Local->intake(Now), Intake::Silent);
  EXPECT_EQ(hear(beat("present", 4000, 3)), HeartbeatVerdict::TakenRunning);
  run(500ms);
  EXPECT_EQ(hear(Other), HeartbeatVerdict::OtherService);
  EXPECT_EQ(Local->id(), "present");
  EXPECT_EQ(Local->service(), "desk");
}

TEST_F(Incarnations, WithoutAServiceInTheSettingsAnyServiceIsHeard) {
  Service.clear();
  startAgent();
  Heartbeat Other = beat("present", 5000, 9);
  Other.Service = "print";
  EXPECT_EQ(hear(Other), HeartbeatVerdict::TakenRunning);
  EXPECT_EQ(Local->service(), "print");
}

// Guards against review/3: a leave that was held up arrived after the next
// start under the same id, whose flows were all reset.
TEST_F(Incarnations, ALateLeaveOfAnEarlierStartChangesNothing) {
  settle(beat("a", 1000, 1));
  EXPECT_EQ(Local->onLeave({"a", 1000}), LeaveVerdict::Left);
  EXPECT_EQ(Local->intake(Now), Intake::Ended);
  run(500ms);
  EXPECT_EQ(hear(beat("a", 4500, 1)), HeartbeatVerdict::TakenNewStart);
  EXPECT_EQ(Local->onLeave({"a", 1000}), LeaveVerdict::OtherStart);
  EXPECT_EQ(Local->onLeave({"b", 4500}), LeaveVerdict::OtherStart);
  EXPECT_FALSE(Local->isGone());
  run(Interval);
  EXPECT_EQ(hear(beat("a", 4500, 2)), HeartbeatVerdict::Taken);
}

// A leave without a body may be a late one, too: the start that has its id is
// taken for ended only if it says nothing more.
TEST_F(Incarnations, ALeaveThatNamesNoStartWaitsForSilence) {
  hear(beat("a", 1000, 1));
  EXPECT_EQ(Local->onLeave({"a"}), LeaveVerdict::IfSilent);
  run(Interval);
  EXPECT_FALSE(Local->isGone());
  EXPECT_EQ(hear(beat("a", 1000, 2)), HeartbeatVerdict::Taken);
  run(2 * Interval);
  EXPECT_FALSE(Local->isGone());
  Local->onLeave({"a"});
  EXPECT_FALSE(Local->isGone()) << "silence before the call does not count";
  run(Upstream::LeavingHeartbeats * Interval);
  EXPECT_TRUE(Local->isGone());
}

// Guards against entries that stay in the store after a planned shutdown: a
// packet that the upstream sent just before its leave cancelled the leave, so
// that the agent was stopped before it counted the upstream as gone.
TEST_F(Incarnations, APacketAfterALeaveOnlyDelaysTheEnd) {
  hear(beat("a", 1000, 1));
  EXPECT_EQ(Local->onLeave({"a"}), LeaveVerdict::IfSilent);
  run(Interval);
  Local->onAnswer(Now);
  EXPECT_TRUE(Local->mayHaveLeft());
  run(Interval);
  EXPECT_FALSE(Local->isGone());
  run(Interval / 2);
  EXPECT_TRUE(Local->isGone());
  EXPECT_FALSE(Local->mayHaveLeft());
}

// Guards against an upstream that was not heard for as long as its clock was
// behind the time of its former start.
TEST_F(Incarnations, AStartWhoseClockSteppedBackIsHeard) {
  settle(beat("a", 9000, 1));
  run(300ms);
  EXPECT_EQ(hear(beat("a", 5000, 0)), HeartbeatVerdict::OldStart);
  run(Interval);
  EXPECT_EQ(hear(beat("a", 5000, 1)), HeartbeatVerdict::OldStart);
  run(Interval);
  EXPECT_EQ(hear(beat("a", 5000, 2)), HeartbeatVerdict::TakenNewStart);
  EXPECT_EQ(Local->start(), (Incarnation{"a", 5000}));
  EXPECT_EQ(Local->intake(Now), Intake::Cold);
  run(Interval);
  hear(beat("a", 5000, 3));
  run(Interval);
  hear(beat("a", 5000, 4));
  EXPECT_EQ(Local->intake(Now), Intake::Open);
  EXPECT_EQ(hear(beat("a", 9000, 99)), HeartbeatVerdict::OldStart);
}

TEST_F(Incarnations, AfterALeaveAnEarlierClockIsHeardAtOnce) {
  settle(beat("a", 9000, 1));
  Local->onLeave({"a", 9000});
  EXPECT_EQ(hear(beat("b", 5000, 1)), HeartbeatVerdict::TakenNewStart);
}

// Guards against late calls of an ended start, in a burst and beside those of
// the present one, that are taken for a start whose clock stepped back.
TEST_F(Incarnations, LateCallsDoNotReplaceAStartThatIsHeard) {
  int64_t Sequence = settle(beat("b", 9000, 1));
  for (int64_t Late = 1; Late < 9; ++Late)
    EXPECT_EQ(hear(beat("a", 5000, Late)), HeartbeatVerdict::OldStart);
  for (int64_t Late = 9; Late < 20; ++Late) {
    run(Interval);
    EXPECT_EQ(hear(beat("b", 9000, ++Sequence)), HeartbeatVerdict::Taken);
    EXPECT_EQ(hear(beat("a", 5000, Late)), HeartbeatVerdict::OldStart);
  }
}

// Guards against a running start that is never heard again, because a late call
// with a later time of a start before it was believed for good.
TEST_F(Incarnations, ALateCallWithALaterClockIsNotBelievedForGood) {
  int64_t Sequence = settle(beat("b", 5000, 1));
  EXPECT_EQ(hear(beat("a", 9000, 7)), HeartbeatVerdict::TakenNewStart);
  EXPECT_EQ(Local->intake(Now), Intake::Cold);
  EXPECT_FALSE(Local->hasSeenStart()) << "flows of the other may be there";
  for (int I = 0; I < 3; ++I) {
    run(Interval);
    hear(beat("b", 5000, ++Sequence));
  }
  EXPECT_EQ(Local->id(), "b");
}

// Guards against more new flows than a cold upstream bears, after a late call
// of a warm start before it.
TEST_F(Incarnations, OneHeartbeatAfterAStartOfTheAgentDoesNotProveWarmth) {
  EXPECT_EQ(hear(beat("a", 1000, 7)), HeartbeatVerdict::TakenRunning);
  EXPECT_EQ(Local->intake(Now), Intake::Cold);
  EXPECT_EQ(hear(beat("a", 1000, 8)), HeartbeatVerdict::Taken);
  EXPECT_EQ(Local->intake(Now), Intake::Cold) << "they came together";
  run(Interval);
  hear(beat("a", 1000, 9));
  EXPECT_EQ(Local->intake(Now), Intake::Open);
}

TEST_F(Incarnations, WithoutAServiceInTheSettingsOneHeartbeatAdmitsNothing) {
  Service.clear();
  startAgent();
  run(2s); // The cold budget is free.
  hear(beat("a", 1000, 7));
  EXPECT_FALSE(Local->admits(Now));
  run(Interval);
  hear(beat("a", 1000, 8));
  EXPECT_TRUE(Local->admits(Now));
  // Silent for longer than the reuse time, so that the call may be late and the
  // address may belong to another service.
  run(2s);
  hear(beat("a", 1000, 9));
  EXPECT_FALSE(Local->admits(Now));
}

// Guards against an agent that starts anew beside a cold upstream, takes the
// upstream's second call for its first one, and admits as many new flows again
// as its former run has admitted.
TEST_F(Incarnations, ALowSequenceNumberDoesNotShowThatTheStartWasSeen) {
  for (const int64_t Sequence : {0, 1}) {
    startAgent();
    Heartbeat Cold = beat("a", 1000, Sequence);
    Cold.ColdFor = 1800ms;
    EXPECT_EQ(hear(Cold), HeartbeatVerdict::TakenRunning);
    EXPECT_FALSE(Local->hasSeenStart());
    run(SlidingBudget::Window - Upstream::TickInterval);
    EXPECT_FALSE(Local->admits(Now));
    run(Upstream::TickInterval);
    EXPECT_TRUE(Local->admits(Now));
  }
}

// After a loss of all power, agents and upstreams start at about the same time:
// the flows that a cold upstream bears must not be lost to caution.
TEST_F(Incarnations, AStartAfterThePortWasClosedIsSeen) {
  Local->onPortClosed();
  Heartbeat Cold = beat("a", 1000, 7);
  Cold.ColdFor = 2s;
  EXPECT_EQ(hear(Cold), HeartbeatVerdict::TakenNewStart);
  EXPECT_TRUE(Local->hasSeenStart());
  for (uint32_t I = 0; I < Local->coldLimit(); ++I) {
    EXPECT_TRUE(Local->admits(Now));
    Local->onSynPassed(Now);
  }
  EXPECT_FALSE(Local->admits(Now));
}

// The same for an upstream that listens before its agent asks for it: its
// warm-up shows that it is younger than the agent, once the call is known not
// to be a late one.
TEST_F(Incarnations, AStartThatIsYoungerThanTheAgentIsSeen) {
  setWarmUp(2s);
  run(300ms);
  Heartbeat Cold = beat("a", 1000, 1);
  Cold.ColdFor = 1950ms;
  EXPECT_EQ(hear(Cold), HeartbeatVerdict::TakenNewStart);
  EXPECT_TRUE(Local->admits(Now));
  EXPECT_TRUE(Local->awaitsProof());
  EXPECT_FALSE(Local->hasSeenStart());
  run(Interval);
  Cold.Sequence = 2;
  Cold.ColdFor -= Interval;
  EXPECT_EQ(hear(Cold), HeartbeatVerdict::Taken);
  EXPECT_TRUE(Local->hasSeenStart());
  EXPECT_FALSE(Local->awaitsProof());
}

// Guards against a cold budget that stays blocked because the first heartbeat
// came before the manifest, which says how long the warm-up lasts.
TEST_F(Incarnations, AYoungStartIsSeenWhenTheManifestComes) {
  Heartbeat Cold = beat("a", 1000, 1);
  Cold.ColdFor = 1980ms;
  EXPECT_EQ(hear(Cold), HeartbeatVerdict::TakenRunning);
  EXPECT_FALSE(Local->admits(Now));
  setWarmUp(2s);
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::TakenNewStart);
  EXPECT_TRUE(Local->admits(Now));
  EXPECT_EQ(Local->onManifest(), HeartbeatVerdict::Taken);
}

// Guards against an agent that denies the flows of an upstream that is older
// than itself, since the upstream's first call came late.
TEST_F(Incarnations, ALateCallDoesNotShowThatTheStartIsYounger) {
  setWarmUp(3s);
  run(300ms);
  Heartbeat Late = beat("a", 1000, 1);
  Late.ColdFor = 2950ms; // Sent 1.4 s ago.
  EXPECT_EQ(hear(Late), HeartbeatVerdict::TakenNewStart);
  EXPECT_TRUE(Local->awaitsProof());
  run(Interval);
  Heartbeat Next = beat("a", 1000, 3);
  Next.ColdFor = 2950ms - 1400ms - Interval;
  EXPECT_EQ(hear(Next), HeartbeatVerdict::TakenRunning);
  EXPECT_FALSE(Local->awaitsProof());
}

// Guards against new flows beyond the limit of a cold upstream that has started
// again while its agent was suspended: the SYNs in the agent's socket, and late
// heartbeats of the former start, are read before the new one's heartbeat.
TEST_F(Incarnations, AfterASuspensionTheUpstreamCountsAsCold) {
  int64_t Sequence = settle(beat("a", 1000, 1));
  ASSERT_EQ(Local->intake(Now), Intake::Open);
  Now += 1500ms;
  uint32_t Admitted = 0;
  const auto Offer = [&](int Syns) {
    for (; Syns > 0; --Syns)
      if (Local->admits(Now)) {
        Local->onSynPassed(Now);
        ++Admitted;
      }
  };
  Offer(20);
  hear(beat("a", 1000, ++Sequence)); // It waited in the socket.
  Offer(20);
  Local->tick(Now);
  Offer(20);
  run(Upstream::TickInterval);
  hear(beat("a", 1000, ++Sequence)); // It may still have waited.
  Offer(20);
  EXPECT_EQ(Admitted, Local->coldLimit());
  run(Interval);
  Local->onAnswer(Now);
  hear(beat("a", 1000, ++Sequence));
  EXPECT_EQ(Local->intake(Now), Intake::Open);
}

TEST_F(Incarnations, FewEndedStartsAreRemembered) {
  IncarnationTracker Starts(Interval);
  for (int64_t Born = 1; Born < 100'000; ++Born)
    Starts.onLeave({"a", Born});
  const auto Hear = [&](int64_t Born) {
    return Starts.onHeartbeat({"a", Born}, 1, /*PresentIsGone=*/true, Now);
  };
  EXPECT_EQ(Hear(99'999), IncarnationTracker::Finding::Ended);
  EXPECT_EQ(Hear(1), IncarnationTracker::Finding::Running);
}

} // namespace
} // namespace dragonflystall::opaque::test
