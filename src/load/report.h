// The report of a load run: JSON, text and a page of its own.
#ifndef DRAGONFLYSTALL_SRC_LOAD_REPORT_H
#define DRAGONFLYSTALL_SRC_LOAD_REPORT_H

#include "load/evidence.h"
#include "load/loadoptions.h"
#include "load/tally.h"

#include <string>

namespace dragonflystall::load {

struct Report {
  const Options &Asked;
  const Tally &Seen;
  const Evidence &Proof;
  const Judgement &Judged;
};

/// Double runs, false verdicts, wrong or misdelivered answers: never allowed,
/// whatever fails. An upstream that gave no evidence counts as one.
uint64_t brokenPromises(const Report &R);

std::string toJson(const Report &R);
std::string toText(const Report &R);
/// Self-contained HTML with SVG charts; the phases are marked in each.
std::string toHtml(const Report &R);

} // namespace dragonflystall::load

#endif
