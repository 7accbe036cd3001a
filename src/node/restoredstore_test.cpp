// Guards against outdated or lost configuration after the store has come back
// from an older copy: revisions go back and are given out again.
#include "node/configfixture_test.h"

namespace dragonflystall::node::test {
namespace {

struct RestoredStore : ConfigFixture {
  /// The store is away for as long as all watches notice, and returns from the
  /// copy. The operator may write again before the process reaches it.
  void restore(const soak::Store::Copy &Copy) {
    Store.setFaults({.Down = true});
    run(100ms);
    Store.restore(Copy);
    Store.setFaults({});
  }
};

// A watch that goes on from a revision of the era before skips what was written
// up to that revision.
TEST_F(RestoredStore, AManifestAtAReusedRevisionIsNotSkipped) {
  put(1);
  ASSERT_TRUE(followsVersion(1));
  const auto Copy = Store.copy();
  put(2);
  ASSERT_TRUE(followsVersion(2));
  restore(Copy);
  put(3); // At the revision that version 2 had.
  EXPECT_TRUE(followsVersion(3));
}

// Guards against a manifest that operators have not put in force: it is stored
// beside theirs, by whomever.
TEST_F(RestoredStore, AManifestUnderAnotherNameIsNotTaken) {
  put(1);
  ASSERT_TRUE(followsVersion(1));
  Store.put(ObjectKind::Manifest, "draft", manifest(7));
  put(2);
  EXPECT_TRUE(followsVersion(2));
}

TEST_F(RestoredStore, AnEvacuationAtALowerRevisionIsTaken) {
  put(1);
  ASSERT_TRUE(followsVersion(1));
  const auto Copy = Store.copy();
  evacuate("zone-b");
  Store.remove(ObjectKind::Evacuation, "zone-b");
  evacuate("zone-c");
  ASSERT_TRUE(comesTrue([&] { return config().isEvacuated("zone-c"); }));
  restore(Copy);
  evacuate("zone-a");
  EXPECT_TRUE(comesTrue([&] { return config().isEvacuated("zone-a"); }));
}

// What operators wrote is written again, but not at once: until then an
// acknowledged evacuation stays in force.
TEST_F(RestoredStore, AnEvacuationThatWasLostStaysUntilItIsWrittenAgain) {
  put(1);
  ASSERT_TRUE(followsVersion(1));
  const auto Copy = Store.copy();
  evacuate("zone-a");
  ASSERT_TRUE(comesTrue([&] { return config().isEvacuated("zone-a"); }));
  restore(Copy);
  for (int64_t Version = 2; Version < 8; ++Version)
    put(Version);
  ASSERT_TRUE(followsVersion(7));
  run(1s);
  EXPECT_TRUE(config().isEvacuated("zone-a"));
  evacuate("zone-a");
  run(500ms);
  Store.remove(ObjectKind::Evacuation, "zone-a");
  EXPECT_TRUE(comesTrue([&] { return !config().isEvacuated("zone-a"); }));
}

// Guards against more linearizable reads at once than the store bears: after a
// restore every process lists again, and only few read linearizably otherwise.
TEST_F(RestoredStore, AProcessThatReadsSerializablyDoesSoAfterTheRestore) {
  put(1);
  ASSERT_TRUE(followsVersion(1));
  const auto Copy = Store.copy();
  put(2);
  ASSERT_TRUE(followsVersion(2));
  restore(Copy);
  put(3);
  ASSERT_TRUE(followsVersion(3));
  run(500ms);
  EXPECT_EQ(Health.era(), 2);
  EXPECT_EQ(Shared.Counts.prometheusText().find(
                name(platform::Consistency::Linearizable)),
            std::string::npos);
}

// Guards against a balancer that takes the answer of a peer which has just
// started, too, for all there is to know: an open flow was reset.
TEST_F(RestoredStore, AnotherPeerIsAskedAfterOneThatKnowsNothing) {
  PeerState New;
  New.ManifestContent = manifest(1);
  PeerState Informed = New;
  Informed.Agents = {{{"a", "desk", "zone-a", {1, 1}, {1, 2}}}, true};
  Informed.History.Span = opaque::RouteHistory::DefaultMaxFlowAge;
  HttpServer NewPeer(Shared.Base.get(), serving(New));
  HttpServer OldPeer(Shared.Base.get(), serving(Informed));
  const Endpoint NewAddress = {StoreAddress.Ip, 18442};
  const Endpoint OldAddress = {StoreAddress.Ip, 18443};
  ASSERT_TRUE(NewPeer.listen(NewAddress) && OldPeer.listen(OldAddress));
  ConfigSources Sources{
      {StoreAddress, 20s, platform::Consistency::Serializable},
      {NewAddress, OldAddress}};
  Sources.AlwaysFetchFromSeeds = true;
  opaque::AgentList Heard;
  Source = std::make_unique<ConfigSource>(
      Shared, Health, Sources,
      ConfigSource::Callbacks{[] {}, [] {},
                              [&](const opaque::AgentList &L) { Heard = L; }});
  put(1);
  EXPECT_TRUE(comesTrue([&] { return Heard.IsComplete; }));
  EXPECT_TRUE(config().history().isComplete(Shared.now()));
}

} // namespace
} // namespace dragonflystall::node::test
