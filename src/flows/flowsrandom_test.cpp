// Random runs over a service's agents, with the promises of this slice checked
// after each event. DRAGONFLYSTALL_SEED and DRAGONFLYSTALL_RUNS widen them.
#include "flows/fakecluster_test.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::test {
namespace {

constexpr unsigned AgentCount = 7;
constexpr uint32_t CallerCount = 120;
constexpr uint32_t Connections = 40;
/// Enough for all callers.
constexpr size_t LeastServing = 4;

/// An unsigned number of the environment, or what stands for it.
/// One run: agents come and go while callers keep sending.
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : C(Seed) {
    C.Check = [this] { check(); };
    C.OnAction = [this](const FakeAgent &A, const AgentAction &Action) {
      onAction(A, Action);
    };
  }

  FakeCluster C;
  std::string Broken;

  static constexpr uint32_t AllCallers = UINT32_MAX;
  void tell(uint32_t Caller, std::string What) {
    Story_.push_back({C.Now, Caller, std::move(What)});
  }

  static std::string name(unsigned I) { return fmt::format("tag-{}", I); }

  void startAll() {
    for (unsigned I = 0; I < AgentCount; ++I)
      startAgent(I);
    C.run(5s);
  }
  void startAgent(unsigned I) {
    tell(AllCallers, "start " + name(I));
    Leaving_.erase(name(I));
    C.start(name(I), I % 3, I, Connections);
  }

  void kill(const std::string &Name) {
    tell(AllCallers, "kill " + Name);
    C.kill(Name);
  }
  /// Agents that run and were not told to leave.
  size_t serving() const {
    return std::count_if(
        C.Agents.begin(), C.Agents.end(), [&](const auto &Each) {
          return Each.second.Alive && !Leaving_.contains(Each.first);
        });
  }
  void leave(const std::string &Name) {
    Leaving_.insert(Name);
    tell(AllCallers, "leave " + Name);
    C.leave(Name);
  }
  void pause(const std::string &Name, Duration For) {
    tell(AllCallers, fmt::format("pause {} {} ms", Name, For / 1ms));
    C.pause(Name, For);
  }
  void traffic(Duration For) {
    for (Duration Passed{}; Passed < For; Passed += 20ms) {
      const auto Caller = static_cast<uint32_t>(C.Rng() % CallerCount);
      if (const std::string To = C.anyAlive(); !To.empty())
        C.request(To, Caller);
      C.run(20ms);
    }
  }

  /// After a quiet time: one holder a flow, and packets reach it from any
  /// agent.
  void checkQuiet() {
    C.Trouble = {};
    C.run(20s);
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller) {
      const FlowKey Flow = FakeCluster::flowOf(Caller);
      const auto Before = C.holders(Flow);
      if (Before.size() > 1)
        fail(fmt::format("flow {} is held by {}, {}", Caller, Before[0],
                         Before[1]),
             Caller);
      for (const auto &[Name, Agent] : C.Agents)
        if (Agent.Alive && !Agent.Core->roster().Agents.empty())
          C.request(Name, Caller);
      C.run(1s);
      const auto After = C.holders(Flow);
      if (!Before.empty() && After != Before)
        fail(fmt::format("flow {} moved from {} to {}", Caller, Before[0],
                         After.empty() ? "nobody" : After[0]),
             Caller);
      if (After.size() > 1)
        fail(fmt::format("flow {} has two holders afterwards", Caller), Caller);
    }
  }

  /// Flows that a fault touched: they may be started anew elsewhere.
  std::set<FlowKey> Touched;
  void touchFlowsOf(const std::string &Name) {
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller)
      if (C.Agents.at(Name).Core->holderOf(FakeCluster::flowOf(Caller)) ==
          agentId(Name))
        Touched.insert(FakeCluster::flowOf(Caller));
  }
  void touchAll() {
    for (uint32_t Caller = 0; Caller < CallerCount; ++Caller)
      Touched.insert(FakeCluster::flowOf(Caller));
  }

private:
  std::map<std::string, uint64_t> Versions_;
  std::set<std::string> Leaving_;
  /// What was done, for the report of a failure; Flow 0 concerns all.
  struct Entry {
    TimePoint At;
    uint32_t Caller;
    std::string What;
  };
  std::vector<Entry> Story_;

  std::string nameOf(AgentId Id) const {
    for (const auto &[Name, Agent] : C.Agents)
      if (agentId(Name) == Id)
        return Name;
    return "-";
  }

  void fail(const std::string &What, uint32_t Caller = 0) {
    if (!Broken.empty())
      return;
    Broken = fmt::format("{} ({} ms, event {})", What,
                         C.Now.time_since_epoch() / 1ms, C.Events);
    for (const Entry &E : Story_)
      if (E.Caller == Caller || E.Caller == AllCallers)
        Broken +=
            fmt::format("\n{:>9} {}", E.At.time_since_epoch() / 1ms, E.What);
  }

  void check() {
    for (const auto &[Name, Agent] : C.Agents) {
      if (!Agent.Alive)
        continue;
      if (Agent.Core->size() > Connections)
        fail(Name + " holds more flows than it may");
      uint64_t &Last = Versions_[Name];
      const uint64_t Version = Agent.Core->roster().Version;
      if (Version < Last && Version != 0)
        fail(Name + " went back to an older roster");
      Last = Version;
    }
    // All flows from time to time, one flow each time.
    const auto Caller = static_cast<uint32_t>(C.Events % CallerCount);
    const FlowKey Flow = FakeCluster::flowOf(Caller);
    if (Touched.contains(Flow))
      return;
    if (C.holders(Flow).size() > 1)
      fail(fmt::format("flow {} is held twice: {} {}", Caller,
                       C.holders(Flow)[0], C.holders(Flow)[1]),
           Caller);
    if (C.GivenUp.contains(Flow))
      fail(fmt::format("flow {} was given up without a fault", Caller), Caller);
  }

  void onAction(const FakeAgent &A, const AgentAction &Action) {
    const auto *E = std::get_if<Event>(&Action);
    if (E && E->Kind != EventKind::PacketDropped)
      tell(E->Flow == FlowKey{} ? AllCallers : E->Flow.Caller.Ip & 0xffffff,
           fmt::format("{} {} {} {}", A.Identity.Self.Name,
                       dragonflystall::name(E->Kind), nameOf(E->Agent),
                       E->Value));
    if (E && E->Kind == EventKind::FlowPlaced && !Touched.contains(E->Flow) &&
        !C.holders(E->Flow).empty() &&
        C.holders(E->Flow)[0] != A.Identity.Self.Name &&
        agentId(C.holders(E->Flow)[0]) != E->Agent)
      fail(fmt::format("flow {} is placed at another agent while {} holds it",
                       E->Flow.Caller.Ip & 0xffffff, C.holders(E->Flow)[0]),
           E->Flow.Caller.Ip & 0xffffff);
  }
};

/// Joins, leaves, restarts of empty agents, store outages, lost answers,
/// uneven rosters, delays, duplicates and reordering: no flow suffers.
void plannedChanges(RandomRun &R, unsigned Steps) {
  R.startAll();
  for (unsigned Step = 0; Step < Steps && R.Broken.empty(); ++Step) {
    R.C.Trouble.WatchDelay = R.C.Rng() % 2 ? 3s : 20ms;
    R.C.Trouble.MostDelay = R.C.Rng() % 4 ? 4ms : 40ms;
    R.C.Trouble.DuplicatePerMille = R.C.Rng() % 2 ? 50 : 0;
    R.C.Trouble.DropPerMille = R.C.Rng() % 3 ? 0 : 20;
    R.C.Trouble.StoreDown = R.C.Rng() % 4 == 0;
    R.C.Trouble.LostAnswerPerMille = R.C.Rng() % 3 ? 0 : 300;
    const auto Pick = static_cast<unsigned>(R.C.Rng() % AgentCount);
    const std::string Name = RandomRun::name(Pick);
    if (!R.C.Agents.at(Name).Alive)
      R.startAgent(Pick);
    else if (R.C.Agents.at(Name).Core->empty())
      R.kill(Name);
    else if (R.C.Rng() % 2 && R.serving() > LeastServing)
      R.leave(Name);
    R.traffic(Duration(R.C.Rng() % 4'000'000'000));
  }
}

/// The same, and kills, pauses, lost control messages and zones out.
void faults(RandomRun &R, unsigned Steps) {
  R.touchAll();
  R.startAll();
  for (unsigned Step = 0; Step < Steps && R.Broken.empty(); ++Step) {
    R.C.Trouble.WatchDelay = R.C.Rng() % 2 ? 3s : 20ms;
    R.C.Trouble.MostDelay = R.C.Rng() % 4 ? 4ms : 400ms;
    R.C.Trouble.DuplicatePerMille = R.C.Rng() % 2 ? 50 : 0;
    R.C.Trouble.DropPerMille = R.C.Rng() % 3 ? 0 : 100;
    R.C.Trouble.ControlDropPerMille = R.C.Rng() % 3 ? 0 : 100;
    R.C.Trouble.StoreDown = R.C.Rng() % 3 == 0;
    R.C.Trouble.LostAnswerPerMille = R.C.Rng() % 3 ? 0 : 300;
    const auto Pick = static_cast<unsigned>(R.C.Rng() % AgentCount);
    const std::string Name = RandomRun::name(Pick);
    const FakeAgent &Agent = R.C.Agents.at(Name);
    switch (R.C.Rng() % 6) {
    case 0:
      if (!Agent.Alive || Agent.Core->empty())
        R.startAgent(Pick);
      break;
    case 1:
      R.kill(Name);
      break;
    case 2:
    case 3:
      R.pause(Name, Duration(R.C.Rng() % 20'000'000'000));
      break;
    case 4:
      R.leave(Name);
      break;
    default:
      R.C.Wanted.Zones[Pick % 3].Out = !R.C.Wanted.Zones[Pick % 3].Out;
      R.tell(RandomRun::AllCallers,
             fmt::format("zone {} out={}", Pick % 3,
                         R.C.Wanted.Zones[Pick % 3].Out));
      R.C.publishSettings();
    }
    R.traffic(Duration(R.C.Rng() % 4'000'000'000));
  }
}

void bringBack(RandomRun &R) {
  for (ZoneSettings &Zone : R.C.Wanted.Zones)
    Zone.Out = false;
  R.C.Trouble = {};
  R.C.publishSettings();
  for (unsigned I = 0; I < AgentCount; ++I)
    if (!R.C.Agents.at(RandomRun::name(I)).Alive ||
        R.C.Agents.at(RandomRun::name(I)).Core->empty())
      R.startAgent(I);
  R.C.run(90s);
}

class FlowsRandom
    : public testing::TestWithParam<void (*)(RandomRun &, unsigned)> {};

TEST_P(FlowsRandom, PromisesHold) {
  constexpr uint64_t RunsInCi = 12;
  constexpr unsigned Steps = 25;
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", RunsInCi);
  uint64_t Events = 0;
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    RandomRun R(Seed);
    GetParam()(R, Steps);
    if (R.Broken.empty())
      bringBack(R);
    if (R.Broken.empty())
      R.checkQuiet();
    Events += R.C.Events;
    ASSERT_EQ(R.Broken, "") << "seed " << Seed;
  }
  fmt::print("{} events\n", Events);
}

INSTANTIATE_TEST_SUITE_P(PlannedChanges, FlowsRandom,
                         testing::Values(plannedChanges));
INSTANTIATE_TEST_SUITE_P(Faults, FlowsRandom, testing::Values(faults));

} // namespace
} // namespace dragonflystall::test
