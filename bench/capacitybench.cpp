// The unit costs from which docs/CAPACITY.md is calculated: bytes and processor
// time per flow, service, change, heartbeat and roster, as NAME VALUE
// lines. scripts/capacity writes them into the page.
#include "bench.h"

#include "agent/agentcore.h"
#include "idlecluster.h"
#include "roster/rosterjson.h"
#include "settings/settingsview.h"
#include "steering/balancercore.h"

#include <ctime>
#include <fmt/format.h>
#include <malloc.h>

namespace dragonflystall::bench {

namespace {

constexpr uint32_t Services = 13'000;
constexpr uint32_t AgentsPerService = 10;
constexpr uint32_t Flows = 20'000;
constexpr uint32_t Changes = 200;

struct Result {
  std::string Name;
  double Value = 0;
};

/// The results so far, in the order of measurement.
class Results {
public:
  void add(std::string Name, double Value) {
    fmt::print("{} {:.1f}\n", Name, Value);
    All_.push_back({std::move(Name), Value});
  }
  double operator[](std::string_view Name) const {
    for (const Result &Entry : All_)
      if (Entry.Name == Name)
        return Entry.Value;
    return 0;
  }

private:
  std::vector<Result> All_;
};

size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

double cpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

StoredObject serviceObject(uint32_t Number, uint64_t Version) {
  StoredObject Object;
  Object.Key = fmt::format("settings/team-{}/services/service-{}",
                           Number / AgentsPerService, Number);
  Object.Version = Version;
  Object.Value = fmt::format(
      R"({{"addresses":["10.{}.{}.{}:5683"],"limits":{{"slots":{}}}}})",
      Number >> 16, (Number >> 8) & 255, Number & 255, 1 + Version % 8);
  return Object;
}

Roster rosterOf(uint32_t Number) {
  Roster Agents;
  Agents.Team = fmt::format("team-{}", Number / AgentsPerService);
  Agents.Name = fmt::format("service-{}", Number);
  Agents.Service = serviceId(Agents.Team, Agents.Name);
  Agents.Version = 1;
  for (uint32_t I = 0; I < AgentsPerService; ++I) {
    RosterEntry Entry;
    Entry.Name = fmt::format("zone-{}/service-{}-{}", I % 3, Number, I);
    Entry.Agent = {agentId(Entry.Name), Incarnation{Number + 1}};
    Entry.Zone = fmt::format("zone-{}", I % 3);
    Entry.Data = {0x0a000000 + Number * AgentsPerService + I, 7000};
    Entry.Control = {Entry.Data.Ip, 7001};
    Entry.Slots = 4;
    Entry.Connections = 2000;
    upsert(Agents, Entry);
  }
  return Agents;
}

// Every process keeps all settings. The cost of a change is that of the changed
// service, and of the check that no two services claim the same address.
SettingsPtr measureSettings(Results &Into) {
  SettingsView View;
  const size_t Before = heapBytes();
  std::vector<StoredObject> All;
  All.reserve(Services);
  for (uint32_t I = 0; I < Services; ++I)
    All.push_back(serviceObject(I, I + 1));
  View.merge(All);
  All.clear();
  All.shrink_to_fit();
  Into.add("settings_bytes_per_service",
           static_cast<double>(heapBytes() - Before) / Services);
  const uint64_t Base = View.version();
  const double Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Changes; ++I)
    View.merge({serviceObject(I, Base + I + 1)});
  Into.add("settings_us_per_change", (cpuMicroseconds() - Start) / Changes);
  wire::SettingsPull Pull;
  Pull.set_known_version(View.version() - 1);
  const auto Push = View.answer(Pull);
  Into.add("settings_push_bytes",
           Push ? static_cast<double>(Push->ByteSizeLong()) : 0);
  Into.add("settings_digest_bytes",
           static_cast<double>(View.digest().ByteSizeLong()));
  return View.current();
}

void measureBalancer(const SettingsPtr &Value, Results &Into) {
  BalancerIdentity Identity;
  Identity.Zone = "zone-0";
  Identity.Data = {0x0a000001, 7000};
  BalancerCore Core(Identity);
  Into.add("balancer_bytes_per_flow",
           static_cast<double>(Core.cacheBytes()) /
               static_cast<double>(Identity.FlowCapacity));
  Into.add("balancer_cache_bytes", static_cast<double>(Core.cacheBytes()));
  TimePoint Now{};
  BalancerActions Actions;
  double Start = cpuMicroseconds();
  Core.handle(SettingsUpdate{Value}, Now, Actions);
  Into.add("balancer_us_per_settings", cpuMicroseconds() - Start);
  const size_t Before = heapBytes();
  Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Services; ++I) {
    Actions.clear();
    Core.handle(RosterUpdate{rosterOf(I)}, Now, Actions);
  }
  Into.add("balancer_us_per_roster", (cpuMicroseconds() - Start) / Services);
  Into.add("balancer_bytes_per_roster",
           static_cast<double>(heapBytes() - Before) / Services);
  Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Changes; ++I) {
    Now += 100ms;
    Actions.clear();
    Core.handle(Tick{}, Now, Actions);
  }
  Into.add("balancer_us_per_tick", (cpuMicroseconds() - Start) / Changes);
}

// One agent is home and holder of every flow, with one finished request on each
// flow. The result is the cost of a flow at its holder and its home together.
void measureFlows(Results &Into) {
  IdleCluster Cluster(1);
  Cluster.settle();
  const size_t Before = heapBytes();
  const double Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Flows; ++I)
    Cluster.get({0x0b000000 + I, 5683});
  Into.add("agent_us_per_new_flow", (cpuMicroseconds() - Start) / Flows);
  Into.add("agent_bytes_per_new_flow",
           static_cast<double>(heapBytes() - Before) / Flows);
  Cluster.run(10min);
  malloc_trim(0);
  Into.add("agent_bytes_per_flow",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(std::max<size_t>(1, Cluster.flows())));
  Into.add("agent_flows_measured", static_cast<double>(Cluster.flows()));
}

// Idle agents of one service exchange messages only with each other.
void measureHeartbeats(Results &Into) {
  constexpr std::array<uint32_t, 4> Sizes = {3, 10, 30, 100};
  constexpr uint32_t Seconds = 30;
  for (const uint32_t Size : Sizes) {
    IdleCluster Cluster(Size);
    Cluster.settle();
    const uint64_t BytesBefore = Cluster.controlBytes();
    const double Start = cpuMicroseconds();
    Cluster.run(std::chrono::seconds(Seconds));
    const double AgentSeconds = Size * Seconds;
    Into.add(fmt::format("agent_us_per_second_{}", Size),
             (cpuMicroseconds() - Start) / AgentSeconds);
    Into.add(fmt::format("agent_bytes_per_second_{}", Size),
             static_cast<double>(Cluster.controlBytes() - BytesBefore) /
                 AgentSeconds);
    const uint64_t WritesBefore = Cluster.rosterWrites();
    const uint64_t JoinBytes = Cluster.controlBytes();
    Cluster.restart(0);
    Cluster.run(std::chrono::seconds(Seconds));
    Into.add(fmt::format("agent_writes_per_restart_{}", Size),
             static_cast<double>(Cluster.rosterWrites() - WritesBefore));
    Into.add(fmt::format("agent_bytes_per_second_change_{}", Size),
             static_cast<double>(Cluster.controlBytes() - JoinBytes) /
                 AgentSeconds);
  }
}

void measureRoster(Results &Into) {
  const Roster Value = rosterOf(7);
  Into.add("roster_json_bytes",
           static_cast<double>(rosterToJson(Value).size()));
}

// The expected size of the users' deployment in two years.
constexpr double TargetNodes = 11'000;
constexpr double TargetUpstreams = 130'000;
constexpr double TargetFlows = 78e6;
constexpr double TargetNewFlows = 490'000; // per second
constexpr double ZoneCount = 9;
constexpr double SecondsPerDay = 86'400;
constexpr double ChangesPerSecond = 60'000 / SecondsPerDay;
constexpr double RestartsPerSecond = 30'000 / SecondsPerDay;
/// One write each for leaving, for removal and for joining again.
constexpr double RosterWritesPerRestart = 3;
constexpr double TicksPerSecond = 20;
constexpr double Megabyte = 1e6;
/// Converts microseconds of processor time per second to percent of a core.
constexpr double MicrosecondsPerPercent = 1e4;
constexpr double RosterBytesPerAgent = 66;

void deriveBalancer(Results &Into) {
  const double RosterChanges = RestartsPerSecond * RosterWritesPerRestart;
  Into.add("balancer_memory_mb",
           (Into["balancer_cache_bytes"] +
            Services * (Into["settings_bytes_per_service"] +
                        Into["balancer_bytes_per_roster"])) /
               Megabyte);
  Into.add("balancer_cpu_percent",
           (ChangesPerSecond * (Into["settings_us_per_change"] +
                                Into["balancer_us_per_settings"]) +
            RosterChanges * Into["balancer_us_per_roster"] +
            TicksPerSecond * Into["balancer_us_per_tick"]) /
               MicrosecondsPerPercent);
  Into.add("balancer_control_bytes",
           ChangesPerSecond * Into["settings_push_bytes"] +
               Into["settings_digest_bytes"] +
               RosterChanges * AgentsPerService * RosterBytesPerAgent);
}

void deriveAgent(Results &Into) {
  const double FlowsHeld = TargetFlows / TargetUpstreams;
  const double NewFlows = TargetNewFlows / TargetUpstreams;
  Into.add("agent_flows", FlowsHeld);
  Into.add("agent_memory_mb", (FlowsHeld * Into["agent_bytes_per_new_flow"] +
                               Services * Into["settings_bytes_per_service"]) /
                                  Megabyte);
  Into.add("agent_cpu_percent",
           (ChangesPerSecond * Into["settings_us_per_change"] +
            Into["agent_us_per_second_10"] +
            NewFlows * Into["agent_us_per_new_flow"]) /
               MicrosecondsPerPercent);
  Into.add("agent_control_bytes",
           Into["agent_bytes_per_second_10"] +
               ChangesPerSecond * Into["settings_push_bytes"] +
               Into["settings_digest_bytes"]);
}

void derivePlatform(Results &Into) {
  Into.add("platform_writes_per_second",
           ChangesPerSecond + RestartsPerSecond * RosterWritesPerRestart);
  Into.add("platform_calls_all_watch", (TargetNodes + TargetUpstreams) * 0.4);
  Into.add("zone_upstreams", TargetUpstreams / ZoneCount);
  Into.add("start_pull_mb", Services * Into["settings_push_bytes"] / Megabyte);
}

} // namespace

bool measureCapacity() {
  Results Into;
  const SettingsPtr Value = measureSettings(Into);
  measureBalancer(Value, Into);
  measureRoster(Into);
  measureFlows(Into);
  measureHeartbeats(Into);
  deriveBalancer(Into);
  deriveAgent(Into);
  derivePlatform(Into);
  return true;
}

} // namespace dragonflystall::bench
