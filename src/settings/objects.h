// The objects under settings/: their keys, and their values checked against
// the tables and read into the model.
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

/// A value with what is wrong with it. Of an invalid value, what could be read
/// is there, and defaults in place of the rest.
struct ReadSettings {
  SettingsValue Value;
  SettingErrors Errors;
};

/// Checks the value by itself; what depends on other objects is checked by
/// assemble(). All errors at once.
ReadSettings readSettings(const SettingsKey &Key, const std::string &Json);

/// An object and what its value says.
struct SettingsObject {
  StoredObject Stored;
  /// Null when the value is invalid, or the object is a tombstone.
  std::shared_ptr<const SettingsValue> Value;
  SettingErrors Errors;
};

SettingsObject readSettingsObject(StoredObject Stored);

/// The keys of a service's and a zone's value, for the reference page.
std::vector<Key> serviceKeys();
std::vector<Key> zoneKeys();

} // namespace dragonflystall

#endif
