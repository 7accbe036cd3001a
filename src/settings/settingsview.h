// The settings that this process has received: the objects by key and version,
// the checked model built from them, and the contents of the messages that are
// exchanged with peers. No I/O.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H
#define DRAGONFLYSTALL_SRC_SETTINGS_SETTINGSVIEW_H

#include "dragonflystall/event.h"
#include "objectstore/link.h"
#include "settings/assemble.h"

#include <control.pb.h>

namespace dragonflystall {

/// Size limit of the newest objects in a push to a peer; a single larger object
/// is sent in a push of its own.
constexpr size_t MaxPushBytes = 48 << 10;

class SettingsView {
public:
  /// Merges objects from the platform or a peer that are newer than the stored
  /// ones. An invalid object is stored, but the valid one before it stays in
  /// force. Returns the resulting events for the time line.
  std::vector<Event> merge(const std::vector<StoredObject> &Objects);
  /// The settings in force. Never null; the version never decreases.
  SettingsPtr current() const { return Current_; }
  /// The highest version received, including the versions of invalid objects.
  uint64_t version() const { return Version_; }
  wire::SettingsDigest digest() const;
  /// The answer to a peer's pull; std::nullopt if there is nothing to send.
  std::optional<wire::SettingsPush>
  answer(const wire::SettingsPull &Pull) const;
  /// The pull to send to a peer after its digest, if the peer may have objects
  /// that are missing here.
  std::optional<wire::SettingsPull>
  compare(const wire::SettingsDigest &PeerDigest) const;
  /// The pull to send after merging a push, if its sender has more objects.
  std::optional<wire::SettingsPull> next(const wire::SettingsPush &Push) const;
  std::vector<Event> merge(const wire::SettingsPush &Push);
  /// Keys whose newest object is refused, with the reasons; for /status.
  const std::map<std::string, std::string> &refused() const { return Refused_; }

private:
  bool storeIfNewer(const StoredObject &Object);
  bool storeEarlierValid(SettingsEntry &Entry, const StoredObject &Object);
  void rebuild(std::vector<Event> &Events);
  void updateRefused(const Assembly &Built, std::vector<Event> &Events);
  void addZoneEvents(const Settings &Old, std::vector<Event> &Events) const;
  uint64_t hash() const;

  /// Invariant: complete up to Version_, i.e. each key has the object that the
  /// platform had at Version_, or a newer one. Pushes keep this invariant: they
  /// are in ascending order of versions and start at the receiver's version.
  SettingsEntries Entries_;
  /// The keys of the newest objects, by version. After a restore of the
  /// platform several may have the same version.
  std::multimap<uint64_t, const std::string *> ByVersion_;
  std::map<std::string, std::string> Refused_;
  SettingsPtr Current_ = std::make_shared<Settings>();
  uint64_t Version_ = 0;
  uint64_t Hash_ = 0;
};

} // namespace dragonflystall

#endif
