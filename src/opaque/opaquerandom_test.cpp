// Balancers and agents of opaque flows in a simulation with random faults.
#include "opaque/opaquesimulation_test.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

/// Runs the simulation with random events: balancers and agents restart,
/// upstreams restart and drain, zones are evacuated and restored, routes are
/// dropped and added, packets are lost.
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : Sim(Seed) {
    for (int I = 0; I < 5; ++I)
      Sim.addHost("desk");
    for (int I = 0; I < 3; ++I)
      Sim.addHost("print");
    for (int I = 0; I < 3; ++I)
      Sim.addBalancer();
    Sim.Loss = 0.01;
    Sim.run(20s);
  }

  Simulation Sim;
  size_t Answered = 0;

  void step() {
    switch (Sim.Rng() % 16) {
    case 0:
      Sim.startBalancer(balancer());
      break;
    case 1: {
      FakeHost &Host = host();
      if (Host.Running)
        Sim.startAgent(Host);
      break;
    }
    case 2:
      host().Running = false;
      break;
    case 3:
    case 4: {
      FakeHost &Host = host();
      if (!Host.Running)
        Sim.startAgent(Host);
      break;
    }
    case 5:
      Sim.restartUpstream(host());
      break;
    case 6: {
      FakeHost &Host = host();
      Host.LocalUpstream.Draining = true;
      Sim.beat(Host);
      break;
    }
    case 7:
      evacuate();
      break;
    case 8:
      toggleRoute();
      break;
    case 9:
      host().LocalUpstream.FailsOfTen = Sim.Rng() % 2 ? 0 : Sim.Rng() % 10;
      break;
    default:
      traffic();
    }
    Sim.run(std::chrono::milliseconds(Sim.Rng() % 300));
  }

private:
  FakeHost &host() { return Sim.Hosts[Sim.Rng() % Sim.Hosts.size()]; }
  FakeBalancer &balancer() {
    return Sim.Balancers[Sim.Rng() % Sim.Balancers.size()];
  }
  void evacuate() {
    Evacuations Out;
    Out.Revision.Number = ++Revision_;
    if (Sim.Rng() % 2)
      Out.Zones.insert("zone-1");
    for (FakeHost &Host : Sim.Hosts) {
      Host.Config.evacuations().offer(Out, Sim.Now);
      Host.UpstreamState->onEvacuationsChanged();
    }
  }
  void toggleRoute() {
    if (Sim.SharedManifest.Routes.erase(PrintRoute) == 0)
      Sim.SharedManifest.Routes[PrintRoute] = {{{"print", 1}}, 3s, 2};
    Sim.publish();
  }
  void traffic() {
    for (int I = 0; I < 5; ++I)
      Flows_.push_back(
          Sim.open(balancer(), Sim.Rng() % 3 ? DeskRoute : PrintRoute));
    for (int I = 0; I < 5; ++I) {
      const FlowId &Flow = Flows_[Sim.Rng() % Flows_.size()];
      Sim.sendData(balancer(), Flow, ++Sequence_);
      Sim.run(20ms);
      Answered += Sim.Callers[Flow].Answered;
    }
  }

  std::vector<FlowId> Flows_;
  uint32_t Sequence_ = 1000;
  int64_t Revision_ = 1;
};

TEST(OpaqueRandom, InvariantsHold) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 20);
  size_t Answered = 0;
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    RandomRun Run(Seed);
    for (int I = 0; I < 300 && Run.Sim.BrokenInvariant.empty(); ++I)
      Run.step();
    EXPECT_EQ(Run.Sim.BrokenInvariant, "") << "seed " << Seed;
    Answered += Run.Answered;
  }
  // The runs test little unless requests are answered despite the faults.
  EXPECT_GT(Answered, 100 * Runs);
}

} // namespace
} // namespace dragonflystall::opaque::test
