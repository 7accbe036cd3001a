// Which processes watch the settings on the platform. In a large fleet a few
// do, and the others learn from their peers. No agreement is needed: too many
// or too few watchers for a while do no harm.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_WATCHDUTY_H
#define DRAGONFLYSTALL_SRC_SETTINGS_WATCHDUTY_H

#include "dragonflystall/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflystall {

/// How many of the processes that know each other watch.
constexpr size_t Watchers = 3;
/// A peer that was silent for so long is taken for gone.
constexpr Duration WatcherTimeout = 15s;

enum class WatchRole : uint8_t {
  Candidate, ///< Takes its turn as a watcher (balancers).
  Follower,  ///< Watches only while no candidate is heard (agents).
};

class WatchDuty {
public:
  /// Candidates are the control addresses of peers that may watch, without
  /// the process's own.
  WatchDuty(WatchRole Role, Endpoint Self,
            const std::vector<Endpoint> &Candidates);

  /// A message of the peer came. Others than candidates are ignored.
  void heard(Endpoint Peer, TimePoint Now);
  bool onDuty(TimePoint Now) const;

private:
  WatchRole Role_;
  Endpoint Self_;
  /// When each candidate was last heard; unset: never.
  std::map<Endpoint, std::optional<TimePoint>> Heard_;
};

} // namespace dragonflystall

#endif
