// Random runs of the agents of a service, with the invariants of Flows checked
// after each event. DRAGONFLYSTALL_SEED and DRAGONFLYSTALL_RUNS set the first
// seed and the number of runs.
#include "flows/fakecluster_test.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::test {
namespace {

constexpr unsigned AgentCount = 7;
constexpr uint32_t CallerCount = 120;
constexpr uint32_t Connections = 40;
/// In planned changes agents leave only while more agents than this serve. This
/// many can hold the flows of all callers.
constexpr size_t MinServing = 4;

/// One run: agents join, leave and restart while callers keep sending requests.
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : Cluster(Seed) {
    Cluster.Check = [this] { check(); };
    Cluster.OnAction = [this](const FakeAgent &Reporter,
                              const AgentAction &Action) {
      onAction(Reporter, Action);
    };
  }

  FakeCluster Cluster;
  std::string Violation;

  static constexpr uint32_t AllCallers = UINT32_MAX;
  void record(uint32_t Caller, std::string Description) {
    History_.push_back({Cluster.Now, Caller, std::move(Description)});
  }

  static std::string name(unsigned I) { return fmt::format("tag-{}", I); }

  void startAll() {
    for (unsigned I = 0; I < AgentCount; ++I)
      startAgent(I);
    Cluster.run(5s);
  }
  void startAgent(unsigned I) {
    record(AllCallers, "start " + name(I));
    Leaving_.erase(name(I));
    Cluster.start(name(I), I % 3, I, Connections);
  }

  void kill(const std::string &Name) {
    record(AllCallers, "kill " + Name);
    Cluster.kill(Name);
  }
  /// The number of agents that run and are not leaving.
  size_t serving() const {
    return std::count_if(Cluster.Agents.begin(), Cluster.Agents.end(),
                         [&](const auto &NamedAgent) {
                           return NamedAgent.second.Alive &&
                                  !Leaving_.contains(NamedAgent.first);
                         });
  }
  void leave(const std::string &Name) {
    Leaving_.insert(Name);
    record(AllCallers, "leave " + Name);
    Cluster.leave(Name);
  }
  void pause(const std::string &Name, Duration Length) {
    record(AllCallers, fmt::format("pause {} for {} ms", Name, Length / 1ms));
    Cluster.pause(Name, Length);
  }
  void traffic(Duration Length) {
    for (Duration Passed{}; Passed < Length; Passed += 20ms) {
      const auto Caller = static_cast<uint32_t>(Cluster.Rng() % CallerCount);
      if (const std::string To = Cluster.randomLiveAgent(); !To.empty())
        Cluster.request(To, Caller);
      Cluster.run(20ms);
    }
  }

  /// After 20 s without faults or requests: each flow has at most one holder,
  /// and packets sent to any agent reach it.
  void checkSteadyState() {
    Cluster.ActiveFaults = {};
    Cluster.run(20s);
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller) {
      const FlowKey Flow = FakeCluster::flowOf(Caller);
      const auto Before = Cluster.holders(Flow);
      if (Before.size() > 1)
        fail(fmt::format("flow {} has two holders after the run: {} and {}",
                         Caller, Before[0], Before[1]),
             Caller);
      for (const auto &[Name, Agent] : Cluster.Agents)
        if (Agent.Alive && !Agent.Core->roster().Agents.empty())
          Cluster.request(Name, Caller);
      Cluster.run(1s);
      const auto After = Cluster.holders(Flow);
      if (!Before.empty() && After != Before)
        fail(fmt::format("flow {} moved from {} to {}", Caller, Before[0],
                         After.empty() ? "no agent" : After[0]),
             Caller);
      if (After.size() > 1)
        fail(fmt::format("flow {} has two holders after requests to all agents",
                         Caller),
             Caller);
    }
  }

  /// Flows affected by a fault, which another agent may therefore start anew.
  std::set<FlowKey> FaultedFlows;
  void markFlowsFaulted(const std::string &Name) {
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller)
      if (Cluster.Agents.at(Name).Core->holderOf(FakeCluster::flowOf(Caller)) ==
          agentId(Name))
        FaultedFlows.insert(FakeCluster::flowOf(Caller));
  }
  void markAllFaulted() {
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller)
      FaultedFlows.insert(FakeCluster::flowOf(Caller));
  }

private:
  std::map<std::string, uint64_t> RosterVersions_;
  std::set<std::string> Leaving_;
  /// An action or event, for the report of a failure; AllCallers if it concerns
  /// all flows.
  struct Entry {
    TimePoint At;
    uint32_t Caller;
    std::string Description;
  };
  std::vector<Entry> History_;

  std::string nameOf(AgentId Id) const {
    for (const auto &[Name, Agent] : Cluster.Agents)
      if (agentId(Name) == Id)
        return Name;
    return "-";
  }

  void fail(const std::string &Description, uint32_t Caller = 0) {
    if (!Violation.empty())
      return;
    Violation =
        fmt::format("{} ({} ms, event {})", Description,
                    Cluster.Now.time_since_epoch() / 1ms, Cluster.Events);
    for (const Entry &Item : History_)
      if (Item.Caller == Caller || Item.Caller == AllCallers)
        Violation += fmt::format("\n{:>9} {}", Item.At.time_since_epoch() / 1ms,
                                 Item.Description);
  }

  void check() {
    for (const auto &[Name, Agent] : Cluster.Agents) {
      if (!Agent.Alive)
        continue;
      if (Agent.Core->size() > Connections)
        fail(Name + " holds more flows than its connection limit");
      uint64_t &Last = RosterVersions_[Name];
      const uint64_t Version = Agent.Core->roster().Version;
      if (Version < Last && Version != 0)
        fail(Name + " returned to an older roster");
      Last = Version;
    }
    // One flow per event, so that all flows are checked in turn.
    const auto Caller = static_cast<uint32_t>(Cluster.Events % CallerCount);
    const FlowKey Flow = FakeCluster::flowOf(Caller);
    if (FaultedFlows.contains(Flow))
      return;
    if (Cluster.holders(Flow).size() > 1)
      fail(fmt::format("flow {} has two holders: {} and {}", Caller,
                       Cluster.holders(Flow)[0], Cluster.holders(Flow)[1]),
           Caller);
    if (Cluster.GivenUp.contains(Flow))
      fail(fmt::format("flow {} was given up without a fault", Caller), Caller);
  }

  void onAction(const FakeAgent &Reporter, const AgentAction &Action) {
    const auto *Reported = std::get_if<Event>(&Action);
    if (Reported && Reported->Kind != EventKind::PacketDropped)
      record(Reported->Flow == FlowKey{} ? AllCallers
                                         : Reported->Flow.Caller.Ip & 0xffffff,
             fmt::format("{} {} {} {}", Reporter.Identity.Self.Name,
                         dragonflystall::name(Reported->Kind),
                         nameOf(Reported->Agent), Reported->Value));
    if (Reported && Reported->Kind == EventKind::FlowPlaced &&
        !FaultedFlows.contains(Reported->Flow) &&
        !Cluster.holders(Reported->Flow).empty() &&
        Cluster.holders(Reported->Flow)[0] != Reporter.Identity.Self.Name &&
        agentId(Cluster.holders(Reported->Flow)[0]) != Reported->Agent)
      fail(fmt::format("flow {} was placed at another agent while {} held it",
                       Reported->Flow.Caller.Ip & 0xffffff,
                       Cluster.holders(Reported->Flow)[0]),
           Reported->Flow.Caller.Ip & 0xffffff);
  }
};

/// Joins, leaves, restarts of agents that hold no flow, store outages, lost
/// replies, differing rosters, delays, duplicates and reordering. No flow may
/// be lost or held twice.
void plannedChanges(RandomRun &Run, unsigned Steps) {
  Run.startAll();
  for (unsigned Step = 0; Step < Steps && Run.Violation.empty(); ++Step) {
    Run.Cluster.ActiveFaults.WatchDelay = Run.Cluster.Rng() % 2 ? 3s : 20ms;
    Run.Cluster.ActiveFaults.MostDelay = Run.Cluster.Rng() % 4 ? 4ms : 40ms;
    Run.Cluster.ActiveFaults.DuplicatePerMille = Run.Cluster.Rng() % 2 ? 50 : 0;
    Run.Cluster.ActiveFaults.DropPerMille = Run.Cluster.Rng() % 3 ? 0 : 20;
    Run.Cluster.ActiveFaults.StoreDown = Run.Cluster.Rng() % 4 == 0;
    Run.Cluster.ActiveFaults.LostAnswerPerMille =
        Run.Cluster.Rng() % 3 ? 0 : 300;
    const auto Index = static_cast<unsigned>(Run.Cluster.Rng() % AgentCount);
    const std::string Name = RandomRun::name(Index);
    if (!Run.Cluster.Agents.at(Name).Alive)
      Run.startAgent(Index);
    else if (Run.Cluster.Agents.at(Name).Core->isDoneLeaving())
      Run.kill(Name);
    else if (Run.Cluster.Rng() % 2 && Run.serving() > MinServing)
      Run.leave(Name);
    Run.traffic(Duration(Run.Cluster.Rng() % 4'000'000'000));
  }
}

/// In addition, agents are killed and paused, control messages are lost and
/// zones go out.
void faults(RandomRun &Run, unsigned Steps) {
  Run.markAllFaulted();
  Run.startAll();
  for (unsigned Step = 0; Step < Steps && Run.Violation.empty(); ++Step) {
    Run.Cluster.ActiveFaults.WatchDelay = Run.Cluster.Rng() % 2 ? 3s : 20ms;
    Run.Cluster.ActiveFaults.MostDelay = Run.Cluster.Rng() % 4 ? 4ms : 400ms;
    Run.Cluster.ActiveFaults.DuplicatePerMille = Run.Cluster.Rng() % 2 ? 50 : 0;
    Run.Cluster.ActiveFaults.DropPerMille = Run.Cluster.Rng() % 3 ? 0 : 100;
    Run.Cluster.ActiveFaults.ControlDropPerMille =
        Run.Cluster.Rng() % 3 ? 0 : 100;
    Run.Cluster.ActiveFaults.StoreDown = Run.Cluster.Rng() % 3 == 0;
    Run.Cluster.ActiveFaults.LostAnswerPerMille =
        Run.Cluster.Rng() % 3 ? 0 : 300;
    const auto Index = static_cast<unsigned>(Run.Cluster.Rng() % AgentCount);
    const std::string Name = RandomRun::name(Index);
    const FakeAgent &Agent = Run.Cluster.Agents.at(Name);
    switch (Run.Cluster.Rng() % 6) {
    case 0:
      if (!Agent.Alive || Agent.Core->isDoneLeaving())
        Run.startAgent(Index);
      break;
    case 1:
      Run.kill(Name);
      break;
    case 2:
    case 3:
      Run.pause(Name, Duration(Run.Cluster.Rng() % 20'000'000'000));
      break;
    case 4:
      Run.leave(Name);
      break;
    default:
      Run.Cluster.CurrentSettings.Zones[Index % 3].Evacuated =
          !Run.Cluster.CurrentSettings.Zones[Index % 3].Evacuated;
      Run.record(
          RandomRun::AllCallers,
          fmt::format("zone {} out={}", Index % 3,
                      Run.Cluster.CurrentSettings.Zones[Index % 3].Evacuated));
      Run.Cluster.publishSettings();
    }
    Run.traffic(Duration(Run.Cluster.Rng() % 4'000'000'000));
  }
}

void restoreCluster(RandomRun &Run) {
  for (ZoneSettings &Zone : Run.Cluster.CurrentSettings.Zones)
    Zone.Evacuated = false;
  Run.Cluster.ActiveFaults = {};
  Run.Cluster.publishSettings();
  for (unsigned I = 0; I < AgentCount; ++I)
    if (!Run.Cluster.Agents.at(RandomRun::name(I)).Alive ||
        Run.Cluster.Agents.at(RandomRun::name(I)).Core->isDoneLeaving())
      Run.startAgent(I);
  Run.Cluster.run(90s);
}

class FlowsRandom
    : public testing::TestWithParam<void (*)(RandomRun &, unsigned)> {};

TEST_P(FlowsRandom, InvariantsHold) {
  constexpr uint64_t RunsInCi = 12;
  constexpr unsigned Steps = 25;
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", RunsInCi);
  uint64_t Events = 0;
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    RandomRun Run(Seed);
    GetParam()(Run, Steps);
    if (Run.Violation.empty())
      restoreCluster(Run);
    if (Run.Violation.empty())
      Run.checkSteadyState();
    Events += Run.Cluster.Events;
    ASSERT_EQ(Run.Violation, "") << "seed " << Seed;
  }
  fmt::print("{} events\n", Events);
}

INSTANTIATE_TEST_SUITE_P(PlannedChanges, FlowsRandom,
                         testing::Values(plannedChanges));
INSTANTIATE_TEST_SUITE_P(Faults, FlowsRandom, testing::Values(faults));

} // namespace
} // namespace dragonflystall::test
