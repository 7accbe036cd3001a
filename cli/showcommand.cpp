// `dragonflystall show`: prints objects as they are stored on the platform.
#include "admin.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Summary =
    "Shows the objects whose keys begin with PREFIX (settings/ by default), "
    "with their\nversions and the writer mark of the last write.";

void print(const StoredObject &Object) {
  const Json Value = Json::parse(Object.Value, nullptr, false);
  fmt::print("{} version {} writer {}\n{}\n", Object.Key, Object.Version,
             Object.Writer.empty() ? "-" : Object.Writer,
             Value.is_discarded() ? Object.Value : Value.dump(2));
}

Json toJson(const StoredObject &Object) {
  return {{"key", Object.Key},
          {"version", Object.Version},
          {"writer", Object.Writer},
          {"value", Json::parse(Object.Value, nullptr, false)}};
}

} // namespace

int runShow(const Arguments &Args) {
  Options Opts("show", "[PREFIX]", Summary);
  Opts.addPlatform();
  Opts.positional("prefix");
  if (const auto Code = Opts.parse(Args))
    return *Code;
  const std::string Prefix =
      Opts.has("prefix") ? Opts.text("prefix") : "settings/";
  Platform Target(Opts.platform(), Opts.timeout());
  const StoreAnswer Answer =
      Target.read({.Kind = StoreCallKind::List, .Key = Prefix});
  if (Answer.Status != StoreStatus::Done)
    return reportFailure(Answer);
  Json List = Json::array();
  for (const StoredObject &Object : Answer.Objects) {
    if (Opts.json())
      List.push_back(toJson(Object));
    else
      print(Object);
  }
  if (Opts.json())
    fmt::print("{}\n",
               Json{{"revision", Answer.Revision}, {"objects", List}}.dump(2));
  if (Answer.Objects.empty())
    fmt::print(stderr, "no object has a key that begins with {}\n", Prefix);
  return Answer.Objects.empty() ? Failed : Success;
}

} // namespace dragonflystall::cli
