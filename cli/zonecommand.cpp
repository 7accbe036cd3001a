// `dragonflystall zone`: takes an availability zone out of service, or back.
#include "edit.h"

#include "settings/objects.h"

#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

constexpr std::string_view Summary =
    "Takes an availability zone out of service, or brings it back. Out: no "
    "packet\nis sent into the zone and its flows are abandoned. Acts for the "
    "team operations.";

} // namespace

int runZone(const Arguments &Args) {
  Options Opts("zone", "out|in ZONE", Summary);
  Opts.addPlatform();
  Opts.positional("state");
  Opts.positional("zone");
  if (const auto Code = Opts.parse(Args))
    return *Code;
  const std::string State = Opts.has("state") ? Opts.text("state") : "";
  if (!Opts.has("zone") || (State != "out" && State != "in")) {
    fmt::print(stderr, "zone: out or in and a ZONE are required\n");
    return BadUsage;
  }
  return runEdit(Opts, {zoneKey(Opts.text("zone")), "operations",
                        [&State](nlohmann::json &Value) {
                          if (Value.value("state", "") == State)
                            return false;
                          Value["state"] = State;
                          return true;
                        }});
}

} // namespace dragonflystall::cli
