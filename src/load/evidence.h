// What really ran, from the stand-in upstreams, held against what the callers
// were told.
#ifndef DRAGONFLYSTALL_SRC_LOAD_EVIDENCE_H
#define DRAGONFLYSTALL_SRC_LOAD_EVIDENCE_H

#include "load/tally.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflystall::load {

struct UpstreamReport {
  std::string Name;
  std::string Service;
  std::map<std::string, uint32_t> Runs; ///< By key, of POSTs.
  uint32_t Peak = 0;
  uint64_t ColdOverloads = 0;
  uint64_t HotOverloads = 0;
  uint64_t Gets = 0;
  uint64_t Posts = 0;
  uint64_t Shed = 0;
  uint64_t Cancelled = 0;
};

struct Evidence {
  std::vector<UpstreamReport> Upstreams;
  /// Upstreams that gave no report: the proof has a hole.
  std::vector<Endpoint> Silent;
};

Evidence gather(const std::vector<Endpoint> &Upstreams);

struct Judgement {
  std::vector<std::string> DoubleRuns;  ///< Ran more than once.
  std::vector<std::string> FalseNotRun; ///< Ran, and the caller was told not.
  std::vector<std::string> FalseRan;    ///< The reverse.
};

Judgement judge(const Told &ToldCallers, const Evidence &Seen);

} // namespace dragonflystall::load

#endif
