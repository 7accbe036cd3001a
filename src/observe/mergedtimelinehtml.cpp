// Prints the time line as an HTML page: the lanes as SVG, and the events as a
// list.
#include "observe/htmltext.h"
#include "observe/mergedtimeline.h"

#include <array>
#include <fmt/format.h>
#include <map>
#include <set>

namespace dragonflystall {

namespace {

// Sizes in pixels.
constexpr double Width = 1400;
constexpr double LeftMargin = 210;
constexpr double RightMargin = 20;
constexpr double LaneHeight = 26;
constexpr double TopMargin = 30;
constexpr double DotRadius = 4;

constexpr int CounterBits = 16;
/// Only the newest events up to this number are shown, because browsers become
/// slow with more.
constexpr size_t MaxShown = 4000;

constexpr std::string_view Head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>dragonflystall time line</title>
<style>
body { font: 13px/1.4 sans-serif; margin: 1.5em; color: #222; }
h1 { font-size: 19px; }
svg { width: 100%; height: auto; background: #fcfcfc; border: 1px solid #e4e4e4; }
svg text { font-size: 11px; fill: #444; }
.lane { stroke: #ddd; } .tick { stroke: #eee; }
.key span { display: inline-block; margin-right: 1.2em; }
.key i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 4px; }
input { width: 30em; margin: 1em 0 0.4em; padding: 3px; }
table { border-collapse: collapse; font: 12px monospace; }
td { padding: 1px 12px 1px 0; vertical-align: top; white-space: nowrap; }
</style></head><body>
)";

constexpr std::string_view Filter = R"(
<input id="filter" placeholder="show lines that contain: a flow, a process, a kind">
<script>
document.getElementById('filter').addEventListener('input', event => {
  for (const row of document.querySelectorAll('tr'))
    row.style.display = row.textContent.includes(event.target.value) ? '' : 'none';
});
</script>
)";

/// A fixed colour for each event kind. The hues are spread over the colour
/// circle.
std::string colourOf(const std::string &Kind) {
  constexpr size_t HueStepDegrees = 137;
  constexpr size_t CircleDegrees = 360;
  size_t Index = 0;
  while (Index < EventKindNames.size() && EventKindNames[Index] != Kind)
    ++Index;
  return fmt::format("hsl({},65%,{}%)", Index * HueStepDegrees % CircleDegrees,
                     Index % 2 == 0 ? 42 : 58);
}

struct Lanes {
  double FirstMs = 0;
  double LastMs = 1;
  std::map<std::string, size_t> Index; ///< By process.

  double x(double Milliseconds) const {
    return LeftMargin + (Width - LeftMargin - RightMargin) *
                            (Milliseconds - FirstMs) / (LastMs - FirstMs);
  }
  double y(const std::string &Process) const {
    return TopMargin +
           LaneHeight * (static_cast<double>(Index.at(Process)) + 0.5);
  }
  double height() const {
    return TopMargin + LaneHeight * static_cast<double>(Index.size()) + 10;
  }
};

double millisecondsOf(const TimelineEvent &E) {
  return static_cast<double>(E.At >> CounterBits);
}

std::vector<TimelineEvent> newest(const MergedTimeline &Whole) {
  const auto &All = Whole.events();
  const size_t First = All.size() > MaxShown ? All.size() - MaxShown : 0;
  return {All.begin() + static_cast<std::ptrdiff_t>(First), All.end()};
}

Lanes lanesOf(const std::vector<TimelineEvent> &Events) {
  Lanes L;
  L.FirstMs = millisecondsOf(Events.front());
  L.LastMs = std::max(millisecondsOf(Events.back()), L.FirstMs + 1);
  std::set<std::string> Processes;
  for (const TimelineEvent &E : Events)
    Processes.insert(E.Process);
  for (const std::string &Process : Processes)
    L.Index.emplace(Process, L.Index.size());
  return L;
}

std::string axisSvg(const Lanes &L) {
  constexpr int Ticks = 10;
  std::string Svg;
  for (int I = 0; I <= Ticks; ++I) {
    const double Ms = L.FirstMs + (L.LastMs - L.FirstMs) * I / Ticks;
    Svg += fmt::format(
        R"(<line class="tick" x1="{0:.1f}" x2="{0:.1f}" y1="{1}" y2="{2}"/>)"
        R"(<text x="{0:.1f}" y="{3}" text-anchor="middle">+{4:.3f} s</text>)"
        "\n",
        L.x(Ms), TopMargin, L.height(), TopMargin - 10, (Ms - L.FirstMs) / 1e3);
  }
  for (const auto &[Process, Index] : L.Index)
    Svg += fmt::format(
        R"(<line class="lane" x1="{0}" x2="{1}" y1="{2}" y2="{2}"/>)"
        R"(<text x="6" y="{3}">{4}</text>)"
        "\n",
        LeftMargin, Width - RightMargin, L.y(Process), L.y(Process) + 4,
        escapeHtml(Process));
  return Svg;
}

std::string lanesSvg(const std::vector<TimelineEvent> &Events) {
  const Lanes L = lanesOf(Events);
  std::string Svg =
      fmt::format("<svg viewBox=\"0 0 {} {}\">\n", Width, L.height());
  Svg += axisSvg(L);
  for (const TimelineEvent &E : Events)
    Svg += fmt::format(
        R"(<circle cx="{:.1f}" cy="{:.1f}" r="{}" fill="{}"><title>{}</title></circle>)"
        "\n",
        L.x(millisecondsOf(E)), L.y(E.Process), DotRadius, colourOf(E.Kind),
        escapeHtml(toText(E)));
  return Svg + "</svg>\n";
}

std::string keyHtml(const std::vector<TimelineEvent> &Events) {
  std::map<std::string, size_t> Kinds;
  for (const TimelineEvent &E : Events)
    ++Kinds[E.Kind];
  std::string Key = "<p class=\"key\">";
  for (const auto &[Kind, Count] : Kinds)
    Key += fmt::format("<span><i style=\"background:{}\"></i>{} ({})</span>",
                       colourOf(Kind), escapeHtml(Kind), Count);
  return Key + "</p>\n";
}

std::string listHtml(const std::vector<TimelineEvent> &Events) {
  std::string List = "<table>\n";
  for (const TimelineEvent &E : Events)
    List += "<tr><td>" + escapeHtml(toText(E)) + "</td></tr>\n";
  return List + "</table>\n";
}

} // namespace

std::string toHtml(const MergedTimeline &Whole) {
  std::string Page(Head);
  Page += fmt::format("<h1>Time line, {} events</h1>\n", Whole.events().size());
  if (Whole.events().empty())
    return Page + "<p>No event matches.</p></body></html>\n";
  const std::vector<TimelineEvent> Shown = newest(Whole);
  if (Shown.size() < Whole.events().size())
    Page += fmt::format("<p>The newest {} are shown.</p>\n", Shown.size());
  Page += keyHtml(Shown);
  Page += lanesSvg(Shown);
  Page += Filter;
  Page += listHtml(Shown);
  return Page + "</body></html>\n";
}

} // namespace dragonflystall
