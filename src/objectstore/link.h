// A daemon's connection to the platform's object API: watches the settings and
// the rosters that are wanted, writes the roster, and survives outages. Its
// thread posts what it learns; nothing here decides about traffic.
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
    /// Called on the loop thread with objects that are newer than known ones.
    std::function<void(std::vector<StoredObject>)> OnSettings;
    std::function<void(Roster)> OnRoster;
    std::function<void(RosterWritten)> OnRosterWritten;
    std::function<void(Event)> OnEvent;
  };

  PlatformLink(const std::vector<Endpoint> &Platform, std::string Writer,
               Listener Owner);
  ~PlatformLink();
  PlatformLink(const PlatformLink &) = delete;
  PlatformLink &operator=(const PlatformLink &) = delete;

  /// Keeps the service's roster watched from now on. KnownVersion newer than
  /// the last one delivered triggers a read at once. Any thread.
  void watchRoster(const std::string &Team, const std::string &Name,
                   uint64_t KnownVersion);
  /// Conditional update; the result comes to OnRosterWritten. Any thread.
  void updateRoster(const UpdateRoster &Update);
  /// Whether the settings and rosters are watched, or only read on demand and
  /// now and then since the peers tell of changes. Any thread.
  void setWatching(bool On);
  /// True while the last calls failed.
  bool isDown() const;
  uint64_t calls() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
