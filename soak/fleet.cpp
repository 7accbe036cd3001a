// Sets up addresses, settings and processes of the deployment.
#include "soak/fleet.h"

#include "platform/settings.h"
#include "platform/standinformats.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace dragonflystall::soak {

namespace {

// Third byte of the addresses.
constexpr uint8_t BalancerGroup = 1;
constexpr uint8_t HostGroup = 2;
constexpr uint8_t CallerGroup = 3;
constexpr uint8_t StoreGroup = 4;
constexpr uint8_t StoreRelayGroup = 5;
constexpr uint8_t HeartbeatRelayGroup = 6;

constexpr uint16_t PacketPort = 8172;
constexpr uint16_t ReadyPort = 8167;
constexpr uint16_t ControlPort = 8166;
constexpr uint16_t UpstreamPort = 8165;
constexpr uint16_t OutboundPort = 8162;
constexpr uint16_t FirstNodePort = 7720;
constexpr uint16_t RelayPort = 9000;

constexpr size_t ZoneCount = 3;
constexpr size_t CallerAddresses = 6;
constexpr Duration CheckInterval = 500ms;
constexpr int MaxFailedChecks = 2;
/// Short enough that requests time out while the service is short of capacity.
constexpr Duration DeskTimeout = 1s;
constexpr Duration PrintTimeout = 3s;
constexpr uint32_t LongFlowRequests = 25;

std::string zoneOf(size_t Index) {
  return fmt::format("zone-{}", Index % ZoneCount);
}

/// Two of three hosts serve "desk".
std::string serviceOf(size_t Index) { return Index % 3 < 2 ? "desk" : "print"; }

} // namespace

Fleet::Fleet(node::Services &Shared, const FleetOptions &Options)
    : Shared_(Shared), Options_(Options),
      StoreAddress_(address(StoreGroup, 0, RelayPort)) {
  Checker.setStart(Shared.now());
  Store = std::make_unique<soak::Store>(Shared, StoreAddress_);
  Manifest.Routes = {{DeskRoute, {{{"desk", 1}}, DeskTimeout, 2}},
                     {UrgentRoute, {{{"desk", 1}}, DeskTimeout, 1}},
                     {PrintRoute, {{{"print", 1}}, PrintTimeout, 2}}};
  const opaque::WarmUp WarmUp = {ColdFlowsPerSecond, Upstream::ColdLength};
  Manifest.Services = {{"desk", WarmUp}, {"print", WarmUp}};
  publish();
  for (size_t I = 0; I < Options.Balancers; ++I)
    addBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I)
    addHost(I);
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < CallerAddresses; ++I)
    Addresses.push_back(address(CallerGroup, I, PacketPort));
  Callers = std::make_unique<soak::Callers>(Shared, Checker, Addresses,
                                            Options.Callers);
  Callers->Classes = {{DeskRoute, LongFlowRequests, DeskTimeout},
                      {UrgentRoute, 1, DeskTimeout},
                      {PrintRoute, 1, PrintTimeout},
                      {PrintRoute, LongFlowRequests, PrintTimeout}};
  for (const Node &Instance : Balancers)
    Callers->Balancers.push_back(
        {Instance.Settings.Packets, Instance.Settings.Zone, true, {}});
}

Endpoint Fleet::address(uint8_t Group, size_t Index, uint16_t Port) const {
  const uint32_t Ip = 127u << 24 | Options_.Net << 16 | Group << 8 |
                      static_cast<uint32_t>(Index + 1);
  return {Ip, Port};
}

node::Settings Fleet::settingsFor(const std::string &Name, uint8_t Group,
                                  size_t Index) const {
  node::Settings Result;
  Result.Name = Name;
  Result.Zone = zoneOf(Index);
  Result.Packets = address(Group, Index, PacketPort);
  Result.Ready = address(Group, Index, ReadyPort);
  Result.Control = address(Group, Index, ControlPort);
  Result.Peers = address(Group, Index, FirstNodePort);
  for (size_t I = 0; I < std::min<size_t>(3, Options_.Balancers); ++I)
    Result.Seeds.push_back(address(BalancerGroup, I, ControlPort));
  Result.Grace = 6s;
  Result.HeartbeatInterval = Upstream::HeartbeatInterval;
  Result.ColdFactor = ColdFactor;
  Result.ColdSlack = ColdSlack;
  return Result;
}

void Fleet::prepare(Node &Instance, size_t RelayIndex) {
  Instance.StoreRelay = std::make_unique<Relay>(
      Shared_, address(StoreRelayGroup, RelayIndex, RelayPort), StoreAddress_);
  Instance.Settings.Store = Instance.StoreRelay->address();
  start(Instance);
}

void Fleet::addBalancer(size_t Index) {
  Node &Instance = Balancers.emplace_back();
  Instance.Role = "balancer";
  Instance.Settings =
      settingsFor(fmt::format("balancer-{}", Index), BalancerGroup, Index);
  Checks_.push_back({std::make_unique<HttpChannel>(Shared_.Base.get(),
                                                   Instance.Settings.Ready)});
  prepare(Instance, Index);
}

void Fleet::addHost(size_t Index) {
  Host &Target = Hosts.emplace_back();
  Target.Agent.Role = "agent";
  Target.Agent.Settings =
      settingsFor(fmt::format("agent-{}", Index), HostGroup, Index);
  Target.Agent.Settings.Outbound = address(HostGroup, Index, OutboundPort);
  Target.Agent.Settings.Upstream = address(HostGroup, Index, UpstreamPort);
  Target.Agent.Settings.Service = serviceOf(Index);
  Target.Checked.Name = Target.Agent.Settings.Name;
  Target.Checked.Zone = Target.Agent.Settings.Zone;
  Target.Checked.Service = Target.Agent.Settings.Service;
  Target.HeartbeatRelay = std::make_unique<Relay>(
      Shared_, address(HeartbeatRelayGroup, Index, RelayPort),
      Target.Agent.Settings.Control);
  prepare(Target.Agent, Options_.Balancers + Index);
  Target.Upstream = std::make_unique<soak::Upstream>(
      Shared_, Checker, Target.Checked,
      Upstream::Addresses{Target.Agent.Settings.Upstream,
                          Target.Agent.Settings.Outbound,
                          Target.HeartbeatRelay->address()});
  Target.Upstream->start(newUpstreamId(), Duration::zero());
}

void Fleet::writeSettings(const Node &Instance) const {
  // Written under another name and renamed, as the process may read the file at
  // any time.
  const std::string TemporaryFile = Instance.SettingsFile + ".new";
  std::ofstream(TemporaryFile)
      << platform::encodeSettings(Instance.Settings, DrainTime);
  if (std::rename(TemporaryFile.c_str(), Instance.SettingsFile.c_str()) != 0)
    throw std::runtime_error(Instance.SettingsFile +
                             ": cannot write settings file");
}

void Fleet::start(Node &Instance) {
  Instance.SettingsFile =
      fmt::format("{}/{}.json", Options_.Folder, Instance.Settings.Name);
  writeSettings(Instance);
  Instance.Process.start(
      {Options_.Program, Instance.Role},
      fmt::format("{}={}", platform::SettingsVariable, Instance.SettingsFile),
      fmt::format("{}/{}.log", Options_.Folder, Instance.Settings.Name));
  Instance.ShouldRun = true;
  Instance.Paused = false;
  markDisturbed(Instance, Shared_.now());
}

void Fleet::markDisturbed(const Node &Instance, TimePoint End) {
  for (size_t I = 0; Callers && I < Balancers.size(); ++I)
    if (&Balancers[I] == &Instance)
      Callers->Balancers[I].Stability.disturbUntil(End);
  for (Host &Target : Hosts)
    if (&Target.Agent == &Instance)
      Target.Checked.Stability.disturbUntil(End);
}

void Fleet::stop(Node &Instance, int Signal) {
  resume(Instance);
  Instance.ShouldRun = false;
  markDisturbed(Instance, Shared_.now());
  Instance.Process.signal(Signal);
}

void Fleet::pause(Node &Instance) {
  Instance.Paused = Instance.Process.isRunning();
  Instance.Process.signal(SIGSTOP);
}

void Fleet::resume(Node &Instance) {
  if (Instance.Paused)
    Instance.Process.signal(SIGCONT);
  Instance.Paused = false;
}

void Fleet::restartUpstream(Host &Target, bool NewId) {
  const std::string Id = NewId ? newUpstreamId() : Target.Upstream->id();
  Target.Checked.Stability.disturbUntil(Shared_.now());
  Target.Upstream->crash();
  Target.Upstream->start(Id, Upstream::ColdLength);
}

void Fleet::reuse(Host &Target) {
  Target.Checked.Service = Target.Checked.Service == "desk" ? "print" : "desk";
  Target.Agent.Settings.Service = Target.Checked.Service;
  Target.Agent.Settings.Name += "r";
  Target.Checked.Name = Target.Agent.Settings.Name;
  start(Target.Agent);
  Target.Upstream->start(newUpstreamId(), Upstream::ColdLength);
}

void Fleet::publish() {
  Manifest.Version += 1 + Shared_.Rng() % 5;
  writeManifest();
  Checker.onManifest(Manifest, Shared_.now());
}

void Fleet::setDeskServices(
    const std::vector<opaque::WeightedService> &Services) {
  for (const Endpoint Address : {DeskRoute, UrgentRoute})
    Manifest.Routes[Address].Services = Services;
  publish();
}

void Fleet::writeManifest() {
  Store->put(platform::ObjectKind::Manifest,
             std::string(platform::ManifestName),
             platform::encodeManifest(Manifest));
}

void Fleet::checkReady(TimePoint Now) {
  if (Now < NextCheck_)
    return;
  NextCheck_ = Now + CheckInterval;
  for (size_t I = 0; I < Checks_.size(); ++I) {
    ReadyCheck &Check = Checks_[I];
    const auto RecordCheck = [this, I](bool Ready) {
      Checks_[I].FailedChecks = Ready ? 0 : Checks_[I].FailedChecks + 1;
      Callers->Balancers[I].InRotation =
          Checks_[I].FailedChecks < MaxFailedChecks;
    };
    if (Check.Channel->busy()) {
      Check.Channel->abandon();
      RecordCheck(false);
    }
    Check.Channel->request({HttpMethod::Get, "/ready", {}}, CheckInterval,
                           [RecordCheck](const auto &Result) {
                             RecordCheck(Result && Result->succeeded());
                           });
  }
}

void Fleet::checkProcess(Node &Instance, TimePoint Now) {
  if (Instance.Process.hasEnded() && Instance.ShouldRun)
    Checker.reportViolation(Now, fmt::format("{} has ended unexpectedly: {}",
                                             Instance.Settings.Name,
                                             Instance.Process.exitReason()));
}

void Fleet::tick(TimePoint Now) {
  Store->tick(Now);
  checkReady(Now);
  for (Node &Instance : Balancers) {
    Instance.StoreRelay->tick(Now);
    checkProcess(Instance, Now);
  }
  for (Host &Target : Hosts) {
    Target.Agent.StoreRelay->tick(Now);
    Target.HeartbeatRelay->tick(Now);
    Target.Upstream->tick(Now);
    checkProcess(Target.Agent, Now);
  }
  Callers->tick(Now);
}

} // namespace dragonflystall::soak
