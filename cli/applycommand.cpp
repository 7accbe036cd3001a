// `dragonflystall apply`: checks a deployment file, shows what it changes and
// stores each object by a conditional update.
#include "admin.h"
#include "settingsfile.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Summary =
    "Checks FILE, shows the difference from what is stored, and stores each of "
    "its\nkeys on behalf of TEAM by a conditional update. The update of "
    "several keys is\nnot atomic: when one fails, the keys before it stay "
    "stored and the keys after it\nare not written.";

/// The planned change of one key.
struct Change {
  FileEntry Wanted;
  /// Version 0 when there is no object.
  StoredObject Stored;
  Json Patch; ///< RFC 6902; empty when nothing changes.
};

Json parsed(const std::string &Text) {
  return Text.empty() ? Json() : Json::parse(Text, nullptr, false);
}

std::vector<Change> changesOf(const FileEntries &Wanted,
                              const std::vector<StoredObject> &Stored) {
  std::vector<Change> Changes;
  for (const FileEntry &Entry : Wanted) {
    Change Planned{Entry, {}, {}};
    for (const StoredObject &Object : Stored)
      if (Object.Key == Entry.Key)
        Planned.Stored = Object;
    Planned.Patch = Json::diff(parsed(Planned.Stored.Value),
                               parsed(Entry.Value.value_or("")));
    Changes.push_back(std::move(Planned));
  }
  return Changes;
}

void printChange(const Change &Planned) {
  if (Planned.Patch.empty()) {
    fmt::print("{}: unchanged at version {}\n", Planned.Wanted.Key,
               Planned.Stored.Version);
    return;
  }
  const std::string_view Operation = !Planned.Wanted.Value         ? "delete"
                                     : Planned.Stored.Version == 0 ? "create"
                                                                   : "change";
  fmt::print("{}: {}\n", Planned.Wanted.Key, Operation);
  const Json Old = parsed(Planned.Stored.Value);
  for (const Json &Step : Planned.Patch) {
    const std::string Path = Step["path"];
    const Json::json_pointer Pointer(Path);
    if (Step["op"] != "add" && !Old.is_null() && Old.contains(Pointer))
      fmt::print("  - {} {}\n", Path.empty() ? "/" : Path, Old[Pointer].dump());
    if (Step.contains("value"))
      fmt::print("  + {} {}\n", Path.empty() ? "/" : Path,
                 Step["value"].dump());
  }
}

void printResult(const Change &Planned, const WriteResult &Result) {
  const std::string &Key = Planned.Wanted.Key;
  const uint64_t Version = Result.Stored ? Result.Stored->Version : 0;
  switch (Result.Outcome) {
  case WriteOutcome::Written:
    fmt::print("{}: stored, version {}\n", Key, Version);
    return;
  case WriteOutcome::Conflict:
    fmt::print("{}: conflict: the key was at version {} when read and has been "
               "changed to version {} since. Nothing was written to this key. "
               "Check its value (show) and apply again.\n",
               Key, Planned.Stored.Version, Version);
    return;
  case WriteOutcome::Refused:
    fmt::print("{}: the platform refused the write: {}\n", Key, Result.Detail);
    return;
  case WriteOutcome::Unknown:
    fmt::print(
        "{}: unknown: the platform gave no clear answer in time ({}). "
        "The value may be stored. Check it (show) before applying again.\n",
        Key, Result.Detail);
    return;
  }
}

WriteResult store(Platform &Target, const Change &Planned,
                  const std::string &Team) {
  const bool Delete = !Planned.Wanted.Value;
  return Target.write(
      {.Kind = Delete ? StoreCallKind::Delete : StoreCallKind::Put,
       .Key = Planned.Wanted.Key,
       .Version = Planned.Stored.Version,
       .Value = Planned.Wanted.Value.value_or(""),
       .Team = Team});
}

/// Stores the changes in order and stops at the first failure.
int storeAll(Platform &Target, const std::vector<Change> &Changes,
             const std::string &Team, Json &Report, bool AsJson) {
  for (const Change &Planned : Changes) {
    if (Planned.Patch.empty())
      continue;
    const WriteResult Result = store(Target, Planned, Team);
    if (!AsJson)
      printResult(Planned, Result);
    Report.push_back({{"key", Planned.Wanted.Key},
                      {"outcome", name(Result.Outcome)},
                      {"version", Result.Stored ? Result.Stored->Version : 0},
                      {"detail", Result.Detail}});
    if (Result.Outcome != WriteOutcome::Written)
      return exitCodeOf(Result.Outcome);
  }
  return Success;
}

Json reportOf(const std::vector<Change> &Changes) {
  Json Out = Json::array();
  for (const Change &Planned : Changes)
    Out.push_back({{"key", Planned.Wanted.Key},
                   {"version", Planned.Stored.Version},
                   {"diff", Planned.Patch}});
  return Out;
}

int applyEntries(const Options &Opts, const FileEntries &Wanted) {
  Platform Target(Opts.platform(), Opts.timeout());
  const StoreAnswer Stored =
      Target.read({.Kind = StoreCallKind::List, .Key = "settings/"});
  if (Stored.Status != StoreStatus::Done)
    return reportFailure(Stored);
  const auto Errors = checkEntries(Wanted, Stored.Objects, ZoneCheck::Strict);
  if (!Errors.empty()) {
    printErrors(Errors, Opts.json());
    return Failed;
  }
  const std::vector<Change> Changes = changesOf(Wanted, Stored.Objects);
  Json Report = {{"changes", reportOf(Changes)}, {"results", Json::array()}};
  if (!Opts.json())
    for (const Change &Planned : Changes)
      printChange(Planned);
  int Code = Success;
  if (!Opts.has("dry-run"))
    Code = storeAll(Target, Changes, Opts.text("team"), Report["results"],
                    Opts.json());
  if (Opts.json())
    fmt::print("{}\n", Report.dump(2));
  return Code;
}

} // namespace

int runApply(const Arguments &Args) {
  Options Opts("apply", "TEAM FILE [--dry-run]", Summary);
  Opts.table().add_options()("dry-run", "only check and show the difference");
  Opts.addPlatform();
  Opts.positional("team");
  Opts.positional("file");
  if (const auto Code = Opts.parse(Args))
    return *Code;
  if (!Opts.has("file")) {
    fmt::print(stderr, "apply: TEAM and FILE are required\n");
    return BadUsage;
  }
  const auto Text = readFile(Opts.text("file"));
  if (!Text) {
    fmt::print(stderr, "apply: cannot read {}\n", Opts.text("file"));
    return BadUsage;
  }
  const auto Wanted = parseSettingsFile(*Text);
  if (!Wanted) {
    std::vector<KeyError> Errors;
    for (const SettingError &E : Wanted.error())
      Errors.push_back({Opts.text("file"), E});
    printErrors(Errors, Opts.json());
    return Failed;
  }
  return applyEntries(Opts, *Wanted);
}

} // namespace dragonflystall::cli
