// A daemon's connection to the platform's object API. It watches the settings
// and the requested rosters, writes rosters, and continues after outages. Its
// thread posts the results to the daemon's loop; it makes no decisions about
// traffic.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_LINK_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_LINK_H

#include "dragonflystall/agentcore.h"
#include "dragonflystall/roster.h"
#include "dragonflystall/settings.h"
#include "objectstore/store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystall {

class PlatformLink {
public:
  struct Listener {
    /// Runs the task on the daemon's loop thread.
    std::function<void(std::function<void()>)> Post;
    /// Called on the loop thread with the received objects under settings/,
    /// which may be older than those received before.
    std::function<void(std::vector<StoredObject>)> OnSettings;
    std::function<void(Roster)> OnRoster;
    std::function<void(RosterWritten)> OnRosterWritten;
    std::function<void(Event)> OnEvent;
  };

  PlatformLink(const std::vector<Endpoint> &Platform, std::string Writer,
               Listener Callbacks);
  ~PlatformLink();
  PlatformLink(const PlatformLink &) = delete;
  PlatformLink &operator=(const PlatformLink &) = delete;

  /// Watches the service's roster from now on. A KnownVersion newer than the
  /// version delivered last triggers a read, without waiting for the watch.
  /// May be called from any thread.
  void watchRoster(const std::string &Team, const std::string &Name,
                   uint64_t KnownVersion);
  /// Starts a conditional update; the result is passed to OnRosterWritten. May
  /// be called from any thread.
  void updateRoster(const UpdateRoster &Update);
  /// Selects whether settings and rosters are watched. Otherwise the peers
  /// report changes; settings are read periodically and rosters on demand. May
  /// be called from any thread.
  void setWatching(bool Enabled);
  /// True after two failed calls in a row, until a call succeeds.
  bool isDown() const;
  /// Number of calls made to the platform, including watches.
  uint64_t calls() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
