// Guards against processes that stay behind although a peer in reach has a
// newer configuration, while their own reads of the store are seconds old.
#include "node/configfixture_test.h"

namespace dragonflystall::node::test {
namespace {

using opaque::ConfigVersions;

/// Peers report their versions twice a second.
constexpr Duration ReportInterval = 500ms;

/// A process whose store answers nothing new, and a peer with a newer manifest.
struct CatchUpFromPeers : ConfigFixture {
  static constexpr Endpoint AheadAddress = {StoreAddress.Ip, 18444};
  static constexpr Endpoint OtherAddress = {StoreAddress.Ip, 18445};

  PeerState AheadState;
  std::unique_ptr<HttpServer> Ahead;

  void SetUp() override {
    ConfigFixture::SetUp();
    put(1);
    ASSERT_TRUE(followsVersion(1));
    AheadState.ManifestContent = manifest(2);
    Ahead =
        std::make_unique<HttpServer>(Shared.Base.get(), serving(AheadState));
    ASSERT_TRUE(Ahead->listen(AheadAddress));
  }
  void report(int64_t Version, Endpoint Http) {
    Source->onPeerVersions({Version, {}, 0}, Http, Shared.now());
  }
  /// Runs for a time in which both peers report as the balancers do.
  void runWithReports(int64_t OtherVersion, Duration Length) {
    for (Duration Passed{}; Passed < Length; Passed += ReportInterval) {
      report(2, AheadAddress);
      run(ReportInterval / 2);
      report(OtherVersion, OtherAddress);
      run(ReportInterval / 2);
    }
  }
};

// A peer that was behind as well made the process forget that another one was
// ahead.
TEST_F(CatchUpFromPeers, APeerThatIsBehindAsWellDoesNotDelayIt) {
  runWithReports(1, 1s);
  EXPECT_EQ(config().manifest().Version, 2);
}

// A peer that does not answer held up the fetch from the others for a second.
TEST_F(CatchUpFromPeers, AFrozenPeerDoesNotDelayIt) {
  const SilentServer Frozen(OtherAddress);
  ASSERT_TRUE(Frozen.isListening());
  report(2, AheadAddress);
  report(2, OtherAddress);
  run(opaque::CatchUp::WatchDelay + opaque::CatchUp::HedgeDelay + 250ms);
  EXPECT_EQ(config().manifest().Version, 2);
}

// The fetch of a process that has just started, from a seed that is down, held
// up the fetch from a peer that is ahead.
TEST_F(CatchUpFromPeers, ASilentSeedDoesNotDelayIt) {
  constexpr Endpoint Unreachable = {0x7f000001, 18446};
  const SilentServer Frozen(Unreachable);
  ASSERT_TRUE(Frozen.isListening());
  ConfigSources Sources{
      {StoreAddress, 20s, platform::Consistency::Serializable}, {Unreachable}};
  Sources.AlwaysFetchFromSeeds = true;
  Source = std::make_unique<ConfigSource>(
      Shared, Health, Sources, ConfigSource::Callbacks{[] {}, [] {}, {}});
  ASSERT_TRUE(followsVersion(1));
  report(2, AheadAddress);
  run(opaque::CatchUp::WatchDelay + 250ms);
  EXPECT_EQ(config().manifest().Version, 2);
}

// Each fetch of a process that was behind brought the list of all agents along,
// and its answer counted for one of a seed.
TEST_F(CatchUpFromPeers, OnlyTheConfigurationIsFetched) {
  std::vector<std::string> Targets;
  HttpServer Peer(Shared.Base.get(), [&](const HttpRequest &Request) {
    Targets.push_back(Request.Target);
    return serving(AheadState)(Request);
  });
  ASSERT_TRUE(Peer.listen(OtherAddress));
  report(2, OtherAddress);
  ASSERT_TRUE(followsVersion(2));
  ASSERT_EQ(Targets.size(), 1U);
  EXPECT_EQ(partsOf({HttpMethod::Get, Targets[0], {}}),
            PeerStateParts::Configuration);
  EXPECT_EQ(partsOf({HttpMethod::Get, "/state", {}}), PeerStateParts::All);
}

// The revision of a peer's evacuations, which grows with each change of the
// store, was taken for a change that the own watch had missed.
TEST_F(CatchUpFromPeers, AWatchOfEvacuationsWithoutAChangeIsNotLate) {
  constexpr Duration MaxLag = 200ms;
  ConfigSources Sources{
      {StoreAddress, 20s, platform::Consistency::Serializable}, {}};
  Sources.MaxWatchLag = MaxLag;
  Source = std::make_unique<ConfigSource>(
      Shared, Health, Sources, ConfigSource::Callbacks{[] {}, [] {}, {}});
  ASSERT_TRUE(followsVersion(1));
  AheadState.Evacuations.Revision = {1, 1000};
  HttpServer Peer(Shared.Base.get(), serving(AheadState));
  ASSERT_TRUE(Peer.listen(OtherAddress));
  report(2, OtherAddress);
  ASSERT_TRUE(followsVersion(2));
  put(2);
  run(3 * MaxLag);
  EXPECT_EQ(Shared.Counts.prometheusText().find(
                name(platform::Consistency::Linearizable)),
            std::string::npos);
}

/// A process that learns from the store alone, whose serializable reads are
/// seconds old.
struct OutdatedReads : ConfigFixture {
  void SetUp() override {
    ConfigFixture::SetUp();
    put(1);
    ASSERT_TRUE(followsVersion(1));
    Store.setStaleReads(5s);
  }
};

// A process that became a primary reader kept its serializable watch until that
// ended, up to 15 s later: after a restart of all balancers none knew a change.
TEST_F(OutdatedReads, APrimaryReaderReplacesItsSerializableWatchAtOnce) {
  put(2);
  run(500ms);
  ASSERT_EQ(config().manifest().Version, 1);
  Source->setConsistency(platform::Consistency::Linearizable);
  run(500ms);
  EXPECT_EQ(config().manifest().Version, 2);
}

// Each process that had caught up with a peer listed linearizably, for each
// change: more reads than the store allows while many reads are old.
TEST_F(OutdatedReads, AProcessThatHasCaughtUpReadsSerializably) {
  PeerState State;
  State.ManifestContent = manifest(2);
  HttpServer Ahead(Shared.Base.get(), serving(State));
  const Endpoint Address = {StoreAddress.Ip, 18447};
  ASSERT_TRUE(Ahead.listen(Address));
  put(2);
  Source->onPeerVersions({2, {}, 0}, Address, Shared.now());
  ASSERT_TRUE(followsVersion(2));
  run(1s);
  EXPECT_EQ(Shared.Counts.prometheusText().find(
                name(platform::Consistency::Linearizable)),
            std::string::npos);
}

} // namespace
} // namespace dragonflystall::node::test
