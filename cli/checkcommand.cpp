// `dragonflystall check`: reports all errors of settings files.
#include "admin.h"
#include "settingsfile.h"

#include "settings/hostsettings.h"
#include "settings/reference.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

constexpr std::string_view Summary =
    "Checks settings without storing anything and prints all errors at once, "
    "each with\nits key, its JSON path and what was expected. FILE is a "
    "deployment file; with --team\nand --name it is the value of one service, "
    "with --zone-name the value of one zone,\nwith --host the settings file of "
    "a process. With --deployment all deployment files\nof a directory are "
    "checked together. Zones that services name are checked when any\nzone is "
    "in the files, or against the platform with --against-platform.";

/// The entries of the files read so far, and the errors found in reading.
struct Collected {
  FileEntries Entries;
  std::vector<KeyError> Errors;
};

void collectFile(const std::string &Path, Collected &Into) {
  const auto Text = readFile(Path);
  if (!Text) {
    Into.Errors.push_back({Path, {"", "a file that can be read"}});
    return;
  }
  auto Entries = parseSettingsFile(*Text);
  if (!Entries) {
    for (SettingError &E : Entries.error())
      Into.Errors.push_back({Path, std::move(E)});
    return;
  }
  for (FileEntry &Entry : *Entries)
    Into.Entries.push_back(std::move(Entry));
}

void collectDirectory(const std::string &Path, Collected &Into) {
  std::error_code Failure;
  std::vector<std::string> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(Path, Failure))
    if (Entry.path().extension() == ".json" &&
        Entry.path().filename().string().starts_with("settings-"))
      Files.push_back(Entry.path().string());
  if (Failure)
    Into.Errors.push_back({Path, {"", "a directory that can be read"}});
  std::sort(Files.begin(), Files.end());
  for (const std::string &File : Files)
    collectFile(File, Into);
}

/// Reads a file that holds the value of a single key.
void collectValue(const std::string &Path, const std::string &Key,
                  Collected &Into) {
  auto Text = readFile(Path);
  if (Text)
    Into.Entries.push_back({Key, std::move(*Text)});
  else
    Into.Errors.push_back({Path, {"", "a file that can be read"}});
}

Collected collect(const Options &Opts) {
  Collected Out;
  const std::string File = Opts.text("file");
  if (Opts.has("team"))
    collectValue(File, serviceKey(Opts.text("team"), Opts.text("name")), Out);
  else if (Opts.has("zone-name"))
    collectValue(File, zoneKey(Opts.text("zone-name")), Out);
  else
    for (const std::string &Path : Opts.texts("file"))
      collectFile(Path, Out);
  if (Opts.has("deployment"))
    collectDirectory(Opts.text("deployment"), Out);
  return Out;
}

int finish(const std::vector<KeyError> &Errors, bool AsJson) {
  if (AsJson || !Errors.empty())
    printErrors(Errors, AsJson);
  else
    fmt::print("no errors\n");
  return Errors.empty() ? Success : Failed;
}

int checkHost(const Options &Opts) {
  const std::string Path = Opts.text("file");
  const auto Text = readFile(Path);
  std::vector<KeyError> Errors;
  if (!Text) {
    Errors.push_back({Path, {"", "a file that can be read"}});
  } else if (const auto Host = parseHostSettings(*Text); !Host) {
    for (const SettingError &E : Host.error())
      Errors.push_back({Path, E});
  }
  return finish(Errors, Opts.json());
}

int checkObjects(const Options &Opts) {
  Collected Found = collect(Opts);
  std::vector<StoredObject> Stored;
  if (Opts.has("against-platform")) {
    Platform Target(Opts.platform(), Opts.timeout());
    StoreAnswer Answer =
        Target.read({.Kind = StoreCallKind::List, .Key = "settings/"});
    if (Answer.Status != StoreStatus::Done)
      return reportFailure(Answer);
    Stored = std::move(Answer.Objects);
  }
  const bool HasZones =
      Opts.has("against-platform") ||
      std::any_of(Found.Entries.begin(), Found.Entries.end(),
                  [](const FileEntry &Entry) {
                    const auto Key = parseSettingsKey(Entry.Key);
                    return Key && Key->Kind == SettingsKind::Zone;
                  });
  const auto Errors = checkEntries(
      Found.Entries, Stored, HasZones ? ZoneCheck::Strict : ZoneCheck::None);
  Found.Errors.insert(Found.Errors.end(), Errors.begin(), Errors.end());
  return finish(Found.Errors, Opts.json());
}

} // namespace

int runCheck(const Arguments &Args) {
  Options Opts("check",
               "FILE... [--team T --name N | --zone-name Z | --host] | "
               "--deployment DIR | --reference",
               Summary);
  Opts.addText("team", "FILE is a service's value: the team");
  Opts.addText("name", "FILE is a service's value: the service");
  Opts.addText("zone-name", "FILE is a zone's value: the zone");
  Opts.addText("deployment", "check all settings-*.json of a directory");
  Opts.table().add_options()("host", "FILE is a process's settings file")(
      "against-platform", "check also against the stored objects")(
      "reference", "print the reference of all keys (docs/SETTINGS.md)");
  Opts.addPlatform();
  Opts.positional("file", -1);
  if (const auto Code = Opts.parse(Args))
    return *Code;
  if (Opts.has("reference")) {
    fmt::print("{}", settingsReference());
    return Success;
  }
  const bool HasInput = Opts.has("file") || Opts.has("deployment");
  if (!HasInput || Opts.has("team") != Opts.has("name")) {
    fmt::print(stderr, "check: FILE or --deployment is required, and --team "
                       "and --name must be given together\n");
    return BadUsage;
  }
  return Opts.has("host") ? checkHost(Opts) : checkObjects(Opts);
}

} // namespace dragonflystall::cli
