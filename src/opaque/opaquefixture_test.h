// A simulated deployment of two services, for tests of single faults.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPAQUEFIXTURE_TEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPAQUEFIXTURE_TEST_H

#include "opaque/opaquesimulation_test.h"

#include <gtest/gtest.h>

namespace dragonflystall::opaque::test {

/// Three hosts of each service and two balancers; all upstreams are warm and
/// all agents are known to the balancers.
struct Opaque : testing::Test {
  Simulation Sim{1};
  FakeBalancer *First = nullptr;
  FakeBalancer *Second = nullptr;

  void SetUp() override {
    for (int I = 0; I < 3; ++I) {
      Sim.addHost("desk");
      Sim.addHost("print");
    }
    First = &Sim.addBalancer();
    Second = &Sim.addBalancer();
    Sim.run(20s);
  }
  FakeHost &holderOf(const FlowId &Flow) {
    FakeHost *Host = Sim.holder(Flow);
    EXPECT_NE(Host, nullptr);
    return *Host;
  }
  /// The SYN of a new flow, as a balancer sends it to an agent.
  PacketHead placedSyn(uint32_t Tried) {
    PacketHead Head = Sim.packet(Sim.newFlow(DeskRoute));
    Head.Syn = true;
    ForwardingState Forwarding;
    Forwarding.ForwardMode = ForwardingState::Mode::Place;
    Forwarding.Tried = Tried;
    Head.Echo = Forwarding.encode();
    return Head;
  }
  /// The forwarding state of a packet for a flow's holder.
  static ForwardingState heldBy(const FakeHost &Host) {
    ForwardingState Forwarding{ForwardingState::Mode::Held};
    Forwarding.Addressee =
        ForwardingState::addresseeOf(agentId(Host.Entry.Name));
    return Forwarding;
  }
  void TearDown() override { EXPECT_EQ(Sim.BrokenInvariant, ""); }
};

} // namespace dragonflystall::opaque::test

#endif
