// Faults drawn at random from a seed, and done to the deployment one over the
// other.
#ifndef DRAGONFLYSTALL_SOAK_FAULTS_H
#define DRAGONFLYSTALL_SOAK_FAULTS_H

#include "soak/fleet.h"

#include <functional>
#include <map>

namespace dragonflystall::soak {

enum class Fault : uint8_t {
  KillBalancer,
  StopBalancer,
  PauseBalancer,
  KillAgent,
  StopAgent,
  PauseAgent,
  KillAll,
  Reload,
  StoreDown,
  StoreSlow,
  StoreLosesAnswers,
  StoreForgets,
  StoreCut,
  HeartbeatCut,
  CrashUpstream,
  RestartSameId,
  Release,
  Reuse,
  Evacuate,
  DropRoute,
  BadPaths,
};
constexpr std::array<std::string_view, 21> FaultNames = {"kill-balancer",
                                                         "stop-balancer",
                                                         "pause-balancer",
                                                         "kill-agent",
                                                         "stop-agent",
                                                         "pause-agent",
                                                         "kill-all",
                                                         "reload",
                                                         "store-down",
                                                         "store-slow",
                                                         "store-loses-answers",
                                                         "store-forgets",
                                                         "store-cut",
                                                         "heartbeat-cut",
                                                         "crash-upstream",
                                                         "restart-same-id",
                                                         "release",
                                                         "reuse",
                                                         "evacuate",
                                                         "drop-route",
                                                         "bad-paths"};
constexpr std::string_view name(Fault F) {
  return FaultNames[static_cast<size_t>(F)];
}

class Faults {
public:
  Faults(node::Services &Shared, Fleet &All, uint64_t Seed)
      : Shared_(Shared), All_(All), Rng_(Seed) {}

  /// Draws faults that begin within the span.
  void plan(TimePoint From, TimePoint Until, Duration MeanApart);
  /// All faults have ended.
  bool over() const { return Events_.empty(); }
  void tick(TimePoint Now);
  /// Faults so far, by name.
  const std::map<std::string, int> &counts() const { return Counts_; }

private:
  using Action = std::function<void()>;

  void later(Duration After, Action What);
  void begin(Fault What);
  void restartLater(Node &N, Duration After);
  /// Ends a process that is to run, and starts it again.
  void restart(Node &N, int Signal, Duration Down);
  void pause(Node &N, Duration Length);
  void killAll();
  void store(const StoreFaults &Bad, Duration Length);
  void cut(Relay &Way, Duration Length);
  void release(Host &H);
  void reuse(Host &H);
  void leaveWhenDrained(Host &H, Action Then);
  void evacuate();
  void dropRoute();
  Node &balancer() { return pick(All_.Balancers); }
  /// One whose upstream lives and stays for now.
  Host *settledHost();
  template <typename T> T &pick(std::deque<T> &From) {
    return From[Rng_() % From.size()];
  }
  Duration between(Duration Least, Duration Most) {
    return Least + (Most - Least) * static_cast<int>(Rng_() % 1000) / 1000;
  }
  void note(Fault What, const std::string &Whom);

  node::Services &Shared_;
  Fleet &All_;
  Random Rng_;
  std::multimap<TimePoint, Action> Events_;
  std::map<std::string, int> Counts_;
};

} // namespace dragonflystall::soak

#endif
