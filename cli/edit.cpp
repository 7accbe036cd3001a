// Reads an object, changes and checks it, and stores it by a conditional
// update; repeats all this on a conflict.
#include "edit.h"

#include "settings/objects.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr int MaxAttempts = 5;

int report(const Options &Opts, const Edit &Wanted, std::string_view Outcome,
           uint64_t Version, const std::string &Detail, int Code) {
  if (Opts.json())
    fmt::print("{}\n", Json{{"key", Wanted.Key},
                            {"outcome", Outcome},
                            {"version", Version},
                            {"detail", Detail}}
                           .dump(2));
  else
    fmt::print("{}: {}, version {}{}{}\n", Wanted.Key, Outcome, Version,
               Detail.empty() ? "" : ": ", Detail);
  return Code;
}

/// Prevents an edit from storing a value that every process would refuse.
SettingErrors check(const std::string &Key, const std::string &Value) {
  const auto Parsed = parseSettingsKey(Key);
  if (!Parsed)
    return {{"", "a valid name"}};
  return readSettings(*Parsed, Value).Errors;
}

} // namespace

int runEdit(const Options &Opts, const Edit &Wanted) {
  Platform Target(Opts.platform(), Opts.timeout());
  WriteResult Result;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const StoreAnswer Stored =
        Target.read({.Kind = StoreCallKind::Get, .Key = Wanted.Key});
    if (Stored.Status == StoreStatus::Absent)
      return report(Opts, Wanted, "absent", 0, "no such object", Failed);
    if (Stored.Status != StoreStatus::Done)
      return reportFailure(Stored);
    Json Value = Json::parse(Stored.Objects.front().Value, nullptr, false);
    const uint64_t Version = Stored.Objects.front().Version;
    if (!Value.is_object() || !Wanted.Change(Value))
      return report(Opts, Wanted, "unchanged", Version, "", Success);
    const SettingErrors Errors = check(Wanted.Key, Value.dump());
    if (!Errors.empty())
      return report(Opts, Wanted, "invalid", Version, toString(Errors), Failed);
    Result = Target.write({.Kind = StoreCallKind::Put,
                           .Key = Wanted.Key,
                           .Version = Version,
                           .Value = Value.dump(),
                           .Team = Wanted.Team});
    if (Result.Outcome != WriteOutcome::Conflict)
      break;
  }
  return report(Opts, Wanted, name(Result.Outcome),
                Result.Stored ? Result.Stored->Version : 0, Result.Detail,
                exitCodeOf(Result.Outcome));
}

} // namespace dragonflystall::cli
