// The link to a platform that is down, slow, busy, stale or silent, or that
// loses answers. DRAGONFLYSTALL_SEED and DRAGONFLYSTALL_RUNS make other and
// longer random runs.
#include "fakeplatform_test.h"
#include "types/environment_test.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

using test::FakePlatform;
using test::LinkedProcess;
using Result = RosterWritten::Result;

constexpr uint64_t DefaultSeed = 20261204;
constexpr uint64_t DefaultRuns = 30;
constexpr const char *ZoneIn = R"({"state":"in","networks":["10.0.1.0/24"]})";
constexpr const char *ZoneOut = R"({"state":"out","networks":["10.0.1.0/24"]})";

/// Watches that one channel makes in the time when nothing changes.
constexpr uint64_t watchesIn(Duration Time) {
  return static_cast<uint64_t>(Time / WatchWait) + 1;
}

Roster rosterOf(const std::string &Name, const std::vector<uint32_t> &Ids) {
  Roster R;
  R.Service = serviceId("a", Name);
  R.Team = "a";
  R.Name = Name;
  for (const uint32_t Id : Ids) {
    RosterEntry Entry;
    Entry.Agent = {AgentId{Id}, Incarnation{Id}};
    Entry.Name = fmt::format("agent-{}", Id);
    Entry.Zone = "q";
    Entry.Data = {0x0a000100 + Id, 7000};
    Entry.Control = {0x0a000100 + Id, 7001};
    upsert(R, Entry);
  }
  return R;
}

std::vector<Result> outcomesOf(const LinkedProcess &P) {
  std::vector<Result> Outcomes;
  for (const RosterWritten &W : P.Results)
    Outcomes.push_back(W.Outcome);
  return Outcomes;
}

TEST(LinkCore, SettingsChangesComeAtOnceAndIdleCostsTwoWatches) {
  FakePlatform World(1, DefaultSeed);
  World.put("settings/zones/q", ZoneIn);
  World.want(0, "x");
  World.run(1s);
  const uint64_t Before = World.calls();
  World.run(100s);
  EXPECT_LE(World.calls() - Before, 2 * watchesIn(100s));
  const uint64_t Version = World.put("settings/zones/q", ZoneOut);
  World.run(20ms);
  EXPECT_EQ(World.Processes[0].Settings["settings/zones/q"], Version);
}

TEST(LinkCore, ASilentWatchIsReplacedWithinItsBound) {
  FakePlatform World(1, DefaultSeed);
  World.put("settings/zones/q", ZoneIn);
  World.run(1s);
  World.silence();
  const uint64_t Version = World.put("settings/zones/q", ZoneOut);
  World.run(WatchWait + CallTimeout + BackoffBase);
  EXPECT_EQ(World.Processes[0].Settings["settings/zones/q"], Version);
  EXPECT_TRUE(World.Processes[0].saw(EventKind::PathReplaced));
}

TEST(LinkCore, AnOutageIsToldAndItsEndNoticedWithinTheBackoff) {
  FakePlatform World(1, DefaultSeed);
  World.run(1s);
  World.Faults.Down = true;
  World.run(300s);
  EXPECT_TRUE(World.Processes[0].Core->isDown());
  EXPECT_TRUE(World.Processes[0].saw(EventKind::PlatformLost));
  const uint64_t Before = World.calls();
  World.run(100s);
  EXPECT_LE(World.calls() - Before, 45U);
  World.Faults.Down = false;
  const uint64_t Version = World.put("settings/zones/q", ZoneOut);
  World.run(BackoffCap + 100ms);
  EXPECT_FALSE(World.Processes[0].Core->isDown());
  EXPECT_TRUE(World.Processes[0].saw(EventKind::PlatformBack));
  EXPECT_EQ(World.Processes[0].Settings["settings/zones/q"], Version);
}

TEST(LinkCore, AWriteWhoseAnswerIsLostIsRecognisedByItsMark) {
  FakePlatform World(1, DefaultSeed);
  World.want(0, "x");
  World.run(1s);
  World.Faults.LoseAnswersPerCent = 100;
  World.update(0, {0, rosterOf("x", {1})});
  World.run(100ms);
  World.Faults.LoseAnswersPerCent = 0;
  World.run(10s);
  EXPECT_EQ(outcomesOf(World.Processes[0]), std::vector{Result::Written});
  EXPECT_EQ(World.Processes[0].Rosters["x"].Agents.size(), 1U);
}

TEST(LinkCore, ARaceIsReportedWithWhatIsStored) {
  FakePlatform World(2, DefaultSeed);
  World.run(1s);
  World.update(0, {0, rosterOf("x", {1})});
  World.update(1, {0, rosterOf("x", {2})});
  World.run(5s);
  std::vector<Result> All = outcomesOf(World.Processes[0]);
  All.push_back(outcomesOf(World.Processes[1]).at(0));
  std::sort(All.begin(), All.end());
  EXPECT_EQ(All, (std::vector{Result::Written, Result::Conflict}));
  for (const LinkedProcess &P : World.Processes) {
    EXPECT_EQ(P.Results[0].Stored.Version, 1U);
    EXPECT_EQ(P.Results[0].Stored.Agents.size(), 1U);
  }
}

TEST(LinkCore, AWriteInAnOutageEndsAsUnknown) {
  FakePlatform World(1, DefaultSeed);
  World.run(1s);
  World.Faults.Down = true;
  World.update(0, {0, rosterOf("x", {1})});
  World.run(WriteGiveUp + BackoffCap);
  EXPECT_EQ(outcomesOf(World.Processes[0]), std::vector{Result::Unknown});
}

TEST(LinkCore, RetryAfterIsHonoured) {
  FakePlatform World(1, DefaultSeed);
  World.run(1s);
  World.Faults.BusyPerCent = 100;
  World.update(0, {0, rosterOf("x", {1})});
  World.run(20ms);
  World.Faults.BusyPerCent = 0;
  World.run(900ms);
  EXPECT_TRUE(World.Processes[0].Results.empty());
  World.run(2s);
  EXPECT_EQ(outcomesOf(World.Processes[0]), std::vector{Result::Written});
}

TEST(LinkCore, AKnownNewerVersionIsReadPastAStaleWatch) {
  FakePlatform World(1, DefaultSeed);
  World.want(0, "x");
  World.run(1s);
  World.Faults.StaleWatches = true;
  const uint64_t Version =
      World.put("rosters/a/x", rosterToJson(rosterOf("x", {1, 2})));
  World.run(1s);
  EXPECT_EQ(World.Processes[0].Rosters["x"].Version, 0U);
  World.want(0, "x", Version);
  World.run(1s);
  EXPECT_EQ(World.Processes[0].Rosters["x"].Version, Version);
}

TEST(LinkCore, AProcessOfManyServicesReadsThemOnDemand) {
  FakePlatform World(1, DefaultSeed);
  World.put("settings/zones/q", ZoneIn);
  constexpr size_t Services = 2 * MaxWatchedRosters;
  for (size_t I = 0; I < Services; ++I)
    World.put(fmt::format("rosters/a/s{}", I),
              rosterToJson(rosterOf(fmt::format("s{}", I), {1})));
  for (size_t I = 0; I < Services; ++I)
    World.want(0, fmt::format("s{}", I));
  World.run(60s);
  EXPECT_EQ(World.Processes[0].Rosters.size(), Services);
  const uint64_t Before = World.calls();
  World.run(100s);
  EXPECT_LE(World.calls() - Before, watchesIn(100s));
}

/// Every process joins the one service by read, change, conditional update,
/// as agents do, until it is listed.
void joinAll(FakePlatform &World) {
  for (size_t I = 0; I < World.Processes.size(); ++I) {
    LinkedProcess &P = World.Processes[I];
    if (P.Results.size() < P.Asked)
      continue;
    Roster Known = P.Rosters["x"];
    if (!P.Results.empty() && P.Results.back().Stored.Version > Known.Version)
      Known = P.Results.back().Stored;
    const auto Id = static_cast<uint32_t>(I + 1);
    if (Known.find(AgentId{Id}))
      continue;
    const uint64_t Expected = Known.Version;
    Roster Wanted = rosterOf("x", {Id});
    for (const RosterEntry &Entry : Known.Agents)
      upsert(Wanted, Entry);
    World.update(I, {Expected, std::move(Wanted)});
  }
}

void randomFaults(FakePlatform &World, Random &Source) {
  World.Faults = {};
  World.Faults.Down = Source() % 4 == 0;
  World.Faults.StaleWatches = Source() % 4 == 0;
  World.Faults.Slow = Source() % 4 == 0 ? Duration(800ms) : Duration{};
  World.Faults.LoseAnswersPerCent = Source() % 2 ? 30 : 0;
  World.Faults.LateWritesPerCent = Source() % 2 ? 30 : 0;
  World.Faults.BusyPerCent = Source() % 3 == 0 ? 40 : 0;
  if (Source() % 3 == 0)
    World.silence();
  for (size_t I = 0; I < World.Processes.size(); ++I)
    World.setWatching(I, Source() % 4 != 0);
}

TEST(LinkCore, RandomFaultsNeverDoubleAWriteOrLeaveAnyoneBehind) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", DefaultSeed);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", DefaultRuns);
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    SCOPED_TRACE(Seed);
    constexpr size_t Agents = 6;
    FakePlatform World(Agents, Seed);
    Random Source(Seed);
    uint64_t Version = World.put("settings/zones/q", ZoneIn);
    for (size_t I = 0; I < Agents; ++I)
      World.want(I, "x");
    for (int Phase = 0; Phase < 20; ++Phase) {
      randomFaults(World, Source);
      for (int I = 0; I < 6; ++I) {
        World.run(jitter(Source, 2s));
        joinAll(World);
      }
      if (Source() % 3 == 0)
        Version = World.put("settings/zones/q", Phase % 2 ? ZoneIn : ZoneOut);
    }
    World.Faults = {};
    for (size_t I = 0; I < Agents; ++I)
      World.setWatching(I, true);
    for (int I = 0; I < 40; ++I) {
      World.run(1s);
      joinAll(World);
    }
    for (const LinkedProcess &P : World.Processes) {
      EXPECT_EQ(P.Settings.at("settings/zones/q"), Version);
      EXPECT_EQ(P.Rosters.at("x").Agents.size(), Agents);
      EXPECT_EQ(P.Results.size(), P.Asked);
      EXPECT_FALSE(P.Core->isDown());
    }
  }
}

TEST(LinkCore, AProcessThatDoesNotWatchCallsRarelyAndStillMissesNothing) {
  FakePlatform World(1, DefaultSeed);
  World.put("settings/zones/q", ZoneIn);
  World.want(0, "x");
  World.run(20s);
  World.setWatching(0, false);
  const uint64_t Before = World.calls();
  const uint64_t Version = World.put("settings/zones/q", ZoneOut);
  World.run(BackstopPeriod * 2);
  EXPECT_LE(World.calls() - Before, 2U);
  EXPECT_EQ(World.Processes[0].Settings["settings/zones/q"], Version);
  const uint64_t Known =
      World.put("rosters/a/x", rosterToJson(rosterOf("x", {1})));
  World.want(0, "x", Known);
  World.run(1s);
  EXPECT_EQ(World.Processes[0].Rosters["x"].Version, Known);
  World.setWatching(0, true);
  World.run(1s);
  const uint64_t Newest = World.put("settings/zones/q", ZoneIn);
  World.run(20ms);
  EXPECT_EQ(World.Processes[0].Settings["settings/zones/q"], Newest);
}

/// Calls on the platform, which docs/design/platform.md quotes.
TEST(LinkCore, CallsGrowAsTheProcessesAndTheChanges) {
  for (const size_t Count : {3U, 10U, 30U, 100U}) {
    FakePlatform World(Count, DefaultSeed);
    World.put("settings/zones/q", ZoneIn);
    for (size_t I = 0; I < Count; ++I)
      World.want(I, "x");
    World.run(20s);
    uint64_t Before = World.calls();
    World.run(1000s);
    const uint64_t Idle = World.calls() - Before;
    Before = World.calls();
    constexpr int Changes = 500;
    for (int I = 0; I < Changes; ++I) {
      World.put("settings/zones/q", I % 2 ? ZoneIn : ZoneOut);
      World.run(2s);
    }
    const uint64_t Busy = World.calls() - Before;
    fmt::print("{:>3} processes: {:.2f} calls/s idle, {:.2f} at one change "
               "in 2 s\n",
               Count, static_cast<double>(Idle) / 1000,
               static_cast<double>(Busy) / 1000);
    EXPECT_LE(Idle, Count * 2 * watchesIn(1000s));
    EXPECT_LE(Busy, Count * (Changes + watchesIn(1000s)));
  }
}

TEST(LinkCore, TheSameSeedGivesTheSameRun) {
  const auto Signature = [] {
    FakePlatform World(3, DefaultSeed);
    World.Faults.LoseAnswersPerCent = 40;
    World.put("settings/zones/q", ZoneIn);
    for (size_t I = 0; I < 3; ++I)
      World.want(I, "x");
    std::string Out;
    for (int I = 0; I < 30; ++I) {
      World.run(700ms);
      joinAll(World);
      for (const LinkedProcess &P : World.Processes)
        Out += fmt::format("{},{},{};", P.Core->calls(), P.Results.size(),
                           P.Calls.back().time_since_epoch().count());
    }
    return Out;
  };
  EXPECT_EQ(Signature(), Signature());
}

} // namespace
} // namespace dragonflystall
