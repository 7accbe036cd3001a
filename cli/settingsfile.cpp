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

/// Makes the object the newest of its key and keeps the last readable value
/// before it, as SettingsView does.
void overlay(SettingsEntries &Entries, StoredObject Object) {
  SettingsEntry &Entry = Entries[Object.Key];
  if (Object.Deleted)
    Entry.Earlier.reset();
  else if (Entry.Newest.Value)
    Entry.Earlier = std::move(Entry.Newest);
  Entry.Newest = readSettingsObject(std::move(Object));
}

void addErrors(const std::string &Key, const SettingErrors &Found,
               std::vector<KeyError> &Errors) {
  for (const SettingError &E : Found)
    Errors.push_back({Key, E});
}

/// Moves the errors of the value itself into Errors. The parts that could be
/// read stay, so that conflicts with other objects are found as well.
void moveValueErrors(const std::string &Key, SettingsEntries &Entries,
                     std::vector<KeyError> &Errors) {
  SettingsObject &Object = Entries.at(Key).Newest;
  const auto Parsed = parseSettingsKey(Key);
  if (Object.Errors.empty() || !Parsed)
    return;
  addErrors(Key, Object.Errors, Errors);
  Object.Errors.clear();
  Object.Value = std::make_shared<SettingsValue>(
      readSettings(*Parsed, Object.Stored.Value).Value);
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
  std::vector<KeyError> Errors;
  for (const FileEntry &Entry : Wanted)
    moveValueErrors(Entry.Key, Entries, Errors);
  const Assembly Built = assemble(Entries, Zones);
  for (const FileEntry &Entry : Wanted)
    if (const auto It = Built.Refused.find(Entry.Key);
        It != Built.Refused.end())
      addErrors(Entry.Key, It->second, Errors);
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
