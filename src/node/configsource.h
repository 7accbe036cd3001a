// Keeps a process's configuration up to date: from the store, and from peers
// while the store does not answer or a watch has stopped delivering changes.
#ifndef DRAGONFLYSTALL_SRC_NODE_CONFIGSOURCE_H
#define DRAGONFLYSTALL_SRC_NODE_CONFIGSOURCE_H

#include "node/objectwatcher.h"
#include "node/peerstate.h"
#include "opaque/catchup.h"

namespace dragonflystall::node {

/// Where a process's configuration comes from.
struct ConfigSources {
  WatchSettings Watching;
  std::vector<Endpoint> Seeds;
  /// Fetch the state of a seed at the start even if the store answers: a peer
  /// may know agents that the store does not list at the moment.
  bool AlwaysFetchFromSeeds = false;
  /// A flow that is older than this may be dropped.
  Duration MaxFlowAge = opaque::RouteHistory::DefaultMaxFlowAge;
  /// The deployment starts for the first time: there are no flows yet.
  bool FirstStart = false;
  /// A watch that has not delivered within this time what a peer has brought is
  /// replaced. Serializable reads may be seconds old.
  Duration MaxWatchLag = 10s;
};

class ConfigSource {
public:
  struct Callbacks {
    std::function<void()> OnManifest;
    /// Called when the evacuated zones are known for the first time, even if
    /// there are none, and when they have changed.
    std::function<void()> OnEvacuations;
    /// Called with the agents that a peer knows.
    std::function<void(const opaque::AgentList &)> OnAgents;
  };

  ConfigSource(Services &Shared, StoreHealth &Health, ConfigSources Sources,
               Callbacks Notify);

  const opaque::Configuration &config() const { return Config_; }
  /// Whether manifest and evacuations are known, from the store or a peer.
  bool complete() const {
    return Config_.hasManifest() && Config_.knowsEvacuations();
  }
  /// The manifest as JSON text, for PeerState; empty when not known.
  const std::string &manifestContent() const { return ManifestContent_; }

  void poll(TimePoint Now);
  /// Handles the versions that a peer has reported. Fetches the configuration
  /// from PeerHttp, or from another peer that is ahead, when this process stays
  /// behind.
  void onPeerVersions(const opaque::ConfigVersions &PeerVersions,
                      Endpoint PeerHttp, TimePoint Now);
  /// See ObjectWatcher::setConsistency.
  void setConsistency(platform::Consistency Level) {
    Manifests_.setConsistency(Level);
    Evacuations_.setConsistency(Level);
  }
  void setSeeds(std::vector<Endpoint> Seeds) {
    Sources_.Seeds = std::move(Seeds);
  }

private:
  using StateHandler = std::function<void(const std::optional<PeerState> &)>;

  /// A manifest's continuity with the one before depends on its source.
  enum class Source : uint8_t { List, Watch, Peer };

  void onManifests(const std::vector<platform::Object> &Objects, Source From);
  /// Logs why the content is not a valid manifest, if it is not.
  std::optional<opaque::Manifest> readManifest(const std::string &Content,
                                               Source From);
  /// Before: the version of the manifest that the new one replaces.
  void onManifestTaken(const std::string &Content, Source From, int64_t Before);
  void onListedZones();
  void offerEvacuations(const opaque::Evacuations &Newer,
                        std::string_view From);
  /// From: the source of the change, for the log.
  void onEvacuationsChanged(std::string_view From);
  /// Fetches the state of a seed, for a process that has just started.
  void fetchFromSeed(TimePoint Now);
  /// Fetches from a peer that is ahead, if a fetch is due.
  void catchUp(TimePoint Now);
  /// Requests a peer's state over the channel, which it replaces. Calls OnState
  /// with the state, or with std::nullopt if there is none that can be read.
  void fetch(std::unique_ptr<HttpChannel> &Channel, Endpoint Peer,
             PeerStateParts Parts, StateHandler OnState);
  void onSeedState(const PeerState &State, Endpoint Seed);
  void onPeerState(const PeerState &State, Endpoint Peer);
  /// Notes what the watches have yet to deliver. Before: the versions before
  /// the state of a peer that is ahead was taken.
  void noteWatchLag(const opaque::ConfigVersions &Before);
  /// Replaces the watches that have stopped working.
  void replaceOverdueWatches(TimePoint Now);
  /// Takes the manifest and the route history of a peer.
  void offerManifestOfPeer(const PeerState &State, Endpoint Peer);
  /// Logs the route history after that of a peer was merged.
  void logHistory(const opaque::RouteHistoryState &Theirs,
                  int64_t TheirManifest, Endpoint Peer);

  bool isSeedFetchDue(TimePoint Now) const;
  /// Whether seeds may know agents or former services that this process, which
  /// has just started, does not.
  bool maySeedsKnowMore(TimePoint Now) const;

  Services &Services_;
  const StoreHealth &Health_;
  ConfigSources Sources_;
  Callbacks Callbacks_;
  opaque::Configuration Config_;
  std::string ManifestContent_;
  /// The evacuated zones according to the list and the watch.
  std::set<std::string> ListedZones_;
  ObjectWatcher Manifests_;
  ObjectWatcher Evacuations_;
  opaque::WatchLag<int64_t> ManifestLag_;
  opaque::WatchLag<opaque::StoreRevision> EvacuationLag_;
  TimePoint StartedAt_;
  // Fetches from seeds and from peers that are ahead use channels of their own:
  // a seed that is down does not keep this process behind.
  std::unique_ptr<HttpChannel> SeedChannel_;
  TimePoint NextSeedFetch_{};
  size_t NextSeed_ = 0;
  size_t SeedAnswers_ = 0;
  /// A seed that knows all agents has answered.
  bool AgentsKnown_ = false;
  opaque::CatchUp CatchUp_;
  std::array<std::unique_ptr<HttpChannel>, opaque::CatchUp::MaxFetches>
      CatchUpChannels_;
};

} // namespace dragonflystall::node

#endif
