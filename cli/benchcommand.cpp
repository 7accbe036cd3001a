// `dragonflystall bench`: the speed of each workload, and one signature over
// the decisions of all workloads.
// `dragonflystall bench NAME` runs one workload or one measurement.
#include "command.h"

#include "bench.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

int runBench(const Arguments &Args) {
  const std::string_view Only = Args.empty() ? std::string_view() : Args[0];
  for (const bench::Measurement &Measured : bench::measurements())
    if (Measured.Name == Only)
      return Measured.Run() ? Success : Failed;
  uint64_t Signature = 0;
  for (const bench::Workload &Selected : bench::workloads()) {
    if (!Only.empty() && Selected.Name != Only)
      continue;
    const bench::Outcome Result = Selected.Run();
    Signature = bench::mix(Signature, Result.Signature);
    fmt::print("{:<20} {:>12.0f} decisions/s  {}\n", Selected.Name,
               static_cast<double>(Result.Decisions) / Result.Seconds,
               Result.Remark);
  }
  fmt::print("Bench: {}\n", Signature);
  return Success;
}

} // namespace dragonflystall::cli
