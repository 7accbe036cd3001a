// Writes JSON lines within the budgets.
#include "observe/eventlog.h"

#include "observe/jsontext.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace dragonflystall {

namespace {

int64_t wallMilliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

} // namespace

EventLog::EventLog(const std::string &Process, int Descriptor)
    : Process_(jsonString(Process)), Descriptor_(Descriptor) {
  // With a reader that does not read, lines are lost instead of blocking the
  // process, which would lose packets.
  const int Flags = ::fcntl(Descriptor_, F_GETFL);
  if (Flags >= 0)
    ::fcntl(Descriptor_, F_SETFL, Flags | O_NONBLOCK);
}

bool EventLog::tryUseBudget(LogClass Class, TimePoint Now) {
  Now_ = Now;
  const auto Index = static_cast<size_t>(Class);
  if (UsedLines_[Index] >= LinesPerSecond[Index]) {
    ++DroppedLines_[Index];
    ++TotalDroppedLines_;
    return false;
  }
  ++UsedLines_[Index];
  return true;
}

void EventLog::tick(TimePoint Now) {
  Now_ = Now;
  if (Now - BudgetStart_ < 1s)
    return;
  BudgetStart_ = Now;
  UsedLines_ = {};
  const PerClass<uint64_t> DroppedLines = std::exchange(DroppedLines_, {});
  const uint64_t BlockedLines = std::exchange(BlockedLines_, 0);
  if (DroppedLines == PerClass<uint64_t>{} && BlockedLines == 0)
    return;
  Line L(*this, LogClass::State, "log-left-out");
  for (size_t I = 0; I < DroppedLines.size(); ++I)
    L.number(LogClassNames[I], DroppedLines[I]);
  L.number("blocked", BlockedLines);
}

void EventLog::write(std::string_view Text) {
  const ssize_t Written = ::write(Descriptor_, Text.data(), Text.size());
  if (Written == static_cast<ssize_t>(Text.size()))
    return;
  ++BlockedLines_;
  ++TotalDroppedLines_;
}

EventLog::Line::Line(EventLog &Log, LogClass Class, std::string_view Event)
    : Log_(Log), IsWritten_(Log.tryUseBudget(Class, Log.Now_)) {
  if (IsWritten_)
    fmt::format_to(std::back_inserter(Buffer_),
                   "{{\"time_ms\":{},\"node\":{},\"class\":\"{}\",\"event\":"
                   "\"{}\"",
                   wallMilliseconds(), Log.Process_, name(Class), Event);
}

EventLog::Line::~Line() {
  if (!IsWritten_)
    return;
  Buffer_.append(std::string_view("}\n"));
  Log_.write({Buffer_.data(), Buffer_.size()});
}

EventLog::Line &EventLog::Line::text(std::string_view Key,
                                     std::string_view Value) {
  if (IsWritten_)
    fmt::format_to(std::back_inserter(Buffer_), ",\"{}\":{}", Key,
                   jsonString(Value));
  return *this;
}

EventLog::Line &EventLog::Line::age(std::string_view Key, Duration Value) {
  using std::chrono::milliseconds;
  return number(Key, std::chrono::duration_cast<milliseconds>(Value).count());
}

} // namespace dragonflystall
