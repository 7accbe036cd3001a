// `dragonflystall status`: shows in which processes the stored settings are in
// force, and which processes lag, cannot reach the platform or refuse a value.
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
    "Requests /status from the processes and compares it with the "
    "platform's objects:\nfor each key, how many processes have its version in "
    "force; "
    "for each process, how far\nit lags. Agents are found in the rosters; "
    "balancers and others are named by --host.\nExits with 1 if a process "
    "lags, refuses a value or does not answer.";
constexpr int64_t DefaultAdminPort = 7002;
constexpr std::chrono::seconds StatusTimeout{2};

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
  /// A process has every settings change up to the version that it reports.
  bool inForce(const Process &Polled, const StoredObject &Object) const {
    return Polled.Answered && Polled.seen() >= Object.Version &&
           !Polled.refuses(Object.Key);
  }
  bool isUpToDate(const Process &Polled) const {
    return std::all_of(
        Settings.begin(), Settings.end(),
        [&](const StoredObject &Object) { return inForce(Polled, Object); });
  }
};

void addAgents(const StoredObject &Object, uint16_t AdminPort,
               std::set<Endpoint> &Known, Overview &Into) {
  const auto Parsed = rosterFromJson("", "", Object.Version, Object.Value);
  if (!Parsed)
    return;
  for (const RosterEntry &Agent : Parsed->Agents)
    if (const Endpoint Admin{Agent.Control.Ip, AdminPort};
        Known.insert(Admin).second)
      Into.Processes.push_back({Agent.Name, Admin, false, {}});
}

/// Returns false if the platform does not answer.
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

void fetchStatus(Process &Polled) {
  httplib::Client Client("http://" + toString(Polled.Admin));
  Client.set_connection_timeout(StatusTimeout);
  Client.set_read_timeout(StatusTimeout);
  const auto Result = Client.Get("/status");
  if (!Result || Result->status != 200)
    return;
  Polled.Status = Json::parse(Result->body, nullptr, false);
  Polled.Answered = Polled.Status.is_object();
  if (Polled.Answered)
    Polled.Name = Polled.Status.value("name", Polled.Name);
}

std::string describe(const Overview &All, const Process &Polled) {
  if (!Polled.Answered)
    return "no answer";
  std::string Text = All.isUpToDate(Polled) ? "up to date" : "lags";
  if (Polled.seen() < All.newest())
    Text = fmt::format("lags: at version {}", Polled.seen());
  if (Polled.Status.value("platform_down", false))
    Text += ", cannot reach the platform";
  for (const auto &[Key, Reason] :
       Polled.Status.value("refused_settings", Json::object()).items())
    Text += fmt::format(", refuses {} ({})", Key,
                        Reason.is_string() ? Reason.get<std::string>()
                                           : Reason.dump());
  return Text;
}

size_t countInForce(const Overview &All, const StoredObject &Object) {
  return static_cast<size_t>(std::count_if(
      All.Processes.begin(), All.Processes.end(),
      [&](const Process &Polled) { return All.inForce(Polled, Object); }));
}

void print(const Overview &All) {
  for (const StoredObject &Object : All.Settings)
    fmt::print("{:<44} version {:<6} in force at {} of {}\n", Object.Key,
               Object.Version, countInForce(All, Object), All.Processes.size());
  for (const Process &Polled : All.Processes)
    fmt::print("{:<28} {:<20} {}\n", Polled.Name, toString(Polled.Admin),
               describe(All, Polled));
}

void printJson(const Overview &All) {
  Json Keys = Json::array();
  for (const StoredObject &Object : All.Settings)
    Keys.push_back({{"key", Object.Key},
                    {"version", Object.Version},
                    {"in_force", countInForce(All, Object)}});
  Json Processes = Json::array();
  for (const Process &Polled : All.Processes)
    Processes.push_back({{"name", Polled.Name},
                         {"admin", toString(Polled.Admin)},
                         {"answered", Polled.Answered},
                         {"up_to_date", All.isUpToDate(Polled)},
                         {"status", Polled.Status}});
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
      fmt::print(stderr,
                 "status: --host: expected an address such as 10.0.0.1:7002\n");
      return BadUsage;
    }
    if (Known.insert(*Admin).second)
      All.Processes.push_back({Text, *Admin, false, {}});
  }
  const bool Reached = readPlatform(Opts, Known, All);
  if (!Reached)
    fmt::print(stderr, "the platform does not answer; the versions of the "
                       "processes cannot be compared with the stored ones\n");
  for (Process &Polled : All.Processes)
    fetchStatus(Polled);
  Opts.json() ? printJson(All) : print(All);
  if (!Reached)
    return Unreachable;
  const bool AllUpToDate = std::all_of(
      All.Processes.begin(), All.Processes.end(), [&](const Process &Polled) {
        return Polled.Answered && All.isUpToDate(Polled);
      });
  return AllUpToDate ? Success : Failed;
}

} // namespace dragonflystall::cli
