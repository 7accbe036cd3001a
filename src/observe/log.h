// Log lines of a process: one JSON object per line on standard error.
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

/// Returns std::nullopt if the text is not the name of a level.
std::optional<LogLevel> parseLogLevel(std::string_view Text);

/// The level at which an event is logged. Events of single packets, flows and
/// requests are Debug; all others are rare.
LogLevel levelOf(EventKind Kind);

/// Sets the least level that is printed; the initial level is Info. May be
/// called from any thread.
void setLogLevel(LogLevel Level);
LogLevel logLevel();

/// Prints {"time_ms":..,"level":..,"process":..,"message":..}. May be called
/// from any thread.
void log(LogLevel Level, std::string_view Process, std::string_view Message);

} // namespace dragonflystall

#endif
