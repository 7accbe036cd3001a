// Parses log lines and selects those that concern a flow.
#include "observe/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace dragonflystall {

std::optional<LogRecord> parseLogRecord(std::string_view Line) {
  const size_t Start = Line.find('{');
  if (Start == std::string_view::npos)
    return std::nullopt;
  const std::string_view Text = Line.substr(Start);
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object() || !Json.contains("time_ms") ||
      !Json["time_ms"].is_number_integer() || !Json.contains("node") ||
      !Json["node"].is_string())
    return std::nullopt;
  LogRecord R;
  R.TimeMs = Json["time_ms"];
  R.Node = Json["node"];
  if (Json.contains("flow") && Json["flow"].is_string())
    R.Flow = Json["flow"];
  R.Text = Text;
  return R;
}

std::vector<LogRecord> explainFlow(const std::vector<LogRecord> &Records,
                                   std::string_view Flow, Duration Around) {
  std::set<std::string> Nodes;
  int64_t First = INT64_MAX;
  int64_t Last = INT64_MIN;
  for (const LogRecord &R : Records) {
    if (R.Flow != Flow)
      continue;
    Nodes.insert(R.Node);
    First = std::min(First, R.TimeMs);
    Last = std::max(Last, R.TimeMs);
  }
  std::vector<LogRecord> History;
  if (Nodes.empty())
    return History;
  const int64_t Margin =
      std::chrono::duration_cast<std::chrono::milliseconds>(Around).count();
  for (const LogRecord &R : Records) {
    const bool IsInTimeRange =
        R.TimeMs >= First - Margin && R.TimeMs <= Last + Margin;
    const bool IsNodeStateLine =
        R.Flow.empty() && Nodes.count(R.Node) > 0 && IsInTimeRange;
    if (R.Flow == Flow || IsNodeStateLine)
      History.push_back(R);
  }
  std::stable_sort(History.begin(), History.end(),
                   [](const LogRecord &A, const LogRecord &B) {
                     return A.TimeMs < B.TimeMs;
                   });
  return History;
}

} // namespace dragonflystall
