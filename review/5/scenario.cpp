// Serializable reads of the store are seconds old. A manifest drops one route
// and adds another; all processes run undisturbed.
#include "../standins/manifestchange.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t BalancerCount = 12;
constexpr size_t HostCount = 4;
constexpr Duration Staleness = 5s;
/// The change is made when all processes have run for longer than a watch may
/// wait (15 s) and are in touch.
constexpr Duration ChangeAt = 25s;
constexpr Duration Length = 40s;

} // namespace

int main(int Count, char **Values) {
  if (Count != 3)
    return CouldNotRun;
  try {
    Deployment D(Values[1], std::string(Values[2]) != "0");
    if (D.Trouble)
      D.Store->StaleBy = Staleness;
    ManifestChange Case(D, {BalancerCount, HostCount, ChangeAt});
    D.runFor(Length);
    Case.report();
    return D.finish("CONFIG");
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return CouldNotRun;
  }
}
