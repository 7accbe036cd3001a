// Deterministic workloads on the cores. Each returns a signature of the
// decisions, which changes only if a decision changes, not with the speed.
#ifndef DRAGONFLYSTALL_BENCH_BENCH_H
#define DRAGONFLYSTALL_BENCH_BENCH_H

#include <cstdint>
#include <ctime>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystall::bench {

/// The result of one workload. Seconds covers the decisions only, not the
/// set-up.
struct Outcome {
  uint64_t Decisions = 0;
  double Seconds = 0;
  uint64_t Signature = 0;
  /// A further result, such as a comparison with a baseline.
  std::string Remark = {};
};

struct Workload {
  std::string_view Name;
  Outcome (*Run)();
};

/// All workloads, in the order in which `dragonflystall bench` runs them.
std::span<const Workload> workloads();

/// A measurement whose result depends on the machine: it runs only by name and
/// has no part in the signature. Returns whether its target was met.
struct Measurement {
  std::string_view Name;
  bool (*Run)();
};

std::span<const Measurement> measurements();

/// Processor time of the calling thread, in seconds: other load on the machine
/// disturbs it less than the wall clock.
inline double threadSeconds() {
  constexpr double Nanosecond = 1e-9;
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) * Nanosecond;
}

/// Mixes a decision into a signature.
constexpr uint64_t mix(uint64_t Signature, uint64_t Decision) {
  return (Signature ^ Decision) * 0x9e3779b97f4a7c15ULL + 1;
}

// bench/homebench.cpp
Outcome findHome();
// bench/placebench.cpp
Outcome placeFlows();
// bench/settingsbench.cpp
Outcome mergeSettings();
Outcome mergeManySettings();
// bench/observebench.cpp
Outcome recordEvents();
Outcome updateCounter();
Outcome updateHistogram();
// bench/steerbench.cpp
Outcome steerHitFew();
Outcome steerHitMany();
Outcome steerMiss();
Outcome joinMoves();
Outcome changeSettings();
// bench/opaquebench.cpp
Outcome steerOpaqueFew();
Outcome steerOpaqueMany();
Outcome placeOpaque();
Outcome searchOpaque();
Outcome admitOpaque();
// bench/admitbench.cpp
Outcome admitToColdUpstream();
// bench/ticketbench.cpp
Outcome issueAndCheckTickets();
// bench/runbench.cpp
Outcome runRequests();
// bench/forwardbench.cpp
bool measureForwarding();
// bench/capacitybench.cpp
bool measureCapacity();

} // namespace dragonflystall::bench

#endif
