// A process's log of decisions: one JSON object a line on standard output.
// The volume is bounded and a line is never waited for: what the budget or a
// full pipe does not let through is counted, and the count is logged.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_EVENTLOG_H
#define DRAGONFLYSTALL_SRC_OBSERVE_EVENTLOG_H

#include "dragonflystall/types.h"

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace dragonflystall {

/// How much a line matters; each has a budget of its own.
enum class LogClass : uint8_t {
  Routine, ///< As it should be, for each flow.
  Notable, ///< A flow that was refused, lost or moved.
  State,   ///< What the process believes has changed.
};
constexpr std::array<std::string_view, 3> LogClassNames = {"routine", "notable",
                                                           "state"};
constexpr std::string_view name(LogClass C) {
  return LogClassNames[static_cast<size_t>(C)];
}

class EventLog {
public:
  /// Lines a second for each class.
  static constexpr std::array<uint32_t, 3> LinesPerSecond = {10, 30, 50};

  explicit EventLog(const std::string &Process, int Descriptor = 1);

  /// One line, written when it goes out of scope.
  class Line {
  public:
    Line(EventLog &Log, LogClass Class, std::string_view Event);
    ~Line();
    Line(const Line &) = delete;
    Line &operator=(const Line &) = delete;

    Line &text(std::string_view Key, std::string_view Value);
    template <typename T> Line &number(std::string_view Key, T Value) {
      if (Wanted_)
        fmt::format_to(std::back_inserter(Buffer_), ",\"{}\":{}", Key, Value);
      return *this;
    }
    /// In milliseconds.
    Line &age(std::string_view Key, Duration Value);

  private:
    EventLog &Log_;
    bool Wanted_;
    fmt::memory_buffer Buffer_;
  };

  /// False when the class has used up its budget; then the line would be left
  /// out, and is counted as such.
  bool wants(LogClass Class, TimePoint Now);
  /// Call regularly: renews the budgets and logs what was left out.
  void tick(TimePoint Now);
  uint64_t leftOut() const { return TotalLeftOut_; }

private:
  void write(std::string_view Text);

  std::string Process_;
  int Descriptor_;
  TimePoint Now_{};
  TimePoint Second_{}; ///< When the budgets were last renewed.
  std::array<uint32_t, 3> Used_{};
  std::array<uint64_t, 3> LeftOut_{}; ///< Since they were renewed.
  uint64_t Blocked_ = 0;              ///< Lines that a full pipe has cost.
  uint64_t TotalLeftOut_ = 0;
};

} // namespace dragonflystall

#endif
