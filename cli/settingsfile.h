// A deployment file: one JSON object whose keys are platform keys under
// settings/ and whose values are what to store there; null deletes.
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

/// Zones first, since services name them.
using FileEntries = std::vector<FileEntry>;

/// An error in one object; the path is within its value.
struct KeyError {
  std::string Key;
  SettingError Error;
};

std::optional<std::string> readFile(const std::string &Path);
tl::expected<FileEntries, SettingErrors>
parseSettingsFile(const std::string &Text);

/// Checks each value and that all fit together with what is stored now.
std::vector<KeyError> checkEntries(const FileEntries &Wanted,
                                   const std::vector<StoredObject> &Stored,
                                   ZoneCheck Zones);

/// The errors, one a line, or as JSON.
void printErrors(const std::vector<KeyError> &Errors, bool AsJson);

} // namespace dragonflystall::cli

#endif
