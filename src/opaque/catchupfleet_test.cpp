// A fleet whose serializable reads of the store are seconds old, in virtual
// time: how long after a change its processes have it.
#include "opaque/catchup.h"
#include "opaque/storereaders.h"
#include "types/environment_test.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>

namespace dragonflystall::opaque::test {
namespace {

constexpr Duration Tick = 10ms;
/// The processes act each tenth of a second.
constexpr int TicksPerPoll = 10;
constexpr Duration PingInterval = 500ms;
/// A call, with the time in which the other process is busy with others.
constexpr Duration RoundTrip = 60ms;
constexpr Duration FetchTimeout = 1s;
/// The users' bound from the acknowledgement of a version.
constexpr Duration ApplyBound = 3s;

/// What troubles a process.
enum class Trouble : uint8_t {
  None,
  Frozen,     ///< Does nothing; connections to it are accepted.
  Restarting, ///< Has ended, and starts again later.
  Refused,    ///< The store answers none of its calls.
};

struct Process {
  Endpoint Http;
  Trouble State = Trouble::None;
  int Phase = 0; ///< Of its polls, in ticks.
  int64_t Version = 1;
  bool IsPrimary = false;
  TimePoint NextPing{};
  CatchUp Peers;
  PingingBalancers Heard; ///< Of an agent.

  ConfigVersions versions() const { return {Version, {}, 0}; }
  bool runs() const {
    return State == Trouble::None || State == Trouble::Refused;
  }
};

struct Fleet {
  Random Rng;
  Duration Staleness;
  double Loss = 0.02;
  TimePoint Now{100s};
  TimePoint ChangedAt{};
  std::deque<Process> Balancers;
  std::deque<Process> Agents;
  std::multimap<TimePoint, std::function<void()>> Events;
  size_t Fetches = 0;

  Fleet(uint64_t Seed, size_t BalancerCount, size_t AgentCount,
        Duration StaleBy)
      : Rng(Seed), Staleness(StaleBy) {
    for (size_t I = 0; I < BalancerCount; ++I)
      add(Balancers, 0x0a020000 + static_cast<uint32_t>(I));
    for (size_t I = 0; I < AgentCount; ++I)
      add(Agents, 0x0a010000 + static_cast<uint32_t>(I));
  }
  void add(std::deque<Process> &Kind, uint32_t Ip) {
    Process &P = Kind.emplace_back();
    P.Http = {Ip, 7720};
    P.Phase = static_cast<int>(Rng() % TicksPerPoll);
    P.NextPing = Now + Tick * static_cast<int>(Rng() % 50);
  }
  void trouble(std::deque<Process> &Kind, Trouble State, double Share) {
    for (Process &P : Kind)
      if (chance(Rng, Share))
        P.State = State;
  }
  void later(Duration Delay, std::function<void()> Callback) {
    Events.emplace(Now + Delay, std::move(Callback));
  }
  void datagram(std::function<void()> Callback) {
    if (!chance(Rng, Loss))
      later(RoundTrip / 2, std::move(Callback));
  }
  Process *at(Endpoint Http) {
    for (auto *Kind : {&Balancers, &Agents})
      for (Process &P : *Kind)
        if (P.Http == Http)
          return &P;
    return nullptr;
  }

  /// The manifest changes now; runs until all that run have it. Returns the
  /// time that this took.
  Duration change() {
    ChangedAt = Now;
    return untilEverywhere();
  }
  Duration untilEverywhere() {
    const TimePoint Begin = Now;
    while (Now - Begin < 2 * ApplyBound && !isEverywhere())
      step();
    return Now - Begin;
  }
  /// Those that have ended start again, with an old list of the store.
  void startAgain() {
    for (auto *Kind : {&Balancers, &Agents})
      for (Process &P : *Kind)
        if (P.State == Trouble::Restarting) {
          P.State = Trouble::None;
          P.Version = 1;
          P.IsPrimary = false;
          P.Peers = {};
          P.Heard = {};
          P.NextPing = Now;
        }
  }
  bool isEverywhere() const {
    const auto HasIt = [](const Process &P) {
      return !P.runs() || P.Version == 2;
    };
    return std::all_of(Balancers.begin(), Balancers.end(), HasIt) &&
           std::all_of(Agents.begin(), Agents.end(), HasIt);
  }
  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End;)
      step();
  }
  void step() {
    Now += Tick;
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
    const auto Ticks = static_cast<int>(Now.time_since_epoch() / Tick);
    for (auto *Kind : {&Balancers, &Agents})
      for (Process &P : *Kind)
        if (P.runs() && Ticks % TicksPerPoll == P.Phase)
          poll(P, Kind == &Balancers);
  }
  void poll(Process &P, bool IsBalancer) {
    readStore(P);
    if (IsBalancer && Now >= P.NextPing)
      ping(P);
    P.Heard.expire(Now);
    fetch(P);
  }
  void readStore(Process &P) {
    const bool IsKnown =
        ChangedAt != TimePoint{} &&
        Now - ChangedAt >= (P.IsPrimary ? RoundTrip : Staleness);
    if (P.State == Trouble::Refused || !IsKnown || P.Version == 2)
      return;
    P.Version = 2;
    if (P.IsPrimary)
      P.NextPing = Now;
  }
  void ping(Process &From) {
    From.NextPing = Now + PingInterval;
    for (Process &To : Agents)
      datagram([this, &From, &To, Sent = From.versions()] {
        if (To.runs())
          onPing(To, From, Sent);
      });
  }
  void onPing(Process &To, Process &From, const ConfigVersions &Sent) {
    To.Heard.onPing(From.Http, {0, From.State != Trouble::Refused}, Now);
    To.Peers.onReport(From.Http, Sent, To.versions(), Now);
    const uint32_t Rank = To.Heard.rankOf(From.Http, Now);
    datagram([this, &To, &From, Rank, Answer = To.versions()] {
      if (!From.runs())
        return;
      // Where all agents hear all balancers, they agree on the rank.
      From.IsPrimary = Rank < StoreReader::PrimaryReaders;
      From.Peers.onReport(To.Http, Answer, From.versions(), Now);
    });
  }
  void fetch(Process &P) {
    const auto Due = P.Peers.next(P.versions(), Now);
    if (!Due)
      return;
    ++Fetches;
    const Process &Asked = *at(*Due);
    if (Asked.State == Trouble::Frozen)
      return later(FetchTimeout,
                   [this, &P, Due] { P.Peers.onFailure(*Due, Now); });
    later(RoundTrip, [this, &P, &Asked, Due] {
      if (!Asked.runs())
        return P.Peers.onFailure(*Due, Now);
      P.Version = std::max(P.Version, Asked.Version);
      P.Peers.onAnswer(*Due, P.versions(), Now);
    });
  }
};

struct Size {
  size_t Balancers;
  size_t Agents;
};
constexpr std::array<Size, 5> Sizes = {
    {{2, 2}, {4, 10}, {12, 4}, {59, 136}, {100, 200}}};

// Guards against waits that add up to more than the users' bound: watch, ping,
// the wait before a fetch, and the fetch, once at agents and once at balancers.
TEST(CatchUpOfAFleet, AChangeIsEverywhereInTimeThoughMostReadsAreOld) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 3);
  for (const Size &S : Sizes)
    for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
      Fleet F(Seed, S.Balancers, S.Agents, 8s);
      F.run(3s);
      EXPECT_LE(F.change(), ApplyBound)
          << S.Balancers << "+" << S.Agents << " seed " << Seed;
    }
}

// The same while a part of the peers that were heard of a moment ago are
// frozen, have ended, or can't reach the store.
TEST(CatchUpOfAFleet, AChangeIsEverywhereInTimeWhileSomePeersAreInTrouble) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 3);
  for (const Size &S : Sizes)
    for (uint64_t Seed = First; Seed < First + Runs; ++Seed)
      for (const Trouble State :
           {Trouble::Frozen, Trouble::Restarting, Trouble::Refused}) {
        Fleet F(Seed, S.Balancers, S.Agents, 8s);
        F.run(3s);
        F.trouble(F.Agents, State, 0.2);
        F.trouble(F.Balancers, State, 0.2);
        // One reader that is not in trouble, so that the change is known.
        const auto Reader =
            std::find_if(F.Balancers.begin(), F.Balancers.end(),
                         [](const Process &P) { return P.IsPrimary; });
        Reader->State = Trouble::None;
        if (std::none_of(F.Agents.begin(), F.Agents.end(),
                         [](const Process &P) { return P.runs(); }))
          F.Agents.front().State = Trouble::None;
        EXPECT_LE(F.change(), ApplyBound)
            << S.Balancers << "+" << S.Agents << " seed " << Seed << " trouble "
            << static_cast<int>(State);
        F.startAgain();
        EXPECT_LE(F.untilEverywhere(), ApplyBound)
            << S.Balancers << "+" << S.Agents << " seed " << Seed;
      }
}

// Guards against a fleet in which nobody reads linearizably: those that did are
// frozen, or turned away by the store.
TEST(CatchUpOfAFleet, OtherReadersTakeOver) {
  for (const Size &S : Sizes)
    for (const Trouble State : {Trouble::Frozen, Trouble::Refused}) {
      if (S.Balancers <= StoreReader::PrimaryReaders)
        continue;
      Fleet F(1, S.Balancers, S.Agents, 8s);
      F.run(3s);
      for (Process &P : F.Balancers)
        if (P.IsPrimary)
          P.State = State;
      F.run(3s);
      EXPECT_LE(F.change(), ApplyBound)
          << S.Balancers << "+" << S.Agents << " trouble "
          << static_cast<int>(State);
    }
}

// Guards against a fetch by each process for each change while the store's
// reads are fresh.
TEST(CatchUpOfAFleet, NobodyFetchesWhileTheWatchesAreInTime) {
  Fleet F(1, 20, 60, CatchUp::WatchDelay);
  F.run(3s);
  F.change();
  F.run(2s);
  EXPECT_EQ(F.Fetches, 0U);
}

} // namespace
} // namespace dragonflystall::opaque::test
