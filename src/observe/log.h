// Log lines of a process: one JSON object a line on standard error.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_LOG_H
#define DRAGONFLYSTALL_SRC_OBSERVE_LOG_H

#include "dragonflystall/event.h"

#include <array>
#include <optional>
#include <string_view>

namespace dragonflystall {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error, Silent };

constexpr std::array<std::string_view, 5> LogLevelNames = {
    "debug", "info", "warning", "error", "silent"};
constexpr std::string_view name(LogLevel L) {
  return LogLevelNames[static_cast<size_t>(L)];
}

/// std::nullopt when the text names no level.
std::optional<LogLevel> parseLogLevel(std::string_view Text);

/// Events of single packets, flows and requests are Debug; the others are rare.
LogLevel levelOf(EventKind Kind);

/// Lines below the level are not printed from now on. Info when never called.
/// Any thread.
void setLogLevel(LogLevel Least);
LogLevel logLevel();

/// Prints {"time_ms":..,"level":..,"process":..,"message":..}. Any thread.
void log(LogLevel Level, std::string_view Process, std::string_view Message);

} // namespace dragonflystall

#endif
