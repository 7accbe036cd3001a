// A deployment file: one JSON object whose keys are platform keys under
// settings/ and whose values are the objects to store; null deletes a key.
#ifndef DRAGONFLYSTALL_CLI_SETTINGSFILE_H
#define DRAGONFLYSTALL_CLI_SETTINGSFILE_H

#include "settings/assemble.h"

#include <nlohmann/json.hpp>

namespace dragonflystall::cli {

struct FileEntry {
  std::string Key;
  /// The value as JSON text; unset to delete the object.
  std::optional<std::string> Value;
};

/// Zones come first, because services refer to them.
using FileEntries = std::vector<FileEntry>;

/// An error in one object; the path is within its value.
struct KeyError {
  std::string Key;
  SettingError Error;
};

std::optional<std::string> readFile(const std::string &Path);
tl::expected<FileEntries, SettingErrors>
parseSettingsFile(const std::string &Text);

/// Checks each value, and that all values are consistent with each other and
/// with the stored objects.
std::vector<KeyError> checkEntries(const FileEntries &Wanted,
                                   const std::vector<StoredObject> &Stored,
                                   ZoneCheck Zones);

/// Prints the errors, one per line or as JSON.
void printErrors(const std::vector<KeyError> &Errors, bool AsJson);

} // namespace dragonflystall::cli

#endif
