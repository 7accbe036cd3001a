// Prints log lines at or above the current level.
#include "observe/log.h"

#include "observe/jsontext.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

std::atomic<LogLevel> MinLevel = LogLevel::Info;

int64_t wallMilliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view Text) {
  const auto *It = std::find(LogLevelNames.begin(), LogLevelNames.end(), Text);
  if (It == LogLevelNames.end())
    return std::nullopt;
  return static_cast<LogLevel>(It - LogLevelNames.begin());
}

LogLevel levelOf(EventKind Kind) {
  switch (Kind) {
  case EventKind::FlowPlaced:
  case EventKind::FlowAccepted:
  case EventKind::FlowRefused:
  case EventKind::FlowHandedOver:
  case EventKind::FlowTakenOver:
  case EventKind::FlowGivenUp:
  case EventKind::FlowForwarded:
  case EventKind::PacketDropped:
  case EventKind::RequestStarted:
  case EventKind::RequestFinished:
  case EventKind::RequestRefused:
  case EventKind::RequestSpilled:
  case EventKind::RequestCancelled:
  case EventKind::RequestHedged:
  case EventKind::TicketIssued:
  case EventKind::TicketBurnt:
  case EventKind::DuplicateAnswered:
  case EventKind::LimitChanged:
    return LogLevel::Debug;
  case EventKind::SettingsRefused:
  case EventKind::AgentSuspected:
  case EventKind::AgentRemoved:
  case EventKind::UpstreamCold:
  case EventKind::PathReplaced:
  case EventKind::PlatformLost:
    return LogLevel::Warning;
  default:
    return LogLevel::Info;
  }
}

void setLogLevel(LogLevel Level) { MinLevel.store(Level); }

LogLevel logLevel() { return MinLevel.load(std::memory_order_relaxed); }

void log(LogLevel Level, std::string_view Process, std::string_view Message) {
  if (Level < logLevel())
    return;
  const std::string Line =
      fmt::format(R"({{"time_ms":{},"level":"{}","process":{},"message":{}}})"
                  "\n",
                  wallMilliseconds(), name(Level), jsonString(Process),
                  jsonString(Message));
  fmt::print(stderr, "{}", Line);
}

} // namespace dragonflystall
