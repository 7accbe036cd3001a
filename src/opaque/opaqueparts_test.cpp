// Unit tests of the classes for opaque flows.
#include "opaque/control.h"
#include "opaque/directory.h"
#include "opaque/newflowqueue.h"
#include "opaque/outcomes.h"
#include "opaque/registration.h"
#include "opaque/storewatch.h"
#include "opaque/trail.h"
#include "opaque/upstream.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

const Endpoint DeskRoute = {0x0a000001, 443};

TEST(NewFlowQueue, UrgentFlowsGoFirstAndEndedAttemptsAreDropped) {
  NewFlowQueue Queue;
  const Route Low = {"desk", 1s, 2};
  const Route High = {"desk", 1s, 1};
  const TimePoint Now{100s};
  const auto HeadOf = [](uint32_t Number) {
    PacketHead Head;
    Head.Source = {0x64000000 + Number, 1};
    Head.Destination = DeskRoute;
    return Head;
  };
  EXPECT_TRUE(Queue.add(HeadOf(1), "a", Low, 3, Now));
  EXPECT_TRUE(Queue.add(HeadOf(2), "b", High, 3, Now));
  EXPECT_TRUE(Queue.add(HeadOf(3), "c", Low, 3, Now + 1s));
  EXPECT_FALSE(Queue.add(HeadOf(4), "d", High, 3, Now));
  EXPECT_TRUE(Queue.refresh(hashOf(HeadOf(3).fromCaller()), HeadOf(3), "e"));
  ASSERT_EQ(Queue.take("desk", 1).at(0).Bytes, "b");
  Queue.expire(Now + 1500ms);
  const auto Left = Queue.take("desk", 5);
  ASSERT_EQ(Left.size(), 1U);
  EXPECT_EQ(Left[0].Bytes, "e");
}

TEST(Configuration, OlderVersionsAreNotTaken) {
  Configuration C;
  Manifest M;
  M.Version = 5;
  EXPECT_TRUE(C.offer(M));
  EXPECT_FALSE(C.offer(M));
  M.Version = 4;
  EXPECT_FALSE(C.offer(M));
  EXPECT_EQ(C.manifest().Version, 5);
  EXPECT_TRUE(C.offer(Evacuations{7, {"a"}}));
  EXPECT_FALSE(C.offer(Evacuations{6, {}}));
  EXPECT_TRUE(C.isEvacuated("a"));
}

TEST(Outcomes, FailuresRaiseTheShareAndDecay) {
  Outcomes O;
  TimePoint Now{100s};
  O.age(Now);
  EXPECT_EQ(O.failing(), 0);
  O.onFailed(1);
  EXPECT_LT(O.failing(), 0.3); // A single failure weighs little.
  for (int I = 0; I < 50; ++I) {
    Now += 10ms;
    O.age(Now);
    I % 2 ? O.onFailed(1) : O.onAnswered(20ms);
  }
  EXPECT_NEAR(O.failing(), 0.5, 0.1);
  O.age(Now + 10 * Outcomes::HalfLife);
  EXPECT_LT(O.failing(), 0.02);
}

TEST(Outcomes, TheRequestTimeoutFollowsTheResponseTime) {
  Outcomes O;
  const Duration Before = O.requestTimeout();
  for (int I = 0; I < 100; ++I)
    O.onAnswered(80ms);
  EXPECT_LT(O.requestTimeout(), Before);
  EXPECT_GT(O.requestTimeout(), 300ms);
  for (int I = 0; I < 200; ++I)
    O.onAnswered(800ms);
  EXPECT_EQ(O.requestTimeout(), Before);
}

TEST(SlidingBudget, TheLimitHoldsInEachInterval) {
  SlidingBudget Budget;
  std::deque<TimePoint> Spent;
  Random Rng(3);
  TimePoint Now{1s};
  for (int I = 0; I < 5000; ++I) {
    Now += std::chrono::milliseconds(Rng() % 100);
    if (!Budget.allows(5, Now))
      continue;
    Budget.spend(Now);
    Spent.push_back(Now);
    if (Spent.size() > 5) {
      EXPECT_GE(Now - Spent[Spent.size() - 6], 1s);
    }
  }
}

TEST(Directory, AnUnlistedAgentThatStopsAnsweringIsRemoved) {
  Directory D("zone-0", 1);
  const AgentEntry Entry = {"a", "desk", "zone-0", {1, 1}, {1, 2}};
  TimePoint Now{100s};
  D.list(Entry, 7, Now);
  Pong P;
  P.Name = "a";
  P.Service = "desk";
  D.onPong(P, Now);
  D.unlist("a");
  D.expire(Now + 1s);
  EXPECT_NE(D.find("a"), nullptr);
  D.expire(Now + 3s);
  EXPECT_EQ(D.find("a"), nullptr);
}

TEST(Directory, APongOfAnotherServiceAtAReusedAddressIsNoSignOfLife) {
  Directory D("zone-0", 1);
  D.list({"a", "desk", "zone-0", {1, 1}, {1, 2}}, 7, TimePoint{100s});
  Pong P;
  P.Name = "a";
  P.Service = "print";
  D.onPong(P, TimePoint{101s});
  EXPECT_FALSE(D.find("a")->everAnswered());
}

TEST(Directory, ABalancerThatIsCutOffRemovesNoAgents) {
  Directory D("zone-0", 1);
  TimePoint Now{100s};
  for (const char *Name : {"a", "b", "c"})
    D.list({Name, "desk", "zone-0", {1, 1}, {1, 2}}, 7, Now);
  for (const auto &[Name, A] : D.agents())
    D.onPingSent(*A, Now);
  EXPECT_TRUE(D.removable(Now + 30s).empty());
  Pong P;
  P.Service = "desk";
  for (const char *Name : {"a", "b"}) {
    P.Name = Name;
    D.onPong(P, Now + 30s);
  }
  ASSERT_EQ(D.removable(Now + 30s).size(), 1U);
  EXPECT_EQ(D.removable(Now + 30s)[0]->Entry.Name, "c");
}

TEST(Directory, AnAgentThatRefusedIsNotChosenUntilItReportsAgain) {
  Directory D("zone-0", 1);
  const TimePoint Now{100s};
  Pong P;
  P.Service = "desk";
  P.State = Intake::Open;
  P.Slots = 4;
  for (const char *Name : {"idle", "busy"}) {
    P.Name = Name;
    P.Busy = P.Name == "idle" ? 0 : 4;
    const uint32_t Ip = P.Name == "idle" ? 1 : 2;
    D.list({Name, "desk", "zone-0", {Ip, 1}, {Ip, 2}}, 7, Now);
    D.onPong(P, Now);
  }
  EXPECT_EQ(D.choose("desk", 0, Now)->Entry.Name, "idle");
  D.onRefusal("desk", {1, 1}, Now);
  EXPECT_EQ(D.choose("desk", 0, Now)->Entry.Name, "busy");
  P.Name = "idle";
  P.Busy = 0;
  D.onPong(P, Now + 500ms);
  EXPECT_EQ(D.choose("desk", 0, Now + 500ms)->Entry.Name, "idle");
}

TEST(Directory, AColdAgentThatRefusesIsPausedLongerWhileOthersAreOpen) {
  const TimePoint Now{100s};
  for (const bool OtherOpen : {false, true}) {
    Directory D("zone-0", 1);
    Pong P;
    P.Service = "desk";
    P.Name = "cold";
    P.State = Intake::Cold;
    D.list({"cold", "desk", "zone-0", {1, 1}, {1, 2}}, 7, Now);
    D.onPong(P, Now);
    P.Name = "other";
    P.State = OtherOpen ? Intake::Open : Intake::Cold;
    D.list({"other", "desk", "zone-0", {2, 1}, {2, 2}}, 7, Now);
    D.onPong(P, Now);
    D.onRefusal("desk", {1, 1}, Now);
    const uint32_t Other = Directory::triedBit(*D.find("other"));
    EXPECT_EQ(D.choose("desk", Other, Now + 40ms), nullptr);
    EXPECT_EQ(D.choose("desk", Other, Now + 100ms) != nullptr, !OtherOpen);
    EXPECT_NE(D.choose("desk", Other, Now + 250ms), nullptr);
  }
}

TEST(StoreWatch, ListsWatchesAndListsAgainWhenTheHistoryIsGone) {
  StoreWatch W(1);
  TimePoint Now{1s};
  EXPECT_FALSE(W.next(Now)->WatchFrom);
  EXPECT_FALSE(W.next(Now));
  W.onPage(10, true, "m");
  EXPECT_FALSE(W.listed());
  EXPECT_EQ(W.next(Now)->After, "m");
  W.onPage(12, false, "z");
  // From the revision of the first page: changes between the pages arrive as
  // events.
  EXPECT_EQ(W.next(Now)->WatchFrom, 10);
  W.onEvents(20);
  EXPECT_EQ(W.next(Now)->WatchFrom, 20);
  W.restart();
  EXPECT_FALSE(W.next(Now)->WatchFrom);
}

TEST(StoreWatch, BacksOffWhileTheStoreIsUnavailable) {
  StoreWatch W(1);
  TimePoint Now{1s};
  int Calls = 0;
  for (int I = 0; I < 300; ++I, Now += 100ms)
    if (W.next(Now)) {
      ++Calls;
      W.onFailure(Now);
    }
  EXPECT_LT(Calls, 50);
  EXPECT_GT(Calls, 15);
}

struct Registering : testing::Test {
  Registration R{1};
  AgentEntry Entry = {"a", "desk", "zone-0", {1, 1}, {1, 2}};
  TimePoint Now{1s};
  using Call = Registration::Call;
  void SetUp() override { R.want(Entry); }
};

TEST_F(Registering, AfterALostAnswerTheEntryIsReadBeforeARetry) {
  EXPECT_EQ(R.next(Now), Call::Create);
  R.onUnknown(Now);
  EXPECT_EQ(R.next(Now), std::nullopt);
  Now += 2s;
  EXPECT_EQ(R.next(Now), Call::Read);
  R.onStored(Entry, 5);
  EXPECT_EQ(R.next(Now), std::nullopt);
}

TEST_F(Registering, AnOldEntryIsReplaced) {
  EXPECT_EQ(R.next(Now), Call::Create);
  AgentEntry Old = Entry;
  Old.Service = "print";
  R.onStored(Old, 4);
  EXPECT_EQ(R.next(Now), Call::Replace);
  R.onStored(Entry, 5);
  EXPECT_TRUE(R.settled());
}

TEST_F(Registering, AMissingEntryIsCreatedAgain) {
  R.next(Now);
  R.onStored(Entry, 5);
  R.onMissing(4);
  EXPECT_TRUE(R.settled());
  R.onMissing(9);
  EXPECT_EQ(R.next(Now), Call::Create);
}

TEST_F(Registering, AnEntryOfAnEarlierStartIsRemoved) {
  R.want(std::nullopt);
  EXPECT_EQ(R.next(Now), std::nullopt);
  R.doubt();
  EXPECT_EQ(R.next(Now), Call::Read);
  R.onStored(Entry, 5);
  EXPECT_EQ(R.next(Now), Call::Remove);
  R.onAbsent();
  EXPECT_TRUE(R.settled());
}

TEST_F(Registering, LeavingRemovesTheEntry) {
  R.next(Now);
  R.onStored(Entry, 5);
  R.want(std::nullopt);
  EXPECT_EQ(R.next(Now), Call::Remove);
  R.onUnknown(Now);
  Now += 2s;
  EXPECT_EQ(R.next(Now), Call::Read);
  R.onAbsent();
  EXPECT_TRUE(R.settled());
}

TEST(Trail, DecodingReversesEncoding) {
  Random Rng(5);
  for (int I = 0; I < 1000; ++I) {
    Trail T;
    T.ForwardMode = static_cast<Trail::Mode>(Rng() % 4);
    T.Refused = Rng() % 2;
    T.WasQueued = Rng() % 2;
    T.Tried = Rng() % (1u << Trail::TriedBits);
    EXPECT_EQ(Trail::decode(T.encode()), T);
  }
}

ControlMessage sample(int Kind) {
  const AgentEntry Entry = {"a", "desk", "zone-0", {1, 1}, {1, 2}};
  const FlowId Flow = {{0x64000001, 1000}, DeskRoute};
  Pong P;
  P.Name = "a";
  P.Service = "desk";
  P.State = Intake::Cold;
  P.ColdFor = 1500ms;
  P.Busy = 1.5;
  switch (Kind) {
  case 0:
    return Ping{"a", 3, {1, 2, 3}, 4, {5, 6}};
  case 1:
    return P;
  case 2:
    return Find{Flow};
  case 3:
    return Located{"a", Flow, Holding::Denies};
  default:
    return Hello{Entry};
  }
}

TEST(Control, DecodingReversesEncoding) {
  for (int Kind = 0; Kind < 5; ++Kind) {
    const auto Back = decodeControl(encode(sample(Kind)));
    ASSERT_TRUE(Back);
    EXPECT_EQ(Back->index(), static_cast<size_t>(Kind));
    EXPECT_EQ(encode(*Back), encode(sample(Kind)));
  }
}

TEST(Control, AnyBytesAreDecodedOrRejected) {
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 20) * 1000;
  Random Rng(7);
  for (uint64_t I = 0; I < Runs; ++I) {
    std::string Bytes = encode(sample(Rng() % 5));
    for (unsigned Flips = Rng() % 4; Flips > 0; --Flips)
      Bytes[Rng() % Bytes.size()] = static_cast<char>(Rng());
    Bytes.resize(Rng() % 3 ? Bytes.size() : Rng() % (Bytes.size() + 1));
    if (const auto Message = decodeControl(Bytes)) {
      EXPECT_TRUE(decodeControl(encode(*Message)));
    }
  }
}

} // namespace
} // namespace dragonflystall::opaque::test
