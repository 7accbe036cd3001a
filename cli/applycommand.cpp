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
    "its\nkeys on behalf of TEAM by a conditional update. Several keys are not "
    "atomic: when\none fails, the ones before it stay and the ones behind it "
    "are left alone.";

/// What is to be done to one key.
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
    Change C{Entry, {}, {}};
    for (const StoredObject &Object : Stored)
      if (Object.Key == Entry.Key)
        C.Stored = Object;
    C.Patch =
        Json::diff(parsed(C.Stored.Value), parsed(Entry.Value.value_or("")));
    Changes.push_back(std::move(C));
  }
  return Changes;
}

void printChange(const Change &C) {
  if (C.Patch.empty()) {
    fmt::print("{}: unchanged at version {}\n", C.Wanted.Key, C.Stored.Version);
    return;
  }
  const std::string_view What = !C.Wanted.Value         ? "delete"
                                : C.Stored.Version == 0 ? "create"
                                                        : "change";
  fmt::print("{}: {}\n", C.Wanted.Key, What);
  const Json Old = parsed(C.Stored.Value);
  for (const Json &Step : C.Patch) {
    const std::string Path = Step["path"];
    const Json::json_pointer Pointer(Path);
    if (Step["op"] != "add" && !Old.is_null() && Old.contains(Pointer))
      fmt::print("  - {} {}\n", Path.empty() ? "/" : Path, Old[Pointer].dump());
    if (Step.contains("value"))
      fmt::print("  + {} {}\n", Path.empty() ? "/" : Path,
                 Step["value"].dump());
  }
}

void explain(const Change &C, const WriteResult &Result) {
  const std::string &Key = C.Wanted.Key;
  const uint64_t Now = Result.Stored ? Result.Stored->Version : 0;
  switch (Result.Outcome) {
  case WriteOutcome::Written:
    fmt::print("{}: stored, version {}\n", Key, Now);
    return;
  case WriteOutcome::Conflict:
    fmt::print("{}: conflict: it was at version {} when read, and somebody "
               "changed it to version {} since. Nothing of this key was "
               "written. Look at it (show) and apply again.\n",
               Key, C.Stored.Version, Now);
    return;
  case WriteOutcome::Refused:
    fmt::print("{}: the platform refused it: {}\n", Key, Result.Detail);
    return;
  case WriteOutcome::Unknown:
    fmt::print("{}: unknown: the platform gave no clear answer in time ({}). "
               "It may be stored. Look at it (show) before applying again.\n",
               Key, Result.Detail);
    return;
  }
}

WriteResult store(Platform &Target, const Change &C, const std::string &Team) {
  const bool Delete = !C.Wanted.Value;
  return Target.write(
      {.Kind = Delete ? StoreCallKind::Delete : StoreCallKind::Put,
       .Key = C.Wanted.Key,
       .Version = C.Stored.Version,
       .Value = C.Wanted.Value.value_or(""),
       .Team = Team});
}

/// Stores the changes in order up to the first that fails.
int storeAll(Platform &Target, const std::vector<Change> &Changes,
             const std::string &Team, Json &Report, bool AsJson) {
  for (const Change &C : Changes) {
    if (C.Patch.empty())
      continue;
    const WriteResult Result = store(Target, C, Team);
    if (!AsJson)
      explain(C, Result);
    Report.push_back({{"key", C.Wanted.Key},
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
  for (const Change &C : Changes)
    Out.push_back({{"key", C.Wanted.Key},
                   {"version", C.Stored.Version},
                   {"diff", C.Patch}});
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
    for (const Change &C : Changes)
      printChange(C);
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
