// Keeps a process's configuration up to date: from the store, and from peers
// while the store does not answer or a watch has gone silent.
#ifndef DRAGONFLYSTALL_SRC_NODE_CONFIGSOURCE_H
#define DRAGONFLYSTALL_SRC_NODE_CONFIGSOURCE_H

#include "node/kindfollower.h"
#include "opaque/control.h"

namespace dragonflystall::node {

/// Where a process's configuration comes from.
struct ConfigSources {
  Endpoint Store;
  std::vector<Endpoint> Seeds;
  /// How fresh watches must be.
  platform::Consistency Watches = platform::Consistency::Linearizable;
  /// Ask a seed at the start also when the store answers: a peer knows of
  /// agents that the store does not list at the moment.
  bool AlwaysAskSeeds = false;
};

class ConfigSource {
public:
  struct Handler {
    std::function<void()> OnManifest;
    std::function<void()> OnEvacuations;
    /// Agents that a peer knows of.
    std::function<void(const std::vector<opaque::AgentEntry> &)> OnAgents;
  };

  ConfigSource(Services &Shared, StoreHealth &Health, ConfigSources From,
               Handler OnNews);

  const opaque::Configuration &config() const { return Config_; }
  /// The evacuations are known from the store or from a peer.
  bool complete() const { return Config_.known() && EvacuationsKnown_; }
  /// For PeerState.
  const std::string &manifestContent() const { return ManifestContent_; }

  void poll(TimePoint Now);
  /// A peer that serves HTTP at this address knows so much.
  void onPeerKnows(const opaque::Knowledge &Theirs, Endpoint PeerHttp,
                   TimePoint Now);
  void setSeeds(std::vector<Endpoint> Seeds) { From_.Seeds = std::move(Seeds); }

private:
  void onManifests(const std::vector<platform::Object> &Objects,
                   std::string_view From);
  bool offerManifest(const std::string &Content, std::string_view From);
  void offerEvacuations(opaque::Evacuations Newer, std::string_view From);
  void fetch(Endpoint Peer, TimePoint Now);
  void onPeerState(const platform::PeerState &State);

  bool seedsDue(TimePoint Now) const;

  Services &Shared_;
  ConfigSources From_;
  Handler OnNews_;
  opaque::Configuration Config_;
  std::string ManifestContent_;
  bool EvacuationsKnown_ = false;
  /// The zones as the follower of evacuations sees them.
  std::set<std::string> ListedZones_;
  KindFollower Manifests_;
  KindFollower Evacuations_;
  std::unique_ptr<HttpChannel> Peer_;
  TimePoint StartedAt_;
  TimePoint NextFetch_{};
  size_t NextSeed_ = 0;
  bool PeerAnswered_ = false;
  /// Since when a peer is known to know more; unset when none does.
  std::optional<TimePoint> BehindSince_;
};

} // namespace dragonflystall::node

#endif
