// The slopes that docs/CAPACITY.md is worked out from: bytes and processor
// time for each flow, service, change, heartbeat and roster, as NAME VALUE
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

void report(std::string_view Name, double Value) {
  fmt::print("{} {:.1f}\n", Name, Value);
}

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
  Roster R;
  R.Team = fmt::format("team-{}", Number / AgentsPerService);
  R.Name = fmt::format("service-{}", Number);
  R.Service = serviceId(R.Team, R.Name);
  R.Version = 1;
  for (uint32_t I = 0; I < AgentsPerService; ++I) {
    RosterEntry Entry;
    Entry.Name = fmt::format("zone-{}/service-{}-{}", I % 3, Number, I);
    Entry.Agent = {agentId(Entry.Name), Incarnation{Number + 1}};
    Entry.Zone = fmt::format("zone-{}", I % 3);
    Entry.Data = {0x0a000000 + Number * AgentsPerService + I, 7000};
    Entry.Control = {Entry.Data.Ip, 7001};
    Entry.Slots = 4;
    Entry.Connections = 2000;
    upsert(R, Entry);
  }
  return R;
}

// Every process keeps the settings; a change costs the one that it concerns,
// and the check that no two services claim an address.
SettingsPtr measureSettings() {
  SettingsView View;
  const size_t Before = heapBytes();
  std::vector<StoredObject> All;
  All.reserve(Services);
  for (uint32_t I = 0; I < Services; ++I)
    All.push_back(serviceObject(I, I + 1));
  View.merge(All);
  All.clear();
  All.shrink_to_fit();
  report("settings_bytes_per_service",
         static_cast<double>(heapBytes() - Before) / Services);
  const uint64_t Base = View.version();
  const double Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Changes; ++I)
    View.merge({serviceObject(I, Base + I + 1)});
  report("settings_us_per_change", (cpuMicroseconds() - Start) / Changes);
  wire::SettingsPull Pull;
  Pull.set_known_version(View.version() - 1);
  const auto Push = View.answer(Pull);
  report("settings_push_bytes",
         Push ? static_cast<double>(Push->ByteSizeLong()) : 0);
  report("settings_digest_bytes",
         static_cast<double>(View.digest().ByteSizeLong()));
  return View.current();
}

void measureBalancer(const SettingsPtr &Value) {
  BalancerIdentity Identity;
  Identity.Zone = "zone-0";
  Identity.Data = {0x0a000001, 7000};
  BalancerCore Core(Identity);
  report("balancer_bytes_per_flow",
         static_cast<double>(Core.cacheBytes()) /
             static_cast<double>(Identity.FlowCapacity));
  report("balancer_cache_bytes", static_cast<double>(Core.cacheBytes()));
  TimePoint Now{};
  BalancerActions Actions;
  double Start = cpuMicroseconds();
  Core.handle(SettingsUpdate{Value}, Now, Actions);
  report("balancer_us_per_settings", cpuMicroseconds() - Start);
  const size_t Before = heapBytes();
  Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Services; ++I) {
    Actions.clear();
    Core.handle(RosterUpdate{rosterOf(I)}, Now, Actions);
  }
  report("balancer_us_per_roster", (cpuMicroseconds() - Start) / Services);
  report("balancer_bytes_per_roster",
         static_cast<double>(heapBytes() - Before) / Services);
  Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Changes; ++I) {
    Now += 100ms;
    Actions.clear();
    Core.handle(Tick{}, Now, Actions);
  }
  report("balancer_us_per_tick", (cpuMicroseconds() - Start) / Changes);
}

// One agent that is home and holder of every flow, with a finished request on
// each: what a flow costs at its holder and at its home together.
void measureFlows() {
  IdleCluster Cluster(1);
  Cluster.settle();
  const size_t Before = heapBytes();
  const double Start = cpuMicroseconds();
  for (uint32_t I = 0; I < Flows; ++I)
    Cluster.get({0x0b000000 + I, 5683});
  report("agent_us_per_new_flow", (cpuMicroseconds() - Start) / Flows);
  report("agent_bytes_per_new_flow",
         static_cast<double>(heapBytes() - Before) / Flows);
  Cluster.run(10min);
  malloc_trim(0);
  report("agent_bytes_per_flow",
         static_cast<double>(heapBytes() - Before) /
             static_cast<double>(std::max<size_t>(1, Cluster.flows())));
  report("agent_flows_measured", static_cast<double>(Cluster.flows()));
}

// Idle agents of one service talk to one another only.
void measureHeartbeats() {
  constexpr std::array<uint32_t, 4> Sizes = {3, 10, 30, 100};
  constexpr uint32_t Seconds = 30;
  for (const uint32_t Size : Sizes) {
    IdleCluster Cluster(Size);
    Cluster.settle();
    const uint64_t BytesBefore = Cluster.controlBytes();
    const double Start = cpuMicroseconds();
    Cluster.run(std::chrono::seconds(Seconds));
    const double Node = Size * Seconds;
    report(fmt::format("agent_us_per_second_{}", Size),
           (cpuMicroseconds() - Start) / Node);
    report(fmt::format("agent_bytes_per_second_{}", Size),
           static_cast<double>(Cluster.controlBytes() - BytesBefore) / Node);
    const uint64_t WritesBefore = Cluster.rosterWrites();
    const uint64_t JoinBytes = Cluster.controlBytes();
    Cluster.restart(0);
    Cluster.run(std::chrono::seconds(Seconds));
    report(fmt::format("agent_writes_per_restart_{}", Size),
           static_cast<double>(Cluster.rosterWrites() - WritesBefore));
    report(fmt::format("agent_bytes_per_second_change_{}", Size),
           static_cast<double>(Cluster.controlBytes() - JoinBytes) / Node);
  }
}

void measureRoster() {
  const Roster Value = rosterOf(7);
  report("roster_json_bytes", static_cast<double>(rosterToJson(Value).size()));
}

} // namespace

bool measureCapacity() {
  const SettingsPtr Value = measureSettings();
  measureBalancer(Value);
  measureRoster();
  measureFlows();
  measureHeartbeats();
  return true;
}

} // namespace dragonflystall::bench
