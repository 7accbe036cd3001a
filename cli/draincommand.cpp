// `dragonflystall drain`: drains one upstream of a service, or undoes this.
#include "edit.h"

#include "settings/objects.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Summary =
    "Drains an upstream: it accepts no new work, finishes the running "
    "requests\nand hands its flows over. SERVICE is TEAM/NAME, UPSTREAM is "
    "the name of its agent\nas `status` shows it. --undo ends the drain.";

/// Adds the name to the list of drained upstreams, or removes it.
bool mark(Json &Value, const std::string &Upstream, bool Undo) {
  Json &List = Value["drained"];
  if (!List.is_array())
    List = Json::array();
  const auto It = std::find(List.begin(), List.end(), Json(Upstream));
  if ((It != List.end()) != Undo)
    return false;
  if (Undo)
    List.erase(It);
  else
    List.push_back(Upstream);
  return true;
}

} // namespace

int runDrain(const Arguments &Args) {
  Options Opts("drain", "SERVICE UPSTREAM [--undo]", Summary);
  Opts.table().add_options()("undo", "let the upstream serve again");
  Opts.addPlatform();
  Opts.positional("service");
  Opts.positional("upstream");
  if (const auto Code = Opts.parse(Args))
    return *Code;
  const std::string Service = Opts.has("service") ? Opts.text("service") : "";
  const size_t Slash = Service.find('/');
  if (!Opts.has("upstream") || Slash == std::string::npos) {
    fmt::print(stderr, "drain: TEAM/SERVICE and UPSTREAM are required\n");
    return BadUsage;
  }
  const std::string Team = Service.substr(0, Slash);
  const std::string Upstream = Opts.text("upstream");
  const bool Undo = Opts.has("undo");
  return runEdit(Opts,
                 {serviceKey(Team, Service.substr(Slash + 1)), Team,
                  [&](Json &Value) { return mark(Value, Upstream, Undo); }});
}

} // namespace dragonflystall::cli
