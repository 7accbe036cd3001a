// Serializable reads of the store are seconds old. After a planned restart of
// all balancers, one after the other, a manifest drops one route and adds
// another.
#include "../standins/manifestchange.h"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr size_t BalancerCount = 4;
constexpr size_t HostCount = 4;
constexpr Duration Staleness = 5s;
constexpr Duration RollAt = 20s;
constexpr Duration RollInterval = 2s;
constexpr Duration RestartDelay = 300ms;
constexpr Duration RestartCheckInterval = 50ms;
/// The last balancer has been in touch for about a second.
constexpr Duration ChangeAt = 33s;
constexpr Duration Length = 45s;

/// Starts a balancer again once it has ended.
void restartWhenEnded(Deployment &D, Process &P) {
  D.Events.every(RestartCheckInterval, [&D, &P] {
    if (P.Pid > 0)
      return true;
    D.Events.after(RestartDelay, [&D, &P] { D.start(P); });
    return false;
  });
}

/// Stops and starts all balancers in turn.
void roll(Deployment &D) {
  for (size_t I = 0; I < BalancerCount; ++I)
    D.Events.after(RollAt + I * RollInterval, [&D, I] {
      Process &P = D.Balancers[I];
      D.signal(P, SIGTERM);
      restartWhenEnded(D, P);
    });
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 3)
    return CouldNotRun;
  try {
    Deployment D(Values[1], std::string(Values[2]) != "0");
    if (D.Trouble)
      D.Store->StaleBy = Staleness;
    ManifestChange Case(D, {BalancerCount, HostCount, ChangeAt});
    roll(D);
    D.runFor(Length);
    Case.report();
    return D.finish("CONFIG");
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return CouldNotRun;
  }
}
