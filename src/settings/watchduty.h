// Selects the processes that watch the settings on the platform. In a large
// fleet only a few processes watch, and the others get the settings from their
// peers. The selection needs no consensus: too many or too few watchers for a
// short time do no harm.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_WATCHDUTY_H
#define DRAGONFLYSTALL_SRC_SETTINGS_WATCHDUTY_H

#include "dragonflystall/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflystall {

/// Number of watchers among the processes that receive each other's messages.
constexpr size_t Watchers = 3;
/// A peer without a message for this long counts as failed.
constexpr Duration WatcherTimeout = 15s;

enum class WatchRole : uint8_t {
  Candidate, ///< Can be selected as a watcher (balancers).
  Follower,  ///< Watches only while no candidate is alive (agents).
};

class WatchDuty {
public:
  /// Candidates are the control addresses of the peers that may watch. Self is
  /// ignored if it is among them.
  WatchDuty(WatchRole Role, Endpoint Self,
            const std::vector<Endpoint> &Candidates);

  /// Records that a message of the peer arrived at Now. Peers that are not
  /// candidates are ignored.
  void recordMessage(Endpoint Peer, TimePoint Now);
  /// Returns true if this process has to watch the platform.
  bool shouldWatch(TimePoint Now) const;

private:
  WatchRole Role_;
  Endpoint Self_;
  /// Time of the last message from each candidate; unset if there was none.
  std::map<Endpoint, std::optional<TimePoint>> LastMessages_;
};

} // namespace dragonflystall

#endif
