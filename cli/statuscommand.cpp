// `dragonflystall status`: where the stored settings are in force, and which
// processes lag, can't reach the platform or refuse a value.
#include "admin.h"

#include "roster/rosterjson.h"
#include "settings/objects.h"

#include <algorithm>
#include <fmt/format.h>
#include <httplib.h>
#include <set>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Summary =
    "Asks the processes for their /status and compares with what the platform "
    "has stored:\nfor each key, how many processes have its version in force; "
    "for each process, how far\nit lags. Agents are found in the rosters; "
    "balancers and others are named by --host.\nExits with 1 if a process "
    "lags, refuses a value or does not answer.";
constexpr int64_t DefaultAdminPort = 7002;
constexpr std::chrono::seconds AskTimeout{2};

struct Process {
  std::string Name;
  Endpoint Admin;
  bool Answered = false;
  Json Status;

  uint64_t seen() const { return Status.value("settings_seen", uint64_t{0}); }
  bool refuses(const std::string &Key) const {
    return Status.contains("refused_settings") &&
           Status["refused_settings"].contains(Key);
  }
};

struct Overview {
  std::vector<StoredObject> Settings;
  std::vector<Process> Processes;

  uint64_t newest() const {
    uint64_t Version = 0;
    for (const StoredObject &Object : Settings)
      Version = std::max(Version, Object.Version);
    return Version;
  }
  /// A process's view is complete up to the version that it has seen.
  bool inForce(const Process &P, const StoredObject &Object) const {
    return P.Answered && P.seen() >= Object.Version && !P.refuses(Object.Key);
  }
  bool good(const Process &P) const {
    return std::all_of(
        Settings.begin(), Settings.end(),
        [&](const StoredObject &Object) { return inForce(P, Object); });
  }
};

void addAgents(const StoredObject &Object, uint16_t AdminPort,
               std::set<Endpoint> &Known, Overview &Into) {
  const auto R = rosterFromJson("", "", Object.Version, Object.Value);
  if (!R)
    return;
  for (const RosterEntry &Agent : R->Agents)
    if (const Endpoint Admin{Agent.Control.Ip, AdminPort};
        Known.insert(Admin).second)
      Into.Processes.push_back({Agent.Name, Admin, false, {}});
}

/// False when the platform does not answer.
bool readPlatform(const Options &Opts, std::set<Endpoint> &Known,
                  Overview &Into) {
  Platform Target(Opts.platform(), Opts.timeout());
  StoreAnswer Settings =
      Target.read({.Kind = StoreCallKind::List, .Key = "settings/"});
  const StoreAnswer Rosters =
      Target.read({.Kind = StoreCallKind::List, .Key = "rosters/"});
  if (Settings.Status != StoreStatus::Done ||
      Rosters.Status != StoreStatus::Done)
    return false;
  Into.Settings = std::move(Settings.Objects);
  for (const StoredObject &Object : Rosters.Objects)
    addAgents(Object, static_cast<uint16_t>(Opts.number("admin-port")), Known,
              Into);
  return true;
}

void ask(Process &P) {
  httplib::Client Client("http://" + toString(P.Admin));
  Client.set_connection_timeout(AskTimeout);
  Client.set_read_timeout(AskTimeout);
  const auto Result = Client.Get("/status");
  if (!Result || Result->status != 200)
    return;
  P.Status = Json::parse(Result->body, nullptr, false);
  P.Answered = P.Status.is_object();
  if (P.Answered)
    P.Name = P.Status.value("name", P.Name);
}

std::string wordsOf(const Overview &All, const Process &P) {
  if (!P.Answered)
    return "no answer";
  std::string Words = All.good(P) ? "up to date" : "lags";
  if (P.seen() < All.newest())
    Words = fmt::format("lags: at version {}", P.seen());
  if (P.Status.value("platform_down", false))
    Words += ", cannot reach the platform";
  for (const auto &[Key, Why] :
       P.Status.value("refused_settings", Json::object()).items())
    Words += fmt::format(", refuses {} ({})", Key,
                         Why.is_string() ? Why.get<std::string>() : Why.dump());
  return Words;
}

size_t countInForce(const Overview &All, const StoredObject &Object) {
  return static_cast<size_t>(
      std::count_if(All.Processes.begin(), All.Processes.end(),
                    [&](const Process &P) { return All.inForce(P, Object); }));
}

void print(const Overview &All) {
  for (const StoredObject &Object : All.Settings)
    fmt::print("{:<44} version {:<6} in force at {} of {}\n", Object.Key,
               Object.Version, countInForce(All, Object), All.Processes.size());
  for (const Process &P : All.Processes)
    fmt::print("{:<28} {:<20} {}\n", P.Name, toString(P.Admin),
               wordsOf(All, P));
}

void printJson(const Overview &All) {
  Json Keys = Json::array();
  for (const StoredObject &Object : All.Settings)
    Keys.push_back({{"key", Object.Key},
                    {"version", Object.Version},
                    {"in_force", countInForce(All, Object)}});
  Json Processes = Json::array();
  for (const Process &P : All.Processes)
    Processes.push_back({{"name", P.Name},
                         {"admin", toString(P.Admin)},
                         {"answered", P.Answered},
                         {"up_to_date", All.good(P)},
                         {"status", P.Status}});
  fmt::print(
      "{}\n",
      Json{{"newest", All.newest()}, {"keys", Keys}, {"processes", Processes}}
          .dump(2));
}

} // namespace

int runStatus(const Arguments &Args) {
  Options Opts("status", "[--host IP:PORT]...", Summary);
  Opts.addTexts("host", "a process's administration address");
  Opts.addNumber("admin-port", DefaultAdminPort,
                 "administration port of the agents in the rosters");
  Opts.addPlatform();
  if (const auto Code = Opts.parse(Args))
    return *Code;
  Overview All;
  std::set<Endpoint> Known;
  for (const std::string &Text : Opts.texts("host")) {
    const auto Admin = parseEndpoint(Text);
    if (!Admin) {
      fmt::print(stderr, "status: --host: an address such as 10.0.0.1:7002\n");
      return BadUsage;
    }
    if (Known.insert(*Admin).second)
      All.Processes.push_back({Text, *Admin, false, {}});
  }
  const bool Reached = readPlatform(Opts, Known, All);
  if (!Reached)
    fmt::print(stderr, "the platform does not answer; versions are as the "
                       "processes know them\n");
  for (Process &P : All.Processes)
    ask(P);
  Opts.json() ? printJson(All) : print(All);
  if (!Reached)
    return Unreachable;
  const bool Good =
      std::all_of(All.Processes.begin(), All.Processes.end(),
                  [&](const Process &P) { return P.Answered && All.good(P); });
  return Good ? Success : Failed;
}

} // namespace dragonflystall::cli
