// Combines the settings objects into one consistent view: no address belongs
// to two services, no networks of two zones overlap, and every zone that a
// service names exists.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_ASSEMBLE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_ASSEMBLE_H

#include "settings/objects.h"

#include <map>

namespace dragonflystall {

/// The stored objects of one key.
struct SettingsEntry {
  SettingsObject Newest;
  /// While Newest is refused: the valid object that was in force before it.
  /// Invariant: older than Newest.
  std::optional<SettingsObject> Earlier;
};

using SettingsEntries = std::map<std::string, SettingsEntry>;

struct Assembly {
  Settings Value;
  /// Keys whose newest object is not in force, with the reasons.
  std::map<std::string, SettingErrors> Refused;
};

enum class ZoneCheck : uint8_t {
  Strict, ///< A service may only name zones that exist.
  None,   ///< The zones are not available for the check.
};

/// The result depends on the entries alone, not on the order in which they
/// arrived. Where two objects conflict, the one with the older version stays
/// in force.
Assembly assemble(const SettingsEntries &Entries,
                  ZoneCheck Zones = ZoneCheck::Strict);

} // namespace dragonflystall

#endif
