// The settings as this process knows them: objects by key and version, the
// checked model built from them, and the exchange with peers. No I/O.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H
#define DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H

#include "dragonflystall/settings.h"
#include "platform/link.h"

#include <map>
#include <string>
#include <vector>

#include <control.pb.h>

namespace dragonflystall {

class SettingsView {
public:
  /// Takes objects in that are newer than the known ones, from the platform
  /// or a peer. An invalid object is kept aside and the valid one before it
  /// stays in force. Returns what happened, for the time line.
  std::vector<Event> merge(const std::vector<StoredObject> &Objects);
  /// The view in force; never null, and its version never falls.
  SettingsPtr current() const { return Current_; }
  /// The highest version seen, also of invalid objects.
  uint64_t version() const { return Version_; }
  wire::SettingsDigest digest() const;
  /// Answers a peer's digest or pull; an empty result means nothing to send.
  std::optional<wire::SettingsPush>
  answer(const wire::SettingsPull &Pull) const;
  std::optional<wire::SettingsPull>
  compare(const wire::SettingsDigest &Theirs) const;
  std::vector<Event> merge(const wire::SettingsPush &Push);
  /// Keys refused now, each with the reason; for /status.
  const std::map<std::string, std::string> &refused() const { return Refused_; }

private:
  struct Entry {
    StoredObject Newest;
    /// The newest valid value; what is in force.
    std::optional<StoredObject> InForce;
  };
  void rebuild();

  std::map<std::string, Entry> Objects_;
  std::map<std::string, std::string> Refused_;
  SettingsPtr Current_ = std::make_shared<Settings>();
  uint64_t Version_ = 0;
};

} // namespace dragonflystall

#endif
