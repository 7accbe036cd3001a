// A process's log of decisions: one JSON object per line on standard output.
// The number of lines is bounded and writing never blocks: lines over the
// budget or lost because of a full pipe are counted, and the counts are logged.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_EVENTLOG_H
#define DRAGONFLYSTALL_SRC_OBSERVE_EVENTLOG_H

#include "dragonflystall/types.h"

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace dragonflystall {

/// Importance of a line. Each class has its own budget of lines.
enum class LogClass : uint8_t {
  Routine, ///< Normal operation of a single flow.
  Notable, ///< A flow was refused, searched for or moved.
  State,   ///< The process's state or its view of others changed.
  Lost,    ///< The holder of an open flow was not found.
};
constexpr std::array<std::string_view, 4> LogClassNames = {"routine", "notable",
                                                           "state", "lost"};
constexpr std::string_view name(LogClass C) {
  return LogClassNames[static_cast<size_t>(C)];
}

class EventLog {
public:
  /// Maximum number of lines per second of each class.
  static constexpr std::array<uint32_t, LogClassNames.size()> LinesPerSecond = {
      10, 30, 50, 30};

  explicit EventLog(const std::string &Process, int Descriptor = 1);

  /// One line, written by the destructor.
  class Line {
  public:
    Line(EventLog &Log, LogClass Class, std::string_view Event);
    ~Line();
    Line(const Line &) = delete;
    Line &operator=(const Line &) = delete;

    Line &text(std::string_view Key, std::string_view Value);
    template <typename T> Line &number(std::string_view Key, T Value) {
      if (IsWritten_)
        fmt::format_to(std::back_inserter(Buffer_), ",\"{}\":{}", Key, Value);
      return *this;
    }
    /// Adds the value in milliseconds.
    Line &age(std::string_view Key, Duration Value);

  private:
    EventLog &Log_;
    bool IsWritten_;
    fmt::memory_buffer Buffer_;
  };

  /// Takes one line from the budget of the class. If the budget is used up,
  /// counts the line as dropped and returns false.
  bool tryUseBudget(LogClass Class, TimePoint Now);
  /// Must be called regularly. Once a second, renews the budgets and logs the
  /// counts of dropped lines.
  void tick(TimePoint Now);
  uint64_t droppedLines() const { return TotalDroppedLines_; }

private:
  template <typename T> using PerClass = std::array<T, LogClassNames.size()>;

  void write(std::string_view Text);

  std::string Process_;
  int Descriptor_;
  TimePoint Now_{};
  TimePoint BudgetStart_{}; ///< When the budgets were last renewed.
  PerClass<uint32_t> UsedLines_{};
  PerClass<uint64_t> DroppedLines_{}; ///< Since the last renewal.
  uint64_t BlockedLines_ = 0;         ///< Lines lost because the pipe was full.
  uint64_t TotalDroppedLines_ = 0;
};

} // namespace dragonflystall

#endif
