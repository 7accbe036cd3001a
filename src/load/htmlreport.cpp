// The load report as a self-contained page.
#include "load/report.h"
#include "load/svgchart.h"
#include "observe/htmltext.h"

#include <fmt/format.h>
#include <set>

namespace dragonflystall::load {

namespace {

constexpr std::string_view Head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>dragonflystall load</title>
<style>
body { font: 14px/1.4 sans-serif; max-width: 1060px; margin: 2em auto; color: #222; }
h1 { font-size: 20px; } h2 { font-size: 15px; margin: 1.6em 0 0.2em; }
table { border-collapse: collapse; font-size: 13px; }
td, th { padding: 3px 9px; border-bottom: 1px solid #ddd; text-align: right; }
td:first-child, th:first-child { text-align: left; }
tr.bad td { background: #fdecea; }
svg { width: 100%; height: auto; background: #fcfcfc; border: 1px solid #e4e4e4; }
.grid { stroke: #e2e2e2; } .mark { stroke: #999; stroke-dasharray: 3 3; }
.tick, .legend, .phase { font-size: 11px; fill: #555; } .phase { fill: #222; }
ul { font: 12px monospace; }
</style></head><body>
)";

std::vector<ChartMark> marksOf(const Report &R) {
  std::vector<ChartMark> Marks;
  for (const PhaseTally &P : R.Seen.phases())
    Marks.push_back({std::chrono::duration<double>(P.Start).count(), P.Name});
  return Marks;
}

template <typename F>
Series seriesOf(const Report &R, std::string Name, F Value) {
  Series Line{std::move(Name), {}};
  for (const SecondTally &Second : R.Seen.seconds())
    Line.Values.push_back(Value(Second));
  return Line;
}

Chart serviceChart(const Report &R) {
  using S = SecondTally;
  return {
      "Calls a second by outcome",
      "calls/s",
      {seriesOf(R, "started", [](const S &T) { return T.Started; }),
       seriesOf(R, "served", [](const S &T) { return T.Served; }),
       seriesOf(R, "refused, not run", [](const S &T) { return T.Refused; }),
       seriesOf(R, "may have run", [](const S &T) { return T.MayHaveRun; })},
      marksOf(R)};
}

/// A second in which no call ended keeps the count of the one before.
Chart flowsChart(const Report &R) {
  Series Open{"open", {}};
  Series Broken{"broken so far", {}};
  double LastOpen = 0;
  double LastBroken = 0;
  for (const SecondTally &Second : R.Seen.seconds()) {
    LastOpen = std::max<double>(LastOpen, Second.OpenFlows);
    LastBroken = std::max<double>(LastBroken, Second.BrokenFlows);
    Open.Values.push_back(LastOpen);
    Broken.Values.push_back(LastBroken);
  }
  return {"Flows", "flows", {Open, Broken}, marksOf(R)};
}

Chart upstreamChart(const Report &R, const std::string &Service) {
  std::set<std::string> Names;
  for (const UpstreamReport &U : R.Proof.Upstreams)
    if (U.Service == Service)
      Names.insert(U.Name);
  Chart Result{
      "Answers a second by upstream: " + Service, "answers/s", {}, marksOf(R)};
  for (const std::string &Name : Names)
    Result.Lines.push_back(seriesOf(R, Name, [&](const SecondTally &T) {
      auto It = T.ByUpstream.find(Name);
      return It != T.ByUpstream.end() ? It->second : 0;
    }));
  return Result;
}

std::string phaseRow(const PhaseTally &P, size_t Number) {
  const bool Bad = P.Wrong + P.Misdelivered + P.BrokenFlows.size() > 0;
  const double Level = P.Calls == 0 ? 100
                                    : 100 * static_cast<double>(P.Served) /
                                          static_cast<double>(P.Calls);
  return fmt::format(
      "<tr{}><td>{} {}</td><td>{:.1f}</td><td>{}</td><td>{}</td><td>{}</td>"
      "<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}</td>"
      "<td>{:.1f}</td><td>{:.1f}</td></tr>\n",
      Bad ? " class=\"bad\"" : "", Number, escapeHtml(P.Name),
      std::chrono::duration<double>(P.Start).count(), P.Calls, P.Served,
      P.Refused, P.MayHaveRun, P.Failed, P.Wrong + P.Misdelivered,
      P.BrokenFlows.size(), P.Stalled, Level, 1e3 * P.Latency.quantile(0.5),
      1e3 * P.Latency.quantile(0.99));
}

std::string phaseTable(const Report &R) {
  std::string Table =
      "<table><tr><th>phase</th><th>from s</th><th>calls</th><th>served</th>"
      "<th>not run</th><th>may have run</th><th>failed</th>"
      "<th>wrong</th><th>broken flows</th><th>over 3 s</th>"
      "<th>service %</th><th>p50 ms</th><th>p99 ms</th></tr>\n";
  size_t Number = 0;
  for (const PhaseTally &P : R.Seen.phases())
    Table += phaseRow(P, ++Number);
  return Table + "</table>\n";
}

std::string findingsList(const Report &R) {
  if (R.Seen.findings().empty())
    return "";
  std::string List = "<h2>Findings</h2>\n<ul>\n";
  for (const std::string &Finding : R.Seen.findings())
    List += "<li>" + escapeHtml(Finding) + "</li>\n";
  return List + "</ul>\n";
}

} // namespace

std::string toHtml(const Report &R) {
  std::string Page(Head);
  Page += fmt::format(
      "<h1>Load over {} flows at {:g} calls/s</h1>\n"
      "<p>Broken flows: {}. Double runs: {}. False not-run: {}. False ran: {}. "
      "Upstreams without evidence: {}.</p>\n",
      R.Asked.Flows, R.Asked.Rate, R.Seen.brokenFlows(),
      R.Judged.DoubleRuns.size(), R.Judged.FalseNotRun.size(),
      R.Judged.FalseRan.size(), R.Proof.Silent.size());
  Page += phaseTable(R);
  Page += toSvg(serviceChart(R));
  Page += toSvg(flowsChart(R));
  for (const Target &T : R.Asked.Targets)
    Page += toSvg(upstreamChart(R, T.Service));
  Page += findingsList(R);
  return Page + "</body></html>\n";
}

} // namespace dragonflystall::load
