// Zones that are evacuated and return with cold upstreams, while agents and
// balancers restart. Guards against review/7: an agent that has just started
// takes a warm-up for a start, and denies the flows that its upstream holds.
#include "opaque/opaquesimulation_test.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

const std::string Zone = "zone-1";

/// Rounds of planned work around one zone.
class ColdZoneRun {
public:
  explicit ColdZoneRun(uint64_t Seed) : Sim(Seed) {
    for (const char *Service : {"desk", "print"})
      Sim.SharedManifest.Services[Service] = {0, ColdLength};
    for (int I = 0; I < 6; ++I)
      Sim.addHost(I < 4 ? "desk" : "print");
    for (int I = 0; I < 3; ++I)
      Sim.addBalancer();
    Sim.run(20s);
  }

  /// The zone is taken out and back; its agents restart around the moment when
  /// its upstreams become cold. Afterwards all balancers restart, so that only
  /// agents know the holders of flows.
  void playRound() {
    openFlows(30);
    evacuate(true);
    Sim.run(5s);
    const TimePoint ColdAt = Sim.Now + 1s;
    std::multimap<TimePoint, std::function<void()>> Plan;
    for (FakeHost &Host : Sim.Hosts)
      if (Host.Entry.Zone == Zone)
        Plan.emplace(ColdAt - 900ms + upTo(1200),
                     [&] { Sim.startAgentUnheard(Host); });
    Plan.emplace(ColdAt, [this] { becomeCold(); });
    Plan.emplace(ColdAt + upTo(1500), [this] { evacuate(false); });
    for (const auto &[At, Action] : Plan) {
      Sim.run(At - Sim.Now);
      Action();
    }
    openFlows(10);
    Sim.run(4s);
    for (FakeBalancer &Balancer : Sim.Balancers)
      Sim.startBalancer(Balancer);
    Sim.run(500ms);
    useFlows();
  }

  Simulation Sim;
  size_t Used = 0;
  size_t Answered = 0;

private:
  static constexpr Duration ColdLength = 2s;

  Duration upTo(int Milliseconds) {
    return std::chrono::milliseconds(Sim.Rng() % (Milliseconds + 1));
  }
  FakeBalancer &balancer() {
    return Sim.Balancers[Sim.Rng() % Sim.Balancers.size()];
  }
  void openFlows(int Count) {
    for (int I = 0; I < Count; ++I) {
      const FlowId Flow =
          Sim.open(balancer(), Sim.Rng() % 3 ? DeskRoute : PrintRoute);
      // Others found no room.
      if (Sim.Callers[Flow].Answered)
        Flows_.push_back(Flow);
    }
  }
  void evacuate(bool IsOut) {
    Evacuations_.Revision.Number += 1;
    Evacuations_.Zones.clear();
    if (IsOut)
      Evacuations_.Zones.insert(Zone);
    Sim.StoredEvacuations = Evacuations_;
    for (FakeHost &Host : Sim.Hosts) {
      Host.Config.evacuations().offer(Evacuations_, Sim.Now);
      Host.UpstreamState->onEvacuationsChanged();
    }
  }
  void becomeCold() {
    for (FakeHost &Host : Sim.Hosts)
      if (Host.Entry.Zone == Zone)
        Host.LocalUpstream.ColdUntil = Sim.Now + ColdLength;
  }
  void useFlows() {
    for (const FlowId &Flow : Flows_) {
      // A flow may be dropped while its packet is on the way, too.
      if (!Sim.holder(Flow) || Sim.Callers[Flow].isExpired(Sim.Now + 1s))
        continue;
      Sim.sendData(balancer(), Flow, ++Sequence_);
      Sim.run(100ms);
      ++Used;
      Answered += Sim.Callers[Flow].Answered;
    }
  }

  std::vector<FlowId> Flows_;
  Evacuations Evacuations_{{1, 1}, {}, {}};
  uint32_t Sequence_ = 1000;
};

TEST(ColdZonesRandom, NoOpenFlowIsReset) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 20);
  size_t Used = 0;
  size_t Answered = 0;
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    ColdZoneRun Run(Seed);
    for (int I = 0; I < 4 && Run.Sim.BrokenInvariant.empty(); ++I)
      Run.playRound();
    EXPECT_EQ(Run.Sim.BrokenInvariant, "") << "seed " << Seed;
    Used += Run.Used;
    Answered += Run.Answered;
  }
  // The runs test little unless open flows are used and found.
  EXPECT_GT(Used, 50 * Runs);
  EXPECT_GT(Answered * 10, Used * 9);
}

} // namespace
} // namespace dragonflystall::opaque::test
