// Random runs of evacuations while the store comes back from copies, again and
// again. Guards against an evacuation that ends before operators could write it
// again, and against one that never ends.
#include "opaque/evacuatedzones.h"
#include "types/environment_test.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>

namespace dragonflystall::opaque::test {
namespace {

using Zones = std::set<std::string>;

/// Operators, the store, and processes that read it and hear of each other.
class EvacuationRun {
public:
  explicit EvacuationRun(uint64_t Seed) : Rng_(Seed), Processes_(4) {}

  void step() {
    switch (Rng_() % 12) {
    case 0:
      restore();
      break;
    case 1:
      Copy_ = Store_;
      break;
    case 2:
      changeZone();
      break;
    case 3:
      writeAgain();
      break;
    case 4:
      process() = {};
      break;
    case 5:
      process().AwayUntil = Now_ + std::chrono::milliseconds(Rng_() % 15000);
      break;
    case 6:
    case 7:
      exchange(process(), process());
      break;
    default:
      if (Process &Reader = process(); !isAway(Reader))
        read(Reader);
    }
    wait(std::chrono::milliseconds(Rng_() % 500));
    if (LostSince_ && Now_ - *LostSince_ > MaxRewriteDelay)
      writeAgain();
    for (Process &P : Processes_)
      if (!isAway(P) && Now_ - P.LastRead > MaxReadDelay)
        read(P);
    check();
  }
  /// Operators have written all again, and no hold is left.
  void settle() {
    writeAgain();
    for (Process &P : Processes_) {
      P.AwayUntil = {};
      read(P);
    }
    wait(EvacuatedZones::HoldTime + 1s);
    for (const Process &P : Processes_)
      EXPECT_EQ(P.View.zones(), Wanted_);
  }

  size_t Restores = 0;
  size_t Held = 0; ///< Times at which a process held a lost zone.

private:
  static constexpr Duration MaxRewriteDelay = 7s;
  static constexpr Duration MaxReadDelay = 1500ms;

  struct StoreContent {
    StoreRevision Revision{1, 1};
    Zones Evacuated;
  };
  struct Process {
    EvacuatedZones View;
    /// Zones that it has read as evacuated and that have stayed so.
    Zones Acknowledged = {};
    TimePoint LastRead{};
    TimePoint AwayUntil{}; ///< The store does not answer it before.
  };

  bool isAway(const Process &P) const { return Now_ < P.AwayUntil; }
  Process &process() { return Processes_[Rng_() % Processes_.size()]; }
  void wait(Duration Length) {
    Now_ += Length;
    for (Process &P : Processes_)
      P.View.expire(Now_, !isAway(P));
  }
  void restore() {
    const int64_t Era = Store_.Revision.Era + 1;
    Store_ = Copy_;
    Store_.Revision.Era = Era;
    Copy_ = Store_;
    LostSince_ = LostSince_.value_or(Now_);
    ++Restores;
  }
  void write(const std::string &Zone, bool IsEvacuated) {
    const bool HasChanged = IsEvacuated ? Store_.Evacuated.insert(Zone).second
                                        : Store_.Evacuated.erase(Zone) > 0;
    Store_.Revision.Number += HasChanged;
  }
  void changeZone() {
    // Operators first write again what was lost.
    writeAgain();
    const std::string Zone = fmt::format("zone-{}", Rng_() % 3);
    const bool IsEvacuated = Wanted_.insert(Zone).second;
    if (!IsEvacuated) {
      Wanted_.erase(Zone);
      for (Process &P : Processes_)
        P.Acknowledged.erase(Zone);
    }
    write(Zone, IsEvacuated);
  }
  void writeAgain() {
    for (const char *Zone : {"zone-0", "zone-1", "zone-2"})
      write(Zone, Wanted_.count(Zone) > 0);
    LostSince_.reset();
  }
  void read(Process &Reader) {
    Reader.LastRead = Now_;
    Reader.View.offer({Store_.Revision, Store_.Evacuated}, Now_);
    for (const std::string &Zone : Store_.Evacuated)
      if (Wanted_.count(Zone) > 0)
        Reader.Acknowledged.insert(Zone);
  }
  void exchange(Process &Ours, Process &Theirs) {
    Ours.View.offer(Theirs.View.state(Now_), Now_);
  }
  void check() {
    for (const Process &P : Processes_)
      for (const std::string &Zone : P.Acknowledged) {
        EXPECT_TRUE(P.View.contains(Zone)) << Zone;
        Held += Store_.Evacuated.count(Zone) == 0;
      }
  }

  Random Rng_;
  TimePoint Now_{100s};
  Zones Wanted_; ///< By the operators.
  StoreContent Store_;
  StoreContent Copy_;
  /// Since when the store may lack what operators wrote.
  std::optional<TimePoint> LostSince_;
  std::vector<Process> Processes_;
};

TEST(EvacuationsRandom, AnAcknowledgedEvacuationOutlivesRestores) {
  const uint64_t FirstSeed = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 200);
  size_t Restores = 0;
  size_t Held = 0;
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    SCOPED_TRACE(Seed);
    EvacuationRun Run(Seed);
    for (int I = 0; I < 100 && !testing::Test::HasFailure(); ++I)
      Run.step();
    Run.settle();
    Restores += Run.Restores;
    Held += Run.Held;
  }
  EXPECT_GT(Restores, 3 * Runs);
  EXPECT_GT(Held, Runs);
}

} // namespace
} // namespace dragonflystall::opaque::test
