// Routes that name several services, and open flows that outlive a change of
// their route.
#include "opaque/opaquefixture_test.h"
#include "types/environment_test.h"

namespace dragonflystall::opaque::test {
namespace {

using Services = std::vector<WeightedService>;

FlowId flow(uint32_t Number) {
  return {{0x64000000 + Number, static_cast<uint16_t>(1024 + Number % 60000)},
          DeskRoute};
}

/// The share of 10,000 flows that prefer each service of the route.
std::map<std::string, double> sharesOf(const Route &R) {
  constexpr uint32_t Flows = 10'000;
  std::map<std::string, double> Shares;
  for (uint32_t I = 0; I < Flows; ++I)
    Shares[R.preferenceOf(hashOf(flow(I))).front()->Name] += 1.0 / Flows;
  return Shares;
}

// Guards against a route whose flows all go to its heaviest service.
TEST(WeightedRoute, FlowsAreSharedOutByWeight) {
  const std::vector<Services> Splits = {{{"a", 90}, {"b", 10}},
                                        {{"a", 1}, {"b", 1}, {"c", 2}},
                                        {{"a", 0.5}, {"b", 99.5}}};
  for (const Services &Split : Splits) {
    double Total = 0;
    for (const WeightedService &S : Split)
      Total += S.Weight;
    auto Shares = sharesOf({Split, 1s, 1});
    for (const WeightedService &S : Split)
      EXPECT_NEAR(Shares[S.Name], S.Weight / Total, 0.01) << S.Name;
  }
}

TEST(WeightedRoute, AServiceOfWeightZeroTakesNoNewFlows) {
  const Route R = {{{"a", 1}, {"b", 0}}, 1s, 1};
  EXPECT_EQ(sharesOf(R).count("b"), 0U);
  EXPECT_TRUE(R.names("b"));
  EXPECT_FALSE(R.sendsTo("b"));
  EXPECT_TRUE(Route({{{"a", 0}}, 1s, 1}).preferenceOf(7).empty());
}

// Guards against a change of weights that moves flows which it need not move: a
// copy of a SYN would then open a second flow at another service.
TEST(WeightedRoute, AChangeOfWeightsMovesFewFlows) {
  const Route Before = {{{"a", 90}, {"b", 10}}, 1s, 1};
  const Route After = {{{"b", 20}, {"a", 80}}, 1s, 1};
  int Moved = 0;
  for (uint32_t I = 0; I < 10'000; ++I) {
    const uint64_t Hash = hashOf(flow(I));
    Moved += Before.preferenceOf(Hash).front()->Name !=
             After.preferenceOf(Hash).front()->Name;
  }
  EXPECT_NEAR(Moved / 10'000.0, 0.1, 0.01);
}

TEST(RouteHistory, RemembersRemovedServicesForTheAgeOfAFlow) {
  RouteHistory History(60s);
  TimePoint Now{1000s};
  History.onFirstStart(Now);
  const RouteMap Both = {{DeskRoute, {{{"a", 1}, {"b", 1}}, 1s, 1}}};
  const RouteMap OnlyA = {{DeskRoute, {{{"a", 1}}, 1s, 1}}};
  History.onChange({}, Both, Now);
  History.onChange(Both, OnlyA, Now);
  EXPECT_TRUE(History.isComplete(Now));
  Now += 59s;
  EXPECT_EQ(History.formerServices(DeskRoute, Now),
            std::vector<std::string>{"b"});
  EXPECT_TRUE(History.formerServices(PrintRoute, Now).empty());
  Now += 2s;
  EXPECT_TRUE(History.formerServices(DeskRoute, Now).empty());
}

TEST(RouteHistory, IsIncompleteAfterAStartOrAGapUntilAPeerFillsIt) {
  TimePoint Now{1000s};
  RouteHistory Peer(60s);
  Peer.onFirstStart(Now);
  Peer.onChange({{DeskRoute, {{{"b", 1}}, 1s, 1}}},
                {{DeskRoute, {{{"a", 1}}, 1s, 1}}}, Now);
  Now += 10s;
  RouteHistory Late(60s);
  Late.onChange({}, {{DeskRoute, {{{"a", 1}}, 1s, 1}}}, Now);
  EXPECT_FALSE(Late.isComplete(Now));
  Late.merge(Peer.state(Now), Now);
  EXPECT_TRUE(Late.isComplete(Now));
  EXPECT_EQ(Late.formerServices(DeskRoute, Now), std::vector<std::string>{"b"});
  Late.onGap(Now);
  EXPECT_FALSE(Late.isComplete(Now + 59s));
  EXPECT_TRUE(Late.isComplete(Now + 60s));
}

// Guards against a history that counts as complete although it lacks a service
// that routes named only between the peer's manifest and ours.
TEST(RouteHistory, IsNotCompletedByAPeerWithAnOlderManifest) {
  const TimePoint Now{1000s};
  const auto Naming = [](int64_t Version, const std::string &Service) {
    Manifest M;
    M.Version = Version;
    M.Routes[DeskRoute] = {{{Service, 1}}, 1s, 1};
    return M;
  };
  RouteHistory Complete(60s);
  Complete.onFirstStart(Now);
  Configuration Ours;
  Ours.offer(Naming(9, "c"), Continuity::Gap, Now);
  EXPECT_FALSE(Ours.offerOfPeer(Naming(7, "a"), Complete.state(Now), Now));
  EXPECT_FALSE(Ours.history().isComplete(Now));
  EXPECT_EQ(Ours.history().formerServices(DeskRoute, Now),
            std::vector<std::string>{"a"});
  EXPECT_FALSE(Ours.offerOfPeer(Naming(9, "c"), Complete.state(Now), Now));
  EXPECT_TRUE(Ours.history().isComplete(Now));
}

TEST(RouteHistory, StaysWithinItsLimit) {
  RouteHistory History(60s);
  TimePoint Now{1000s};
  History.onFirstStart(Now);
  for (uint32_t I = 0; I < RouteHistory::MaxEntries + 5; ++I)
    History.onChange({{{I, 1}, {{{"b", 1}}, 1s, 1}}},
                     {{{I, 1}, {{{"a", 1}}, 1s, 1}}}, Now);
  EXPECT_EQ(History.state(Now).Former.size(), RouteHistory::MaxEntries);
  EXPECT_FALSE(History.isComplete(Now));
}

/// Three hosts each of two services, and a route that names both.
struct WeightedRoutes : Opaque {
  void setServices(Services Named) {
    Sim.SharedManifest.Routes[DeskRoute].Services = std::move(Named);
    Sim.publish();
  }
  /// Sends data on the flow through a balancer that has just started.
  bool isServedAfterRestart(const FlowId &Flow) {
    Sim.startBalancer(*Second);
    Sim.run(600ms);
    Sim.sendData(*Second, Flow, ++Sequence_);
    Sim.run(300ms);
    return Sim.Callers[Flow].Answered;
  }

private:
  uint32_t Sequence_ = 100;
};

TEST_F(WeightedRoutes, BothServicesGetFlowsAndCopiesGoToTheSameService) {
  setServices({{"desk", 1}, {"print", 1}});
  std::map<std::string, int> Opened;
  for (int I = 0; I < 60; ++I) {
    const FlowId Flow = Sim.newFlow(DeskRoute);
    Sim.sendSyn(*First, Flow);
    Sim.sendSyn(*Second, Flow, 1);
    Sim.run(20ms);
    std::set<std::string> Reached;
    for (const FakeHost &Host : Sim.Hosts)
      if (Host.LocalUpstream.Opening.count(Flow))
        Reached.insert(Host.LocalUpstream.Service);
    ASSERT_EQ(Reached.size(), 1U);
    ++Opened[*Reached.begin()];
  }
  EXPECT_GT(Opened["desk"], 15);
  EXPECT_GT(Opened["print"], 15);
}

TEST_F(WeightedRoutes, AServiceWithoutUpstreamsLeavesItsFlowsToTheOthers) {
  setServices({{"desk", 1}, {"print", 99}});
  for (FakeHost &Host : Sim.Hosts)
    if (Host.Entry.Service == "print")
      Host.Running = false;
  Sim.run(2s);
  for (int I = 0; I < 5; ++I)
    EXPECT_TRUE(Sim.Callers[Sim.open(*First, DeskRoute)].Answered);
}

// Guards against the FLOW faults of pelletier-preorders: the agent refused
// packets of open flows when the weights of their route were turned over.
TEST_F(WeightedRoutes, AnOpenFlowOutlivesAChangeOfWeights) {
  setServices({{"desk", 90}, {"print", 10}});
  const FlowId Flow = Sim.open(*First, DeskRoute);
  setServices({{"desk", 10}, {"print", 90}});
  EXPECT_TRUE(isServedAfterRestart(Flow));
}

TEST_F(WeightedRoutes, AnOpenFlowOutlivesAnotherServiceOfItsRoute) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  setServices({{"print", 1}});
  EXPECT_TRUE(isServedAfterRestart(Flow));
  const FlowId New = Sim.open(*First, DeskRoute);
  EXPECT_EQ(Sim.holder(New)->LocalUpstream.Service, "print");
  setServices({{"desk", 1}});
  EXPECT_TRUE(isServedAfterRestart(Flow));
  EXPECT_TRUE(isServedAfterRestart(New));
}

// A balancer that starts after the change and hears of no history asks the
// agents of all services.
TEST_F(WeightedRoutes, AFlowIsFoundWithoutAHistory) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  setServices({{"print", 1}});
  Sim.HasPeerHistory = false;
  Sim.FirstStart = false;
  EXPECT_TRUE(isServedAfterRestart(Flow));
}

// A search that can't be complete must end in silence, not in a reset: here the
// agent of the holder has restarted and can't tell, and nobody knows that the
// route once named its service.
TEST_F(WeightedRoutes, AFlowThatNobodyCanFindIsNotReset) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  setServices({{"print", 1}});
  Sim.HasPeerHistory = false;
  Sim.FirstStart = false;
  Sim.startAgent(*Sim.holder(Flow));
  EXPECT_FALSE(isServedAfterRestart(Flow));
  EXPECT_FALSE(Sim.Callers[Flow].Reset);
}

// Guards against a FLOW fault of the days with a restored store: a balancer
// that does not know the flow's service offered each packet of the flow to the
// agents of another one, again and again.
TEST_F(WeightedRoutes, AFlowThatNobodyCanFindIsNotOfferedAgainAndAgain) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  setServices({{"print", 1}});
  Sim.HasPeerHistory = false;
  Sim.FirstStart = false;
  for (FakeHost &Host : Sim.Hosts)
    Sim.startAgent(Host);
  Sim.startBalancer(*Second);
  Sim.run(4500ms);
  for (uint32_t I = 0; I < 10; ++I) {
    Sim.sendData(*Second, Flow, 100 + I);
    Sim.run(400ms);
  }
}

// Guards against a reset of an open flow by a balancer that has a newer
// manifest than the peer whose history it takes over: the service that the
// peer's manifest names and its own does not is in neither's history.
TEST_F(WeightedRoutes, AServiceIsNotForgottenIfThePeerHasAnOlderManifest) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  Sim.FirstStart = false;
  Sim.SharedManifest.Routes[DeskRoute].Services = {{"print", 1}};
  ++Sim.SharedManifest.Version;
  EXPECT_TRUE(isServedAfterRestart(Flow));
  EXPECT_FALSE(Sim.Callers[Flow].Reset);
}

// Guards against a reset of an open flow by a balancer whose manifest does not
// name the flow's service yet.
TEST_F(WeightedRoutes, ABalancerBehindTheManifestDoesNotResetTheFlow) {
  Sim.SharedManifest.Routes[DeskRoute].Services = {{"print", 1}};
  Sim.beginVersion();
  for (FakeHost &Host : Sim.Hosts)
    if (Host.Entry.Service == "print")
      Host.Config.offer(Sim.SharedManifest, Continuity::Unbroken, Sim.Now);
  First->Config.offer(Sim.SharedManifest, Continuity::Unbroken, Sim.Now);
  Sim.run(1s);
  const FlowId Flow = Sim.open(*First, DeskRoute);
  Sim.sendData(*Second, Flow, 11);
  Sim.run(700ms);
  EXPECT_FALSE(Sim.Callers[Flow].Reset);
  Second->Config.offer(Sim.SharedManifest, Continuity::Unbroken, Sim.Now);
  Sim.sendData(*Second, Flow, 11);
  Sim.run(50ms);
  EXPECT_TRUE(Sim.Callers[Flow].Answered);
}

TEST_F(WeightedRoutes, APacketForAnotherAgentIsRefused) {
  const FlowId Flow = Sim.open(*First, DeskRoute);
  FakeHost &Holder = *Sim.holder(Flow);
  PacketHead Head = Sim.packet(Flow);
  ForwardingState Forwarding{ForwardingState::Mode::Held};
  Forwarding.Addressee = ForwardingState::addresseeOf(agentId("other"));
  Head.Echo = Forwarding.encode();
  const GateAction Action =
      Holder.PacketGate->fromBalancer(Head, First->Address, Sim.Now);
  EXPECT_EQ(Action.Reason, GateReason::Misaddressed);
}

/// Random changes of a route's services, restarts of balancers and agents, and
/// packets of open flows through any balancer. The simulation checks that no
/// open flow is reset and that no packet reaches a service that its route has
/// never named.
class RandomChanges {
public:
  explicit RandomChanges(uint64_t Seed) : Sim(Seed) {
    for (const char *Service : {"desk", "print", "spare"})
      for (int I = 0; I < 3; ++I)
        Sim.addHost(Service);
    for (int I = 0; I < 3; ++I)
      Sim.addBalancer();
    Sim.run(20s);
    // From now on, processes that start know nothing.
    Sim.FirstStart = false;
  }

  void step() {
    switch (Sim.Rng() % 10) {
    case 0:
    case 1:
      changeServices();
      break;
    case 2:
      Sim.HasPeerHistory = true;
      Sim.startBalancer(balancer());
      break;
    case 3:
      Sim.startAgent(Sim.Hosts[Sim.Rng() % Sim.Hosts.size()]);
      break;
    case 4:
    case 5:
      Flows_.push_back(Sim.open(balancer(), DeskRoute));
      break;
    default:
      sendOnOpenFlow();
    }
    Sim.run(std::chrono::milliseconds(Sim.Rng() % 500));
  }

  Simulation Sim;
  size_t Sent = 0;
  size_t Answered = 0;

private:
  FakeBalancer &balancer() {
    return Sim.Balancers[Sim.Rng() % Sim.Balancers.size()];
  }
  void changeServices() {
    Services Named;
    for (const char *Service : {"desk", "print"})
      if (Sim.Rng() % 3)
        Named.push_back({Service, static_cast<double>(Sim.Rng() % 4)});
    if (Named.empty())
      Named.push_back({"desk", 1});
    Sim.SharedManifest.Routes[DeskRoute].Services = Named;
    Sim.publish();
  }
  void sendOnOpenFlow() {
    if (Flows_.empty())
      return;
    const FlowId Flow = Flows_[Sim.Rng() % Flows_.size()];
    if (!Sim.holder(Flow) || Sim.Callers[Flow].isExpired(Sim.Now))
      return;
    Sim.sendData(balancer(), Flow, ++Sequence_);
    Sim.run(300ms);
    ++Sent;
    Answered += Sim.Callers[Flow].Answered;
  }

  std::vector<FlowId> Flows_;
  uint32_t Sequence_ = 1000;
};

TEST(WeightedRoutesRandom, OpenFlowsAreFoundAndNeverReset) {
  const uint64_t FirstSeed = fromEnvironment("DRAGONFLYSTALL_SEED", 1);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 20);
  size_t Sent = 0;
  size_t Answered = 0;
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    RandomChanges Run(Seed);
    for (int I = 0; I < 200 && Run.Sim.BrokenInvariant.empty(); ++I)
      Run.step();
    EXPECT_EQ(Run.Sim.BrokenInvariant, "") << "seed " << Seed;
    Sent += Run.Sent;
    Answered += Run.Answered;
  }
  // Silence is allowed only while restarted processes can't know better.
  EXPECT_GT(Sent, 20 * Runs);
  EXPECT_GT(Answered * 10, Sent * 9);
}

} // namespace
} // namespace dragonflystall::opaque::test
