// A line chart over time as SVG, with the phases of the run marked.
#ifndef DRAGONFLYSTALL_SRC_LOAD_SVGCHART_H
#define DRAGONFLYSTALL_SRC_LOAD_SVGCHART_H

#include <string>
#include <vector>

namespace dragonflystall::load {

struct Series {
  std::string Name;
  std::vector<double> Values; ///< One a second.
};

/// Drawn with its number, counted from one; the name shows on hovering.
struct ChartMark {
  double Second = 0;
  std::string Name;
};

struct Chart {
  std::string Title;
  std::string Unit;
  std::vector<Series> Lines;
  std::vector<ChartMark> Marks;
};

std::string toSvg(const Chart &C);

} // namespace dragonflystall::load

#endif
