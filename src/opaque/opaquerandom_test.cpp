// Balancers and agents of opaque flows in a simulation with random faults.
#include "opaque/opaqueworld_test.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {
namespace {

/// Runs the simulation with random events: balancers and agents restart,
/// upstreams restart and drain, zones are evacuated and restored, routes are
/// dropped and added, packets are lost.
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : W(Seed) {
    for (int I = 0; I < 5; ++I)
      W.addHost("desk");
    for (int I = 0; I < 3; ++I)
      W.addHost("print");
    for (int I = 0; I < 3; ++I)
      W.addBalancer();
    W.Loss = 0.01;
    W.run(20s);
  }

  World W;
  size_t Answered = 0;

  void step() {
    switch (W.Rng() % 16) {
    case 0:
      W.startBalancer(balancer());
      break;
    case 1: {
      FakeHost &H = host();
      if (H.Running)
        W.startAgent(H);
      break;
    }
    case 2:
      host().Running = false;
      break;
    case 3:
    case 4: {
      FakeHost &H = host();
      if (!H.Running)
        W.startAgent(H);
      break;
    }
    case 5:
      W.restartUpstream(host());
      break;
    case 6: {
      FakeHost &H = host();
      H.Up.Draining = true;
      W.beat(H);
      break;
    }
    case 7:
      evacuate();
      break;
    case 8:
      toggleRoute();
      break;
    case 9:
      host().Up.FailsOfTen = W.Rng() % 2 ? 0 : W.Rng() % 10;
      break;
    default:
      traffic();
    }
    W.run(std::chrono::milliseconds(W.Rng() % 300));
  }

private:
  FakeHost &host() { return W.Hosts[W.Rng() % W.Hosts.size()]; }
  FakeBalancer &balancer() { return W.Balancers[W.Rng() % W.Balancers.size()]; }
  void evacuate() {
    Evacuations Out;
    Out.Revision = ++Revision_;
    if (W.Rng() % 2)
      Out.Zones.insert("zone-1");
    for (FakeHost &H : W.Hosts) {
      H.Config.offer(Out);
      H.UpstreamState->onEvacuationsChanged();
    }
  }
  void toggleRoute() {
    if (W.Shared.Routes.erase(PrintRoute) == 0)
      W.Shared.Routes[PrintRoute] = {"print", 3s, 2};
    W.publish();
  }
  void traffic() {
    for (int I = 0; I < 5; ++I)
      Flows_.push_back(
          W.open(balancer(), W.Rng() % 3 ? DeskRoute : PrintRoute));
    for (int I = 0; I < 5; ++I) {
      const FlowId &Flow = Flows_[W.Rng() % Flows_.size()];
      W.sendData(balancer(), Flow, ++Sequence_);
      W.run(20ms);
      Answered += W.Callers[Flow].Answered;
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
    for (int I = 0; I < 300 && Run.W.BrokenInvariant.empty(); ++I)
      Run.step();
    EXPECT_EQ(Run.W.BrokenInvariant, "") << "seed " << Seed;
    Answered += Run.Answered;
  }
  // The runs test little unless requests are answered despite the faults.
  EXPECT_GT(Answered, 100 * Runs);
}

} // namespace
} // namespace dragonflystall::opaque::test
