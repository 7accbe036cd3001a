// Guards against wrong conclusions from revisions after the store has come back
// from an older copy: revisions go back and are given out again.
#include "opaque/opaquefixture_test.h"
#include "opaque/registration.h"

namespace dragonflystall::opaque::test {
namespace {

struct RestoredStore : Opaque {
  /// Lists the host's entry at a balancer, with a revision in the era of the
  /// store that begins with the restore.
  void listAfterRestore(FakeBalancer &Balancer, const FakeHost &Host,
                        int64_t Revision) {
    Balancer.Agents->list(Host.Entry, Revision, Sim.Now);
  }
};

// Guards against a reset of an open flow: the balancer that does not know the
// flow's agent takes its list for complete, since it has seen a greater
// revision before the restore.
TEST_F(RestoredStore, AnAgentAtALowerRevisionIsNotTakenAsKnown) {
  Sim.HasPeerList = true;
  for (const FakeHost &Host : Sim.Hosts) {
    First->Agents->list(Host.Entry, 100, Sim.Now);
    Second->Agents->list(Host.Entry, 100, Sim.Now);
  }
  Sim.run(1s);
  FakeHost &Late = Sim.addHost("late");
  Sim.SharedManifest.Routes[DeskRoute].Services = {{"late", 1}, {"desk", 0}};
  Sim.publish();
  listAfterRestore(*First, Late, 60);
  Sim.run(1s);
  const FlowId Flow = Sim.open(*First, DeskRoute);
  ASSERT_EQ(&holderOf(Flow), &Late);
  Sim.sendData(*Second, Flow, 11);
  Sim.run(100ms);
  EXPECT_FALSE(Sim.Callers[Flow].Reset);
}

// Guards against an entry that stays lost: the list that lacks it has a lower
// revision than the entry had before the restore.
TEST_F(RestoredStore, AnEntryThatWasLostIsWrittenAgain) {
  Registration Entry(1);
  const AgentEntry Wanted = Sim.Hosts.front().Entry;
  Entry.setWanted(Wanted);
  ASSERT_EQ(Entry.next(Sim.Now), Registration::Call::Create);
  Entry.onStored(Wanted, 100);
  ASSERT_FALSE(Entry.next(Sim.Now));
  Entry.onMissing(60);
  EXPECT_EQ(Entry.next(Sim.Now), Registration::Call::Create);
}

} // namespace
} // namespace dragonflystall::opaque::test
