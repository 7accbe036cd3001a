// The services that routes named before. A flow stays at its upstream when its
// route no longer names the service, so the search for the flow's holder must
// ask that service too. A restarted process inherits the history from a peer.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_ROUTEHISTORY_H
#define DRAGONFLYSTALL_SRC_OPAQUE_ROUTEHISTORY_H

#include "opaque/route.h"

#include <optional>

namespace dragonflystall::opaque {

/// A service that a route once named.
struct FormerService {
  Endpoint Route;
  std::string Service;
  /// Time since the route stopped naming the service.
  Duration Age{};
  friend bool operator==(const FormerService &,
                         const FormerService &) = default;
};

/// A history as sent to a peer.
struct RouteHistoryState {
  /// The history covers all changes within this time; unset if it covers none.
  std::optional<Duration> Span;
  std::vector<FormerService> Former;
};

class RouteHistory {
public:
  static constexpr Duration DefaultMaxFlowAge = 60s;
  /// Limit on entries; beyond it, the history no longer counts as complete.
  static constexpr size_t MaxEntries = 4096;

  explicit RouteHistory(Duration MaxFlowAge) : MaxFlowAge_(MaxFlowAge) {}

  /// Call when the deployment has just started for the first time: no flows
  /// existed before, so the history is complete.
  void onFirstStart(TimePoint Now) { CompleteSince_ = Now - MaxFlowAge_; }
  /// Call when versions of the manifest may have been skipped.
  void onGap(TimePoint Now) { CompleteSince_ = Now; }
  /// Call when a manifest replaces another one.
  void onChange(const RouteMap &Before, const RouteMap &After, TimePoint Now);
  /// Adds the history of a peer whose manifest is not older than ours.
  void merge(const RouteHistoryState &Peer, TimePoint Now);
  /// Adds the history of a peer whose manifest is older than ours. Changes
  /// between the two manifests may be missing, so the span is not taken over.
  void mergeOlder(const RouteHistoryState &Peer, const RouteMap &PeerRoutes,
                  const RouteMap &Routes, TimePoint Now);

  /// Services that the route named within the greatest age of a flow.
  std::vector<std::string> formerServices(Endpoint Route, TimePoint Now) const;
  /// Whether the history covers the greatest age of a flow.
  bool isComplete(TimePoint Now) const {
    return CompleteSince_ && Now - *CompleteSince_ >= MaxFlowAge_;
  }
  RouteHistoryState state(TimePoint Now) const;
  /// Call regularly: removes entries older than the greatest age of a flow.
  void expire(TimePoint Now);

private:
  struct Entry {
    Endpoint Route;
    std::string Service;
    TimePoint RemovedAt{};
  };
  void add(Endpoint Route, const std::string &Service, TimePoint RemovedAt);

  Duration MaxFlowAge_;
  std::vector<Entry> Entries_;
  /// All changes since this time are in Entries_, unless they have expired.
  std::optional<TimePoint> CompleteSince_;
};

} // namespace dragonflystall::opaque

#endif
