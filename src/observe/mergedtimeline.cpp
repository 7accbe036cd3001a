// Parses, filters, sorts and prints the events of several processes.
#include "observe/mergedtimeline.h"

#include "observe/log.h"

#include <algorithm>
#include <charconv>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dragonflystall {

namespace {

std::optional<TimelineEvent> parseLine(const std::string &Line) {
  const auto Json = nlohmann::json::parse(Line, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  TimelineEvent E;
  const std::string At = Json.value("at", "");
  std::from_chars(At.data(), At.data() + At.size(), E.At);
  E.Process = Json.value("process", "");
  E.Kind = Json.value("event", "");
  E.Caller = Json.value("caller", "");
  E.Service = Json.value("service", "");
  E.Agent = Json.value("agent", "");
  E.Request = Json.value("request", "");
  E.Detail = Json.value("detail", "");
  if (Json.contains("value"))
    E.Value = Json["value"].get<uint64_t>();
  E.Line = Line;
  return E.At == 0 || E.Kind.empty() ? std::nullopt : std::optional(E);
}

/// Unknown kinds, which a process of a newer version may send, count as rare,
/// so that they are shown.
bool isRare(const std::string &Kind) {
  const auto *It =
      std::find(EventKindNames.begin(), EventKindNames.end(), Kind);
  if (It == EventKindNames.end())
    return true;
  const auto KnownKind = static_cast<EventKind>(It - EventKindNames.begin());
  return levelOf(KnownKind) != LogLevel::Debug;
}

} // namespace

bool TimelineFilter::accepts(const TimelineEvent &E) const {
  if (E.At < Since)
    return false;
  if (RareOnly && !isRare(E.Kind))
    return false;
  if (!Caller.empty() && E.Caller != Caller)
    return false;
  return Request.empty() || E.Request == Request;
}

void MergedTimeline::add(const std::string &JsonLines,
                         const TimelineFilter &Filter) {
  std::istringstream In(JsonLines);
  for (std::string Line; std::getline(In, Line);) {
    auto E = parseLine(Line);
    if (!E)
      continue;
    Next_ = std::max(Next_, E->At + 1);
    if (Filter.accepts(*E))
      Events_.push_back(std::move(*E));
  }
}

/// Events of two processes with equal stamps are concurrent: neither event
/// caused the other. They are sorted by process name.
void MergedTimeline::sort() {
  std::stable_sort(Events_.begin(), Events_.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     return std::tie(A.At, A.Process) <
                            std::tie(B.At, B.Process);
                   });
}

std::string toText(const TimelineEvent &E) {
  constexpr int CounterBits = 16;
  const auto Milliseconds = static_cast<int64_t>(E.At >> CounterBits);
  const std::time_t Seconds = Milliseconds / 1000;
  std::string Text =
      fmt::format("{:%H:%M:%S}.{:03} {:<24} {:<20}", fmt::gmtime(Seconds),
                  Milliseconds % 1000, E.Process, E.Kind);
  const auto Append = [&](std::string_view Name, const std::string &Field) {
    if (!Field.empty())
      Text += fmt::format(" {} {}", Name, Field);
  };
  Append("flow", E.Caller);
  Append("agent", E.Agent);
  Append("request", E.Request);
  if (E.Value)
    Text += fmt::format(" value {}", *E.Value);
  Append("-", E.Detail);
  return Text;
}

} // namespace dragonflystall
