// Draws random faults from a seed and injects them into the deployment. Faults
// may overlap.
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
  ChangeServices,
  StoreRestored,
  StaleReads,
  OddEntry,
  Shortage,
  SlowUpstream,
  PowerLoss,
  ReturnCold,
};
constexpr std::array<std::string_view, 29> FaultNames = {"kill-balancer",
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
                                                         "bad-paths",
                                                         "change-services",
                                                         "store-restored",
                                                         "stale-reads",
                                                         "odd-entry",
                                                         "shortage",
                                                         "slow-upstream",
                                                         "power-loss",
                                                         "return-cold"};
constexpr std::string_view name(Fault Kind) {
  return FaultNames[static_cast<size_t>(Kind)];
}

class Faults {
public:
  Faults(node::Services &Shared, Fleet &Deployment, uint64_t Seed)
      : Shared_(Shared), Fleet_(Deployment), Rng_(Seed), ServiceRng_(~Seed),
        RestoreRng_(Seed << 1), WriterRng_(~Seed << 1), LoadRng_(Seed << 2),
        ReturnRng_(~Seed << 2) {}

  /// Schedules random faults that begin between the two times, and beside them
  /// changes of a route's services, restores of the store and odd entries;
  /// after them, planned changes and a shortage while the store's reads are
  /// outdated, and a loss of power.
  void plan(TimePoint From, TimePoint Until, Duration MeanInterval);
  /// Whether all faults have begun and ended.
  bool isFinished() const { return Events_.empty(); }
  void tick(TimePoint Now);
  /// Number of injected faults by name.
  const std::map<std::string, int> &counts() const { return Counts_; }

private:
  using Action = std::function<void()>;

  /// A time in which nothing is disturbed, but serializable reads are outdated
  /// while routes change and balancers and some agents are restarted.
  void planOutdatedReads(TimePoint From);
  /// Upstreams are slow for some seconds each.
  void planSlowUpstreams(TimePoint From, TimePoint Until);
  /// The desk's service is short of capacity for some seconds.
  void planShortage(TimePoint From);
  void beginSurge();
  void beginShortage();
  void endShortage();
  /// All processes and upstreams end at one moment; all but one host and one
  /// balancer start again.
  void losePower();
  /// Another writer leaves an odd object for a while.
  void writeOddEntry();
  void schedule(Duration Delay, Action Callback);
  void inject(Fault Kind);
  void restartLater(Node &Instance, Duration Delay);
  /// Signals a process that should run, and starts it again after the time.
  void restart(Node &Instance, int Signal, Duration Downtime);
  void pause(Node &Instance, Duration Length);
  void killAll();
  void impairStore(const StoreFaults &Impairment, Duration Length);
  void copyStore();
  /// The store is away, and comes back from a copy that is some seconds old.
  void restoreStore();
  /// Writes again what operators wrote and the store may have lost.
  void writeAgain();
  void impairRelay(Relay &Target, Duration Length);
  void release(Host &Target);
  void reuse(Host &Target);
  void leaveWhenDrained(Host &Target, Action OnLeft);
  void evacuate();
  /// The upstreams of a zone become cold just before its evacuation ends. One
  /// of its agents has been killed and just started again; afterwards a
  /// balancer is restarted, so that others look up its flows.
  void returnCold(TimePoint EvacuationEnd);
  /// Drops a route, and adds it again after the time.
  void dropRoute(Duration Length);
  /// Changes the services of the desk's routes and their weights.
  void changeServices();
  Node &randomBalancer() { return pick(Fleet_.Balancers); }
  /// A random host, or nullptr if its upstream is down or draining or its agent
  /// is stopped or paused.
  Host *randomAvailableHost();
  template <typename T> T &pick(std::deque<T> &From) {
    return From[Rng_() % From.size()];
  }
  Duration randomDuration(Duration Min, Duration Max) {
    return randomDuration(Min, Max, Rng_);
  }
  static Duration randomDuration(Duration Min, Duration Max, Random &Rng) {
    return Min + (Max - Min) * static_cast<int>(Rng() % 1000) / 1000;
  }
  void record(Fault Kind, const std::string &Target);

  node::Services &Shared_;
  Fleet &Fleet_;
  Random Rng_;
  /// For changes of services alone, so that these leave the faults of a seed as
  /// they are.
  Random ServiceRng_;
  Random RestoreRng_;              ///< For restores alone, for the same reason.
  Random WriterRng_;               ///< For odd entries alone.
  Random LoadRng_;                 ///< For the faults that change the load.
  Random ReturnRng_;               ///< For zones that return cold alone.
  std::deque<Store::Copy> Copies_; ///< Of the last seconds, oldest first.
  bool IsEvacuated_ = false; ///< Whether operators have evacuated the zone.
  std::multimap<TimePoint, Action> Events_;
  std::map<std::string, int> Counts_;
};

} // namespace dragonflystall::soak

#endif
