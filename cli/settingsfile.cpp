// Reading and checking of deployment files.
#include "settingsfile.h"

#include "settings/schema.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace dragonflystall::cli {

namespace {

bool isZone(const FileEntry &Entry) {
  const auto Key = parseSettingsKey(Entry.Key);
  return Key && Key->Kind == SettingsKind::Zone;
}

/// Puts the object over what is known of its key, as a view would.
void overlay(SettingsEntries &Entries, StoredObject Object) {
  SettingsEntry &Entry = Entries[Object.Key];
  if (Object.Deleted)
    Entry.Earlier.reset();
  else if (Entry.Newest.Value)
    Entry.Earlier = std::move(Entry.Newest);
  Entry.Newest = readSettingsObject(std::move(Object));
}

} // namespace

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

tl::expected<FileEntries, SettingErrors>
parseSettingsFile(const std::string &Text) {
  SettingErrors Errors;
  const std::optional<Json> Object = parseJson(Text, Errors);
  if (Object && !Object->is_object())
    Errors.push_back({"", "an object of platform keys and their values"});
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  FileEntries Entries;
  for (const auto &[Key, Value] : Object->items()) {
    FileEntry Entry{Key, std::nullopt};
    if (!Value.is_null())
      Entry.Value = Value.dump();
    Entries.push_back(std::move(Entry));
  }
  std::stable_partition(Entries.begin(), Entries.end(), isZone);
  return Entries;
}

std::vector<KeyError> checkEntries(const FileEntries &Wanted,
                                   const std::vector<StoredObject> &Stored,
                                   ZoneCheck Zones) {
  SettingsEntries Entries;
  uint64_t Version = 0;
  for (const StoredObject &Object : Stored) {
    overlay(Entries, Object);
    Version = std::max(Version, Object.Version);
  }
  for (const FileEntry &Entry : Wanted)
    overlay(Entries, {Entry.Key, ++Version, Entry.Value.value_or(""),
                      !Entry.Value.has_value()});
  const Assembly Built = assemble(Entries, Zones);
  std::vector<KeyError> Errors;
  for (const FileEntry &Entry : Wanted) {
    const auto It = Built.Refused.find(Entry.Key);
    if (It == Built.Refused.end())
      continue;
    for (const SettingError &E : It->second)
      Errors.push_back({Entry.Key, E});
  }
  return Errors;
}

void printErrors(const std::vector<KeyError> &Errors, bool AsJson) {
  Json List = Json::array();
  for (const KeyError &E : Errors) {
    if (AsJson)
      List.push_back({{"key", E.Key},
                      {"path", E.Error.Path},
                      {"expected", E.Error.Expected}});
    else
      fmt::print("{}{}: expected {}\n", E.Key,
                 E.Error.Path.empty() ? "" : " " + E.Error.Path,
                 E.Error.Expected);
  }
  if (AsJson)
    fmt::print("{}\n", Json{{"errors", List}}.dump(2));
}

} // namespace dragonflystall::cli
