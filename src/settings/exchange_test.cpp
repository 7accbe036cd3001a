// Processes that exchange settings with each other while the platform is not
// reachable, in virtual time, with delayed, lost and duplicated messages.
#include "settings/exchange.h"
#include "types/environment_test.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace dragonflystall {
namespace {

constexpr Duration Period = 1s;
constexpr Duration MaxLatency = 400ms;
constexpr uint64_t DefaultSeed = 20261204;
constexpr uint64_t DefaultRuns = 20;

struct Process {
  SettingsView View;
  std::unique_ptr<SettingsExchange> Exchange;
  Endpoint Address;
  bool Disconnected = false; ///< Sends and receives no messages.
};

class Cluster {
public:
  Cluster(uint32_t Count, uint64_t Seed) : Random_(Seed) {
    for (uint32_t I = 0; I < Count; ++I)
      add();
  }

  Process &add() {
    const auto Number = static_cast<uint32_t>(Processes_.size() + 1);
    auto P = std::make_unique<Process>();
    P->Address = {0x0a000000 + Number, 7001};
    P->Exchange = std::make_unique<SettingsExchange>(
        P->View, AgentRef{AgentId{Number}, Incarnation{1}}, P->Address,
        Random_());
    Processes_.push_back(std::move(P));
    return *Processes_.back();
  }

  Process &at(size_t Index) { return *Processes_[Index]; }
  size_t size() const { return Processes_.size(); }
  void setDrops(uint32_t Percent) { DropPercent_ = Percent; }
  uint64_t bytes() const { return Bytes_; }

  /// Runs rounds of one period each; message latency is at most MaxLatency.
  void run(int Rounds) {
    for (int I = 0; I < Rounds; ++I) {
      for (auto &P : Processes_)
        P->Exchange->tick(peersOf(*P), senderOf(*P));
      deliverUntil(Now_ + Period);
    }
  }

  bool allAgree() const {
    for (const auto &P : Processes_)
      if (*P->View.current() != *Processes_[0]->View.current())
        return false;
    return true;
  }

private:
  std::vector<Endpoint> peersOf(const Process &Receiver) const {
    std::vector<Endpoint> Peers;
    for (const auto &P : Processes_)
      if (P.get() != &Receiver)
        Peers.push_back(P->Address);
    return Peers;
  }

  SettingsExchange::Sender senderOf(const Process &From) {
    return [this, &From](Endpoint To, const wire::ControlMessage &Value) {
      Bytes_ += Value.ByteSizeLong();
      const int Copies = Random_() % 100 < DropPercent_ ? 0
                         : Random_() % 20 == 0          ? 2
                                                        : 1;
      for (int I = 0; I < Copies && !From.Disconnected; ++I)
        InFlight_.emplace(Now_ + jitter(Random_, MaxLatency),
                          std::pair(To, Value));
    };
  }

  void deliverUntil(TimePoint End) {
    while (!InFlight_.empty() && InFlight_.begin()->first <= End) {
      Now_ = InFlight_.begin()->first;
      const auto [To, Value] = InFlight_.begin()->second;
      InFlight_.erase(InFlight_.begin());
      Process &P = at(To.Ip - 0x0a000000 - 1);
      std::vector<Event> Events;
      const uint64_t Before = P.View.version();
      if (!P.Disconnected)
        P.Exchange->onPeer(Value, senderOf(P), Events);
      EXPECT_GE(P.View.version(), Before);
    }
    Now_ = End;
  }

  static Duration jitter(Random &Source, Duration Max) {
    return Duration(
        static_cast<int64_t>(Source() % static_cast<uint64_t>(Max.count())));
  }

  Random Random_;
  std::vector<std::unique_ptr<Process>> Processes_;
  std::multimap<TimePoint, std::pair<Endpoint, wire::ControlMessage>> InFlight_;
  TimePoint Now_{};
  uint32_t DropPercent_ = 0;
  uint64_t Bytes_ = 0;
};

StoredObject zone(uint64_t Version, const char *State) {
  return {zoneKey("q"), Version,
          fmt::format(R"({{"state":"{}","networks":["10.0.1.0/24"]}})", State)};
}

TEST(Exchange, ChangeReceivedByOneProcessBeforeAnOutageReachesAll) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", DefaultSeed);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", DefaultRuns);
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    SCOPED_TRACE(Seed);
    Cluster All(30, Seed);
    All.setDrops(20);
    for (size_t I = 0; I < All.size(); ++I)
      All.at(I).View.merge({zone(1, "in")});
    All.at(7).View.merge({zone(2, "out")});
    All.run(12);
    for (size_t I = 0; I < All.size(); ++I)
      EXPECT_TRUE(All.at(I).View.current()->isZoneEvacuated("q")) << I;
  }
}

TEST(Exchange, WithoutLossAChangeReachesAllWithinTenSeconds) {
  Cluster All(100, DefaultSeed);
  for (size_t I = 0; I < All.size(); ++I)
    All.at(I).View.merge({zone(1, "in")});
  All.at(0).View.merge({zone(2, "out")});
  All.run(10);
  EXPECT_TRUE(All.allAgree());
}

TEST(Exchange, ProcessStartedDuringAnOutageGetsSettingsFromPeers) {
  Cluster All(5, DefaultSeed);
  std::vector<StoredObject> Objects = {zone(1, "in")};
  for (uint64_t I = 2; I <= 1500; ++I)
    Objects.push_back(
        {serviceKey("a", fmt::format("s{}", I)), I,
         fmt::format(R"({{"addresses":["10.8.{}.{}:1"],"zones":["q"]}})",
                     I / 256, I % 256)});
  for (size_t I = 0; I < All.size(); ++I)
    All.at(I).View.merge(Objects);
  Process &Fresh = All.add();
  All.run(20);
  EXPECT_EQ(*Fresh.View.current(), *All.at(0).View.current());
}

TEST(Exchange, ReconnectedProcessCatchesUpAndRevertsNothing) {
  Cluster All(8, DefaultSeed);
  for (size_t I = 0; I < All.size(); ++I)
    All.at(I).View.merge({zone(1, "in")});
  All.at(3).Disconnected = true;
  All.at(0).View.merge({zone(2, "out")});
  All.run(6);
  EXPECT_FALSE(All.at(3).View.current()->isZoneEvacuated("q"));
  All.at(3).Disconnected = false;
  All.run(6);
  EXPECT_TRUE(All.allAgree());
  EXPECT_TRUE(All.at(3).View.current()->isZoneEvacuated("q"));
}

TEST(Exchange, EqualProcessesSendDigestsOnly) {
  Cluster All(10, DefaultSeed);
  for (size_t I = 0; I < All.size(); ++I)
    All.at(I).View.merge({zone(1, "in")});
  All.run(3);
  const uint64_t Before = All.bytes();
  All.run(100);
  constexpr uint64_t MaxDigestBytes = 100;
  EXPECT_LE(All.bytes() - Before, 100 * All.size() * MaxDigestBytes);
}

/// Prints and bounds the bytes that a process sends; docs/design/settings.md
/// has the figures.
TEST(Exchange, BytesOfAProcessDoNotGrowWithTheNumberOfProcesses) {
  for (const uint32_t Count : {3U, 10U, 30U, 100U}) {
    Cluster All(Count, DefaultSeed);
    for (size_t I = 0; I < All.size(); ++I)
      All.at(I).View.merge({zone(1, "in")});
    All.run(10);
    constexpr int Rounds = 100;
    uint64_t Before = All.bytes();
    All.run(Rounds);
    const uint64_t Idle = (All.bytes() - Before) / Count / Rounds;
    Before = All.bytes();
    constexpr uint64_t Changes = 100;
    for (uint64_t I = 0; I < Changes; ++I) {
      All.at(I % Count).View.merge({zone(2 + I, I % 2 ? "in" : "out")});
      All.run(1);
    }
    All.run(10);
    EXPECT_TRUE(All.allAgree());
    const uint64_t Busy = (All.bytes() - Before) / Count / Changes;
    fmt::print("{:>3} processes: {} bytes/s each idle, {} at one change/s\n",
               Count, Idle, Busy);
    EXPECT_LE(Idle, 100U);
    EXPECT_LE(Busy, 1500U);
  }
}

} // namespace
} // namespace dragonflystall
