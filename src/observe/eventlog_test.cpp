// The number of lines is bounded, and a reader that does not read causes lost
// lines but does not block the process.
#include "observe/eventlog.h"

#include <algorithm>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace dragonflystall {
namespace {

struct Pipe {
  std::array<int, 2> Ends{};
  Pipe() { EXPECT_EQ(::pipe2(Ends.data(), O_NONBLOCK), 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  std::string read() {
    std::string Text;
    std::array<char, 4096> Buffer;
    for (ssize_t N; (N = ::read(Ends[0], Buffer.data(), Buffer.size())) > 0;)
      Text.append(Buffer.data(), N);
    return Text;
  }
};

TEST(EventLog, EachLineIsJson) {
  Pipe P;
  EventLog Log("node \"1\"", P.Ends[1]);
  EventLog::Line(Log, LogClass::Notable, "event")
      .text("flow", "a\nb")
      .number("version", 3)
      .age("age_ms", 1500ms);
  const auto Line = nlohmann::json::parse(P.read());
  EXPECT_EQ(Line["node"], "node \"1\"");
  EXPECT_EQ(Line["flow"], "a\nb");
  EXPECT_EQ(Line["version"], 3);
  EXPECT_EQ(Line["age_ms"], 1500);
}

TEST(EventLog, DroppedLinesAreCounted) {
  Pipe P;
  EventLog Log("node", P.Ends[1]);
  Log.tick(TimePoint{10s});
  for (int I = 0; I < 100; ++I)
    EventLog::Line(Log, LogClass::Routine, "flow");
  Log.tick(TimePoint{12s});
  const std::string Text = P.read();
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'),
            EventLog::LinesPerSecond[0] + 1);
  EXPECT_NE(Text.find("\"routine\":90"), std::string::npos);
}

TEST(EventLog, AFullPipeDoesNotBlock) {
  Pipe P;
  EventLog Log("node", P.Ends[1]);
  for (int Second = 0; Second < 200; ++Second) {
    Log.tick(TimePoint{std::chrono::seconds(10 + Second)});
    for (int I = 0; I < 50; ++I)
      EventLog::Line(Log, LogClass::State, "event")
          .text("filler", std::string(200, 'x'));
  }
  EXPECT_GT(Log.droppedLines(), 0U);
}

} // namespace
} // namespace dragonflystall
