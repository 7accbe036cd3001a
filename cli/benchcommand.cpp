// `dragonflystall bench`: each workload's speed, and one signature over all.
// `dragonflystall bench NAME` runs one workload or one measurement.
#include "command.h"

#include "bench.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

int runBench(const Arguments &Args) {
  const std::string_view Only = Args.empty() ? std::string_view() : Args[0];
  for (const bench::Measurement &M : bench::measurements())
    if (M.Name == Only)
      return M.Run() ? Success : Failed;
  uint64_t Signature = 0;
  for (const bench::Workload &W : bench::workloads()) {
    if (!Only.empty() && W.Name != Only)
      continue;
    const bench::Outcome Result = W.Run();
    Signature = bench::mix(Signature, Result.Signature);
    fmt::print("{:<20} {:>12.0f} decisions/s  {}\n", W.Name,
               static_cast<double>(Result.Decisions) / Result.Seconds,
               Result.Remark);
  }
  fmt::print("Bench: {}\n", Signature);
  return Success;
}

} // namespace dragonflystall::cli
