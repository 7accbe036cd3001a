// What a load run is asked to do.
#ifndef DRAGONFLYSTALL_SRC_LOAD_LOADOPTIONS_H
#define DRAGONFLYSTALL_SRC_LOAD_LOADOPTIONS_H

#include "dragonflystall/types.h"

#include <string>
#include <vector>

namespace dragonflystall::load {

/// A service under load. Answers must name the service.
struct Target {
  Endpoint Address;
  std::string Service;
  uint32_t Weight = 1; ///< Share of the flows.
};

/// From this time on, figures are counted under another name.
struct PhaseMark {
  Duration At{}; ///< After the start of the run.
  std::string Name;
};

struct Options {
  std::vector<Target> Targets;
  uint32_t Flows = 100;
  double Rate = 100; ///< Calls a second over all flows.
  /// The rate rises evenly from nothing over this time, which is counted as
  /// the phase "warm-up".
  Duration WarmUp{};
  Duration Length = 10s; ///< Warm-up included.
  uint32_t PostPercent = 30;
  uint32_t LargePercent = 0; ///< GETs of large bodies, of all calls.
  uint32_t LargeBytes = 65536;
  Duration Timeout = 5s;    ///< Of each call.
  Duration AckTimeout = 2s; ///< Until the first retransmission.
  uint64_t Seed = 1;
  std::vector<PhaseMark> Phases;
  /// Lines appended to this file while the load runs start new phases; the
  /// line "end" ends the run before its time.
  std::string PhaseFile;
  /// Stand-ins that tell at the end what ran.
  std::vector<Endpoint> Upstreams;
  bool Progress = false; ///< A line a second on standard error.
};

} // namespace dragonflystall::load

#endif
