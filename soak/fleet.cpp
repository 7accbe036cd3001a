// Addresses, settings and processes of the deployment.
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

constexpr size_t Zones = 3;
constexpr size_t CallerAddresses = 6;
constexpr Duration CheckInterval = 500ms;
constexpr int MostMisses = 2;

std::string zoneOf(size_t Index) {
  return fmt::format("zone-{}", Index % Zones);
}

/// Two of three hosts serve the first service.
std::string serviceOf(size_t Index) { return Index % 3 < 2 ? "desk" : "print"; }

} // namespace

Fleet::Fleet(node::Services &Shared, const FleetOptions &Options)
    : Shared_(Shared), Options_(Options),
      StoreAddress_(address(StoreGroup, 0, RelayPort)) {
  Rules.setStart(Shared.now());
  Store = std::make_unique<soak::Store>(Shared, StoreAddress_);
  Manifest.Routes = {{DeskRoute, {"desk", 3s, 1}},
                     {PrintRoute, {"print", 3s, 2}}};
  Manifest.Services = {{"desk", {ColdPerSecond}}, {"print", {ColdPerSecond}}};
  publish();
  for (size_t I = 0; I < Options.Balancers; ++I)
    addBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I)
    addHost(I);
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < CallerAddresses; ++I)
    Addresses.push_back(address(CallerGroup, I, PacketPort));
  Callers = std::make_unique<soak::Callers>(Shared, Rules, Addresses,
                                            Options.Callers);
  Callers->Routes = {DeskRoute, DeskRoute, PrintRoute};
  for (const Node &N : Balancers)
    Callers->Fronts.push_back({N.Settings.Packets, N.Settings.Zone, true, {}});
}

Endpoint Fleet::address(uint8_t Group, size_t Index, uint16_t Port) const {
  const uint32_t Ip = 127u << 24 | Options_.Net << 16 | Group << 8 |
                      static_cast<uint32_t>(Index + 1);
  return {Ip, Port};
}

node::Settings Fleet::settingsFor(const std::string &Name, uint8_t Group,
                                  size_t Index) const {
  node::Settings S;
  S.Name = Name;
  S.Zone = zoneOf(Index);
  S.Packets = address(Group, Index, PacketPort);
  S.Ready = address(Group, Index, ReadyPort);
  S.Control = address(Group, Index, ControlPort);
  S.Peers = address(Group, Index, FirstNodePort);
  for (size_t I = 0; I < std::min<size_t>(3, Options_.Balancers); ++I)
    S.Seeds.push_back(address(BalancerGroup, I, ControlPort));
  S.Grace = 6s;
  S.HeartbeatInterval = Upstream::HeartbeatInterval;
  S.ColdFactor = ColdFactor;
  S.ColdSlack = ColdSlack;
  return S;
}

void Fleet::prepare(Node &N, size_t RelayIndex) {
  N.ToStore = std::make_unique<Relay>(
      Shared_, address(StoreRelayGroup, RelayIndex, RelayPort), StoreAddress_);
  N.Settings.Store = N.ToStore->address();
  start(N);
}

void Fleet::addBalancer(size_t Index) {
  Node &N = Balancers.emplace_back();
  N.Role = "balancer";
  N.Settings =
      settingsFor(fmt::format("balancer-{}", Index), BalancerGroup, Index);
  Checks_.push_back(
      {std::make_unique<HttpChannel>(Shared_.Base.get(), N.Settings.Ready)});
  prepare(N, Index);
}

void Fleet::addHost(size_t Index) {
  Host &H = Hosts.emplace_back();
  H.Agent.Role = "agent";
  H.Agent.Settings =
      settingsFor(fmt::format("agent-{}", Index), HostGroup, Index);
  H.Agent.Settings.Outbound = address(HostGroup, Index, OutboundPort);
  H.Agent.Settings.Upstream = address(HostGroup, Index, UpstreamPort);
  H.Agent.Settings.Service = serviceOf(Index);
  H.Judged.Name = H.Agent.Settings.Name;
  H.Judged.Zone = H.Agent.Settings.Zone;
  H.Judged.Service = H.Agent.Settings.Service;
  H.Heartbeats = std::make_unique<Relay>(
      Shared_, address(HeartbeatRelayGroup, Index, RelayPort),
      H.Agent.Settings.Control);
  prepare(H.Agent, Options_.Balancers + Index);
  H.Upstream = std::make_unique<soak::Upstream>(
      Shared_, Rules, H.Judged,
      Upstream::Addresses{H.Agent.Settings.Upstream, H.Agent.Settings.Outbound,
                          H.Heartbeats->address()});
  H.Upstream->start(freshId(), Duration::zero());
}

void Fleet::writeSettings(const Node &N) const {
  // Under another name first: the process may read at any moment.
  const std::string Draft = N.File + ".new";
  std::ofstream(Draft) << platform::encodeSettings(N.Settings, DrainTime);
  if (std::rename(Draft.c_str(), N.File.c_str()) != 0)
    throw std::runtime_error(N.File + ": cannot be written");
}

void Fleet::start(Node &N) {
  N.File = fmt::format("{}/{}.json", Options_.Folder, N.Settings.Name);
  writeSettings(N);
  N.Process.start({Options_.Program, N.Role},
                  fmt::format("{}={}", platform::SettingsVariable, N.File),
                  fmt::format("{}/{}.log", Options_.Folder, N.Settings.Name));
  N.ShouldRun = true;
  N.Paused = false;
  disturb(N, Shared_.now());
}

void Fleet::disturb(const Node &N, TimePoint End) {
  for (size_t I = 0; Callers && I < Balancers.size(); ++I)
    if (&Balancers[I] == &N)
      Callers->Fronts[I].Contact.disturbUntil(End);
  for (Host &H : Hosts)
    if (&H.Agent == &N)
      H.Judged.Contact.disturbUntil(End);
}

void Fleet::stop(Node &N, int Signal) {
  resume(N);
  N.ShouldRun = false;
  disturb(N, Shared_.now());
  N.Process.signal(Signal);
}

void Fleet::pause(Node &N) {
  N.Paused = N.Process.running();
  N.Process.signal(SIGSTOP);
}

void Fleet::resume(Node &N) {
  if (N.Paused)
    N.Process.signal(SIGCONT);
  N.Paused = false;
}

void Fleet::restartUpstream(Host &H, bool NewId) {
  const std::string Id = NewId ? freshId() : H.Upstream->id();
  H.Judged.Contact.disturbUntil(Shared_.now());
  H.Upstream->crash();
  H.Upstream->start(Id, Upstream::ColdLength);
}

void Fleet::reuse(Host &H) {
  H.Judged.Service = H.Judged.Service == "desk" ? "print" : "desk";
  H.Agent.Settings.Service = H.Judged.Service;
  H.Agent.Settings.Name += "r";
  H.Judged.Name = H.Agent.Settings.Name;
  start(H.Agent);
  H.Upstream->start(freshId(), Upstream::ColdLength);
}

void Fleet::publish() {
  Manifest.Version += 1 + Shared_.Rng() % 5;
  Store->put(platform::ObjectKind::Manifest, "main",
             platform::encodeManifest(Manifest));
  Rules.onManifest(Manifest, Shared_.now());
}

void Fleet::checkReady(TimePoint Now) {
  if (Now < NextCheck_)
    return;
  NextCheck_ = Now + CheckInterval;
  for (size_t I = 0; I < Checks_.size(); ++I) {
    ReadyCheck &Check = Checks_[I];
    const auto Count = [this, I](bool Ready) {
      Checks_[I].Misses = Ready ? 0 : Checks_[I].Misses + 1;
      Callers->Fronts[I].InRotation = Checks_[I].Misses < MostMisses;
    };
    if (Check.Channel->busy()) {
      Check.Channel->abandon();
      Count(false);
    }
    Check.Channel->request(
        {HttpMethod::Get, "/ready", {}}, CheckInterval,
        [Count](const auto &Result) { Count(Result && Result->succeeded()); });
  }
}

void Fleet::checkProcess(Node &N, TimePoint Now) {
  if (N.Process.ended() && N.ShouldRun)
    Rules.fail(Now, fmt::format("{} has ended by itself, {}", N.Settings.Name,
                                N.Process.how()));
}

void Fleet::tick(TimePoint Now) {
  Store->tick(Now);
  checkReady(Now);
  for (Node &N : Balancers) {
    N.ToStore->tick(Now);
    checkProcess(N, Now);
  }
  for (Host &H : Hosts) {
    H.Agent.ToStore->tick(Now);
    H.Heartbeats->tick(Now);
    H.Upstream->tick(Now);
    checkProcess(H.Agent, Now);
  }
  Callers->tick(Now);
}

} // namespace dragonflystall::soak
