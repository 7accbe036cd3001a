// Puts single settings objects together to one view in which they fit: no
// address in two services, no network in two zones, no zone that is missing.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_ASSEMBLE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_ASSEMBLE_H

#include "settings/objects.h"

#include <map>

namespace dragonflystall {

/// What is known of one key.
struct SettingsEntry {
  SettingsObject Newest;
  /// The valid object that was in force before Newest, while Newest is
  /// refused. Invariant: older than Newest.
  std::optional<SettingsObject> Earlier;
};

using SettingsEntries = std::map<std::string, SettingsEntry>;

struct Assembly {
  Settings Value;
  /// Keys whose newest object isn't in force, and why.
  std::map<std::string, SettingErrors> Refused;
};

enum class ZoneCheck : uint8_t {
  Strict, ///< A service may only name zones that exist.
  None,   ///< The zones are not at hand.
};

/// Depends on the entries alone, not on the order in which they came. Where
/// two objects clash, the older version stays.
Assembly assemble(const SettingsEntries &Entries,
                  ZoneCheck Zones = ZoneCheck::Strict);

} // namespace dragonflystall

#endif
