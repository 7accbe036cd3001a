// The objects under settings/: parses their keys, checks their values against
// the tables of keys, and converts the values into the model.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_OBJECTS_H
#define DRAGONFLYSTALL_SRC_SETTINGS_OBJECTS_H

#include "dragonflystall/settings.h"
#include "objectstore/store.h"
#include "settings/settingerror.h"

#include <memory>
#include <tl/expected.hpp>
#include <variant>

namespace dragonflystall {

struct Key;

constexpr std::string_view SettingsPrefix = "settings/";

enum class SettingsKind : uint8_t { Service, Zone };

/// "settings/<team>/services/<name>" or "settings/zones/<name>".
struct SettingsKey {
  SettingsKind Kind = SettingsKind::Service;
  std::string Team; ///< Empty for a zone.
  std::string Name;
};

std::optional<SettingsKey> parseSettingsKey(std::string_view Text);
std::string serviceKey(std::string_view Team, std::string_view Name);
std::string zoneKey(std::string_view Name);

using SettingsValue = std::variant<ServiceSettings, ZoneSettings>;

/// A parsed value and its errors. An invalid value holds the keys that could be
/// read, and defaults for the others.
struct ReadSettings {
  SettingsValue Value;
  SettingErrors Errors;
};

/// Checks the value on its own and returns all errors at once. Rules that
/// involve other objects are checked by assemble().
ReadSettings readSettings(const SettingsKey &Key, const std::string &Json);

/// A stored object and its parsed value.
struct SettingsObject {
  StoredObject Stored;
  /// Null if the value is invalid or the object is a tombstone.
  std::shared_ptr<const SettingsValue> Value;
  SettingErrors Errors;
};

SettingsObject readSettingsObject(StoredObject Stored);

/// The keys in the value of a service and of a zone, for the reference page.
std::vector<Key> serviceKeys();
std::vector<Key> zoneKeys();

} // namespace dragonflystall

#endif
