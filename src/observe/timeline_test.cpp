// The order of stamps, the bounded ring, and the contents of the JSON lines.
#include "observe/log.h"
#include "observe/timeline.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace dragonflystall {
namespace {

using std::chrono::system_clock;

system_clock::time_point at(int64_t Milliseconds) {
  return system_clock::time_point(std::chrono::milliseconds(Milliseconds));
}

std::vector<nlohmann::json> linesOf(const std::string &Text) {
  std::vector<nlohmann::json> Lines;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(nlohmann::json::parse(Line));
  return Lines;
}

class TimelineTest : public ::testing::Test {
protected:
  void SetUp() override { setLogLevel(LogLevel::Silent); }
  void TearDown() override { setLogLevel(LogLevel::Info); }
};

RC_GTEST_PROP(HybridClock, StampsAscendForAnyWallClock,
              (const std::vector<uint16_t> &WallTimes)) {
  HybridClock Clock;
  HybridTime Last = 0;
  for (uint16_t WallTime : WallTimes) {
    const HybridTime Next = Clock.stamp(at(WallTime));
    RC_ASSERT(Next > Last);
    Last = Next;
  }
}

RC_GTEST_PROP(HybridClock, EffectIsStampedAfterItsCause,
              (uint16_t Sender, uint16_t Receiver)) {
  HybridClock Ours;
  HybridClock Theirs;
  const HybridTime Sent = Ours.stamp(at(Sender));
  Theirs.observe(Sent);
  RC_ASSERT(Theirs.stamp(at(Receiver)) > Sent);
}

TEST_F(TimelineTest, RingKeepsTheNewestInOrder) {
  Timeline Line("p", 16);
  for (uint64_t I = 1; I <= 11; ++I) {
    Event Payload;
    Payload.Value = I;
    Line.record(at(1000), Payload);
  }
  const auto Lines = linesOf(Line.snapshotJson(0));
  ASSERT_EQ(Lines.size(), 4U);
  for (size_t I = 0; I < Lines.size(); ++I)
    EXPECT_EQ(Lines[I]["value"], 8 + I);
  EXPECT_EQ(Line.count(EventKind::Started), 11U);
}

TEST_F(TimelineTest, SinceExcludesOlderEvents) {
  Timeline Line("p", 100);
  for (int I = 0; I < 10; ++I)
    Line.record(at(I), {});
  const auto Lines = linesOf(Line.snapshotJson(HybridTime{7} << 16));
  ASSERT_EQ(Lines.size(), 3U);
  EXPECT_EQ(Lines[0]["time_ms"], 7);
}

TEST_F(TimelineTest, FrequentEventsDoNotDisplaceRareOnes) {
  Timeline Line("p", 16);
  Event Rare;
  Rare.Kind = EventKind::ZoneOut;
  Line.record(at(1), Rare);
  Event Frequent;
  Frequent.Kind = EventKind::RequestStarted;
  for (int I = 2; I < 1000; ++I)
    Line.record(at(I), Frequent);
  const auto Lines = linesOf(Line.snapshotJson(0));
  ASSERT_EQ(Lines.size(), 13U);
  EXPECT_EQ(Lines[0]["event"], "zone-out");
  EXPECT_EQ(Lines[12]["time_ms"], 999);
}

TEST_F(TimelineTest, OverwrittenEntryDropsTheOldDetail) {
  Timeline Line("p", 1);
  Event First;
  First.Detail = "secret";
  Line.record(at(1), First);
  Line.record(at(2), {});
  EXPECT_EQ(Line.snapshotJson(0).find("secret"), std::string::npos);
}

TEST_F(TimelineTest, LineHasAllFieldsOfTheEvent) {
  Event Payload;
  Payload.Kind = EventKind::FlowPlaced;
  Payload.Flow = {ServiceId{0xabc}, *parseEndpoint("127.0.0.1:99")};
  Payload.Agent = AgentId{0x1f};
  Payload.Request = 0x2a;
  Payload.Value = 3;
  Payload.Detail = "a \"quoted\"\nline \x01";
  const auto Line = linesOf(eventJson("lund-a/agent", {5, Payload})).at(0);
  EXPECT_EQ(Line["at"], "5");
  EXPECT_EQ(Line["process"], "lund-a/agent");
  EXPECT_EQ(Line["event"], "flow-placed");
  EXPECT_EQ(Line["service"], "0000000000000abc");
  EXPECT_EQ(Line["caller"], "127.0.0.1:99");
  EXPECT_EQ(Line["agent"], "0000001f");
  EXPECT_EQ(Line["request"], "000000000000002a");
  EXPECT_EQ(Line["value"], 3);
  EXPECT_EQ(Line["detail"], Payload.Detail);
}

TEST_F(TimelineTest, InvalidUtf8GivesValidJson) {
  Event Payload;
  Payload.Detail = "caf\xe9 \xc3\xa9 \xc3";
  const std::string Line = eventJson("p", {1, Payload});
  EXPECT_FALSE(nlohmann::json::parse(Line, nullptr, false).is_discarded());
}

} // namespace
} // namespace dragonflystall
