// One counter for each result, and the share of hedges in the last minute.
#include "hedgemetrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall {

std::string hedgeMetricsText(std::string_view Service,
                             const HedgeReport &Report) {
  const bool WasOn =
      std::ranges::any_of(Report.Counts, [](uint64_t Count) { return Count; });
  if (!Report.IsOn && !WasOn)
    return "";
  std::string Text = "# HELP dragonflystall_hedges_total Hedges by result.\n"
                     "# TYPE dragonflystall_hedges_total counter\n";
  for (size_t I = 0; I < Report.Counts.size(); ++I)
    Text += fmt::format(
        "dragonflystall_hedges_total{{service=\"{}\",result=\"{}\"}} {}\n",
        Service, RequestHedgeResultNames[I], Report.Counts[I]);
  Text += "# HELP dragonflystall_hedge_extra_percent Hedges of the last "
          "minute in percent of the requests.\n"
          "# TYPE dragonflystall_hedge_extra_percent gauge\n";
  Text += fmt::format(
      "dragonflystall_hedge_extra_percent{{service=\"{}\"}} {:.2f}\n", Service,
      Report.ExtraPercent);
  return Text;
}

} // namespace dragonflystall
