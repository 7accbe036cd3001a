// Decides from which peer a process that is behind fetches the configuration,
// and when. Load pattern: hundreds of processes that all learn the same change
// from the store at about the same time, or, if their reads of the store are
// outdated, from the few that read it linearizably.
//
// Guarantee: while a peer in reach reports a newer configuration, a fetch
// starts WatchDelay after its first such report, and another one, from another
// peer that is ahead, after each HedgeDelay without an answer, up to MaxFetches
// at once. What other peers report or fail to answer delays neither.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_CATCHUP_H
#define DRAGONFLYSTALL_SRC_OPAQUE_CATCHUP_H

#include "opaque/control.h"

#include <optional>
#include <vector>

namespace dragonflystall::opaque {

class CatchUp {
public:
  /// How long a process that is behind a peer waits for its own watch, since
  /// the store notifies all watches at about the same time.
  static constexpr Duration WatchDelay = 300ms;
  /// A peer that has not answered a fetch for this time may be frozen: another
  /// one is asked as well.
  static constexpr Duration HedgeDelay = 300ms;
  /// Peers report about twice a second; one that has not reported for this time
  /// may be gone.
  static constexpr Duration ReportTimeout = 1500ms;
  /// A peer that did not answer is not asked again before this time has passed.
  static constexpr Duration FailurePause = 500ms;
  /// The same for a peer whose answer was not newer than what it was fetched
  /// for: it has restarted, or it has something that can't be read here.
  static constexpr Duration UselessPause = 2s;
  /// Limit on the peers that are remembered.
  static constexpr size_t MaxPeers = 8;
  /// Limit on the fetches in progress.
  static constexpr size_t MaxFetches = 3;

  /// A peer reports its versions. Http is its address for fetches.
  void onReport(Endpoint Http, const ConfigVersions &Theirs,
                const ConfigVersions &Ours, TimePoint Now);
  /// Returns the peer to fetch from now, and counts the fetch as in progress.
  std::optional<Endpoint> next(const ConfigVersions &Ours, TimePoint Now);
  /// A fetch has ended with an answer that was read and taken.
  void onAnswer(Endpoint Http, const ConfigVersions &Ours, TimePoint Now);
  /// A fetch has ended without an answer that could be read.
  void onFailure(Endpoint Http, TimePoint Now);
  /// Whether no peer was ahead when it last reported.
  bool isIdle() const { return Peers_.empty(); }

private:
  struct Peer {
    Endpoint Http;
    ConfigVersions Versions; ///< As last reported.
    /// Since when it is ahead of this process without interruption.
    TimePoint AheadSince{};
    TimePoint LastReport{};
    TimePoint PausedUntil{};
    bool IsFetching = false;
    /// As reported when the latest fetch began: all that its answer must bring.
    ConfigVersions FetchedFor = {};
  };

  Peer *find(Endpoint Http);
  /// A place for a new peer; nullptr if all are taken by peers of use.
  Peer *newPeer(TimePoint Now);
  void endFetch(Endpoint Http, TimePoint PausedUntil);
  /// Forgets peers that are gone or no longer ahead.
  void expire(const ConfigVersions &Ours, TimePoint Now);
  bool mayFetch(TimePoint Now) const;

  std::vector<Peer> Peers_; ///< At most MaxPeers.
  TimePoint LastStart_{};   ///< Of a fetch.
};

} // namespace dragonflystall::opaque

#endif
