// Lays the chart out.
#include "load/svgchart.h"

#include "observe/htmltext.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace dragonflystall::load {

namespace {

// All in pixels.
constexpr double Width = 1000;
constexpr double Height = 260;
constexpr double Left = 60;
constexpr double Right = 180; ///< Room for the legend.
constexpr double Top = 70;    ///< Room for the numbers of the phases.
constexpr double Bottom = 30;
constexpr double PlotWidth = Width - Left - Right;
constexpr double PlotHeight = Height - Top - Bottom;
constexpr int GridLines = 4;
constexpr double LegendLine = 15;

constexpr std::array Colours = {"#1b6ca8", "#c0392b", "#2e8b57", "#b9770e",
                                "#7d3c98", "#117a8b", "#839192", "#d35f8d",
                                "#5d6d1e", "#34495e"};

/// The next of 1, 2, 5, 10, 20, ... that is not below the value.
double roundUp(double Value) {
  if (Value <= 0)
    return 1;
  const double Power = std::pow(10, std::floor(std::log10(Value)));
  for (double Step : {1.0, 2.0, 5.0, 10.0})
    if (Step * Power >= Value)
      return Step * Power;
  return Value;
}

struct Scale {
  double Seconds = 1;
  double Most = 1;
  double x(double Second) const { return Left + PlotWidth * Second / Seconds; }
  double y(double Value) const { return Top + PlotHeight * (1 - Value / Most); }
};

Scale scaleOf(const Chart &C) {
  Scale Result;
  double Most = 0;
  for (const Series &Line : C.Lines) {
    Result.Seconds =
        std::max(Result.Seconds, static_cast<double>(Line.Values.size()));
    for (double Value : Line.Values)
      Most = std::max(Most, Value);
  }
  Result.Most = roundUp(Most);
  return Result;
}

std::string gridSvg(const Scale &S, const std::string &Unit) {
  std::string Svg;
  for (int I = 0; I <= GridLines; ++I) {
    const double Value = S.Most * I / GridLines;
    Svg += fmt::format(
        R"(<line class="grid" x1="{}" x2="{}" y1="{:.1f}" y2="{:.1f}"/>)"
        R"(<text class="tick" x="{}" y="{:.1f}" text-anchor="end">{:g}</text>)"
        "\n",
        Left, Left + PlotWidth, S.y(Value), S.y(Value), Left - 6,
        S.y(Value) + 4, Value);
  }
  const double Step = roundUp(S.Seconds / 12);
  for (double Second = 0; Second <= S.Seconds; Second += Step)
    Svg += fmt::format(
        R"(<text class="tick" x="{:.1f}" y="{}" text-anchor="middle">{:g} s</text>)"
        "\n",
        S.x(Second), Height - Bottom + 16, Second);
  Svg += fmt::format(R"(<text class="tick" x="4" y="{}">{}</text>)"
                     "\n",
                     Top - 8, escapeHtml(Unit));
  return Svg;
}

/// Numbers of neighbouring phases take turns over three heights.
std::string marksSvg(const Scale &S, const std::vector<ChartMark> &Marks) {
  constexpr int Heights = 3;
  constexpr double NameLine = 13;
  std::string Svg;
  for (size_t I = 0; I < Marks.size(); ++I) {
    const double X = S.x(Marks[I].Second);
    const double NameY = Top - 8 - NameLine * static_cast<double>(I % Heights);
    Svg += fmt::format(
        R"(<line class="mark" x1="{0:.1f}" x2="{0:.1f}" y1="{1:.1f}" y2="{2}"/>)"
        R"(<text class="phase" x="{3:.1f}" y="{1:.1f}">{4}<title>{5}</title></text>)"
        "\n",
        X, NameY, Top + PlotHeight, X + 3, I + 1, escapeHtml(Marks[I].Name));
  }
  return Svg;
}

std::string lineSvg(const Scale &S, const Series &Line, size_t Index) {
  std::string Points;
  for (size_t I = 0; I < Line.Values.size(); ++I)
    Points += fmt::format("{:.1f},{:.1f} ", S.x(static_cast<double>(I) + 0.5),
                          S.y(Line.Values[I]));
  const char *Colour = Colours[Index % Colours.size()];
  const double LegendY = Top + LegendLine * static_cast<double>(Index) + 4;
  return fmt::format(
      R"(<polyline fill="none" stroke="{0}" stroke-width="1.6" points="{1}"/>)"
      R"(<rect x="{2}" y="{3:.1f}" width="10" height="10" fill="{0}"/>)"
      R"(<text class="legend" x="{4}" y="{5:.1f}">{6}</text>)"
      "\n",
      Colour, Points, Left + PlotWidth + 10, LegendY, Left + PlotWidth + 25,
      LegendY + 9, escapeHtml(Line.Name));
}

} // namespace

std::string toSvg(const Chart &C) {
  const Scale S = scaleOf(C);
  std::string Svg =
      fmt::format("<h2>{}</h2>\n<svg viewBox=\"0 0 {} {}\" role=\"img\">\n",
                  escapeHtml(C.Title), Width, Height);
  Svg += gridSvg(S, C.Unit);
  Svg += marksSvg(S, C.Marks);
  for (size_t I = 0; I < C.Lines.size(); ++I)
    Svg += lineSvg(S, C.Lines[I], I);
  return Svg + "</svg>\n";
}

} // namespace dragonflystall::load
