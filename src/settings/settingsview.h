// The settings as this process knows them: objects by key and version, the
// checked model built from them, and the exchange with peers. No I/O.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H
#define DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H

#include "dragonflystall/event.h"
#include "objectstore/link.h"
#include "settings/assemble.h"

#include <control.pb.h>

namespace dragonflystall {

/// A push to a peer holds at most so much, or one object.
constexpr size_t MaxPushBytes = 48 << 10;

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
  /// Answers a peer's pull; an empty result means nothing to send.
  std::optional<wire::SettingsPush>
  answer(const wire::SettingsPull &Pull) const;
  /// What to ask a peer for that sent its digest, if it has anything newer.
  std::optional<wire::SettingsPull>
  compare(const wire::SettingsDigest &Theirs) const;
  /// What to ask the sender of a merged push for next, if it has more.
  std::optional<wire::SettingsPull> next(const wire::SettingsPush &Push) const;
  std::vector<Event> merge(const wire::SettingsPush &Push);
  /// Keys refused now, each with the reason; for /status.
  const std::map<std::string, std::string> &refused() const { return Refused_; }

private:
  bool take(const StoredObject &Object);
  bool takeEarlier(SettingsEntry &Entry, const StoredObject &Object);
  void rebuild(std::vector<Event> &Events);
  void noteRefused(const Assembly &Built, std::vector<Event> &Events);
  void noteZones(const Settings &Old, std::vector<Event> &Events) const;
  uint64_t hash() const;

  /// Invariant: complete up to Version_, i.e. for each key it holds what the
  /// platform held at Version_, or newer. Pushes go by rising version and
  /// start where the receiver stands, which keeps this true.
  SettingsEntries Entries_;
  /// The newest objects' keys by their versions.
  std::map<uint64_t, const std::string *> ByVersion_;
  std::map<std::string, std::string> Refused_;
  SettingsPtr Current_ = std::make_shared<Settings>();
  uint64_t Version_ = 0;
  uint64_t Hash_ = 0;
};

} // namespace dragonflystall

#endif
