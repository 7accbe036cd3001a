// The history of a flow has its own lines and the state changes of its nodes.
#include "observe/explain.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

LogRecord record(std::string_view Line) {
  const auto R = parseLogRecord(Line);
  EXPECT_TRUE(R) << Line;
  return R.value_or(LogRecord());
}

TEST(Explain, ReadsALineWithAPrefix) {
  const LogRecord R =
      record(R"(  12.5 front-1 {"time_ms":5,"node":"front-1","flow":"a>b"})");
  EXPECT_EQ(R.TimeMs, 5);
  EXPECT_EQ(R.Flow, "a>b");
  EXPECT_FALSE(parseLogRecord("no json"));
  EXPECT_FALSE(parseLogRecord("{\"time_ms\":\"5\",\"node\":\"n\"}"));
  EXPECT_FALSE(parseLogRecord("{broken"));
}

TEST(Explain, MergesTheFlowAndTheStateChangesOfItsNodes) {
  const std::vector<LogRecord> Records = {
      record(R"({"time_ms":9000,"node":"agent","flow":"a>b","event":"2"})"),
      record(R"({"time_ms":8000,"node":"front","flow":"a>b","event":"1"})"),
      record(R"({"time_ms":8500,"node":"front","event":"agent-suspected"})"),
      record(R"({"time_ms":8500,"node":"other","event":"elsewhere"})"),
      record(R"({"time_ms":100,"node":"front","event":"long ago"})"),
      record(R"({"time_ms":8600,"node":"front","flow":"c>d"})")};
  const auto History = explainFlow(Records, "a>b", 2s);
  ASSERT_EQ(History.size(), 3U);
  EXPECT_EQ(History[0].TimeMs, 8000);
  EXPECT_EQ(History[1].TimeMs, 8500);
  EXPECT_EQ(History[2].Node, "agent");
  EXPECT_TRUE(explainFlow(Records, "x>y", 2s).empty());
}

} // namespace
} // namespace dragonflystall
