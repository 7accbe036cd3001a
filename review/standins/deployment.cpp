// Settings and processes of the deployment.
#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr uint8_t StoreGroup = 1;
constexpr uint8_t BalancerGroup = 2;
constexpr uint8_t HostGroup = 3;
constexpr uint8_t RelayGroup = 4;

constexpr uint16_t StorePort = 8169;
constexpr uint16_t PacketPort = 8172;
constexpr uint16_t ReadyPort = 8167;
constexpr uint16_t ControlPort = 8166;
constexpr uint16_t AppPort = 8165;
constexpr uint16_t OutboundPort = 8162;
constexpr uint16_t FirstNodePort = 7720;
constexpr uint16_t LastNodePort = 7735;
constexpr size_t MaxSeeds = 3;
constexpr uint8_t LoopbackNet = 127;
constexpr uint8_t FirstNet = 20;
constexpr uint8_t NetCount = 200;

constexpr std::array<const char *, 3> Zones = {"lund-a", "malmo-b",
                                               "helsingborg-c"};
constexpr const char *Program = "target/dragonflystall-node";

} // namespace

void Record::line(const std::string &Text) {
  std::array<char, 32> Time;
  std::snprintf(Time.data(), Time.size(), "%9.3f  ", seconds(now() - Started_));
  File_ << Time.data() << Text << std::endl;
}

void Record::violation(const std::string &Rule, const std::string &Text) {
  ++Violations_;
  line("BROKEN " + Rule + ": " + Text);
}

Deployment::Deployment(const std::string &Folder, bool Trouble,
                       const std::vector<uint8_t> &Nets)
    : Trouble(Trouble), Folder(Folder), Log(Folder + "/record.txt") {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "dragonflystall-review-XXXXXX")
          .string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("no temporary folder");
  Temporary_ = Pattern;
  if (::access(Program, X_OK) != 0)
    throw std::runtime_error(std::string(Program) + " is not built");
  chooseNet(Nets);
  Log.line(std::string("the disruption is ") + (Trouble ? "on" : "off"));
}

void Deployment::chooseNet(const std::vector<uint8_t> &Nets) {
  const size_t Count = Nets.empty() ? NetCount : Nets.size();
  for (size_t I = 0; I < Count && !Store; ++I) {
    const size_t Choice = (::getpid() + I) % Count;
    Net_ = Nets.empty() ? FirstNet + Choice : Nets[Choice];
    try {
      Store = std::make_unique<review::Store>(
          Events, address(StoreGroup, 1, StorePort));
    } catch (const std::runtime_error &Error) {
      Log.line(Error.what());
    }
  }
  if (!Store)
    throw std::runtime_error("no free addresses");
}

Deployment::~Deployment() {
  const auto End = [](Process &P) {
    if (P.Pid <= 0)
      return;
    ::kill(P.Pid, SIGKILL);
    ::waitpid(P.Pid, nullptr, 0);
  };
  for (Process &P : Balancers)
    End(P);
  for (Host &H : Hosts)
    End(H.Agent);
  // The logs of a failed run are of use; KEEP names a folder for them.
  if (const char *Keep = std::getenv("KEEP"))
    std::filesystem::copy(Temporary_, Keep,
                          std::filesystem::copy_options::overwrite_existing |
                              std::filesystem::copy_options::recursive);
  std::error_code Ignored;
  std::filesystem::remove_all(Temporary_, Ignored);
}

Address Deployment::address(uint8_t Group, uint8_t Index, uint16_t Port) const {
  return {uint32_t{LoopbackNet} << 24 | uint32_t{Net_} << 16 |
              uint32_t{Group} << 8 | Index,
          Port};
}

Address Deployment::packetsOf(const Process &P) { return {P.Ip, PacketPort}; }

Process Deployment::newProcess(const std::string &Role, uint8_t Group,
                               uint8_t Index) {
  Process P;
  P.Role = Role;
  P.Zone = Zones[(Index - 1) % Zones.size()];
  const bool IsAgent = Role == "agent";
  P.Name = std::string(IsAgent ? "side-" : "front-") + P.Zone + "-" +
           std::to_string(Index);
  P.Ip = address(Group, Index, 0).Ip;
  const auto At = [&](uint16_t Port) { return toString(Address{P.Ip, Port}); };
  Json ZoneRegions = Json::object();
  for (const char *Zone : Zones)
    ZoneRegions[Zone] = "skane";
  Json SeedTexts = Json::array();
  if (Seeds.empty())
    for (uint8_t I = 1; I <= MaxSeeds; ++I)
      SeedTexts.push_back(toString(address(BalancerGroup, I, ControlPort)));
  for (Address Seed : Seeds)
    SeedTexts.push_back(toString(Seed));
  P.Settings = {
      {"nodeName", P.Name},
      {"role", Role},
      {"machineClass", IsAgent ? "side" : "front"},
      {"serves",
       IsAgent ? Json::array({"side"}) : Json::array({"front", "control"})},
      {"ip", ipText(P.Ip)},
      {"zone", P.Zone},
      {"region", "skane"},
      {"zones", ZoneRegions},
      {"listen",
       {{"datagramAddr", At(PacketPort)},
        {"ready", At(ReadyPort)},
        {"control", At(ControlPort)}}},
      {"portRange", Json::array({FirstNodePort, LastNodePort})},
      {"seeds", SeedTexts},
      {"bootstrap", true},
      {"inTolerance", false},
      {"limits",
       {{"cpuShare", 0.25},
        {"cores", 1},
        {"memoryMb", IsAgent ? 128 : 260},
        {"maxFds", 4096},
        {"linkMbps", 1000.0},
        {"diskMb", 0}}},
      {"dataDir", nullptr},
      {"discovery", "local"},
      {"entry", "announce"},
      {"heartbeatMs", 770},
      {"contracts", Json::array({"base", "drain", "config", "cost", "recover",
                                 "flows", "places", "platform"})},
      {"faultTolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
      {"bounds",
       {{"seedLagS", 3},
        {"reuseAfterS", 2},
        {"contactMs", 4000},
        {"ackMs", 5000},
        {"catchUpS", 4},
        {"drainMs", 3000},
        {"graceS", 6},
        {"lossSlackMs", 200},
        {"configApplyMs", 3000},
        {"rollbackSlackMs", 250},
        {"maxSkewMs", 12000},
        {"warmupFactor", 1.5},
        {"warmupSlack", 5},
        {"evacMs", 5000},
        {"recoverS", 12},
        {"flowMs", 2000},
        {"flowMaxS", 60}}},
      {"hash", "steady"},
      {"deploymentMode", "agent"},
      {"platform",
       {{"address", toString(address(StoreGroup, 1, StorePort))},
        {"deploymentMode", "objects"},
        {"writesPerS", 400},
        {"readsPerS", 2000},
        {"historyS", 20},
        {"valueBytes", 1048576},
        {"ttlMinMs", 1000}}}};
  return P;
}

void Deployment::start(Process &P) {
  const std::string File = Temporary_ + "/" + P.Name + ".json";
  std::ofstream(File) << P.Settings.dump();
  // Only the first start of the whole system has this set.
  P.Settings["bootstrap"] = false;
  const std::string Output = Temporary_ + "/" + P.Name + ".log";
  std::array<std::string, 2> Words = {Program, P.Role};
  std::array<char *, 3> Arguments = {Words[0].data(), Words[1].data(), nullptr};
  std::string Setting = "DRAGONFLYSTALL_SETTINGS=" + File;
  std::string Path = "PATH=/usr/bin:/bin";
  std::array<char *, 3> Environment = {Setting.data(), Path.data(), nullptr};
  const pid_t Parent = ::getpid();
  P.Pid = ::fork();
  if (P.Pid == 0) {
    // The process ends with this one, however this one ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Parent)
      ::_exit(CouldNotRun);
    const int Log = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    ::execve(Arguments[0], Arguments.data(), Environment.data());
    ::_exit(CouldNotRun);
  }
  Log.line("starts " + P.Name);
}

Process &Deployment::addBalancer() {
  Process &P = Balancers.emplace_back(
      newProcess("balancer", BalancerGroup, Balancers.size() + 1));
  start(P);
  Fabric.add(packetsOf(P), {P.Ip, ReadyPort});
  return P;
}

Host &Deployment::addHost(const std::string &Service, Server::Callbacks Notify,
                          bool Relayed) {
  Host &H = Hosts.emplace_back();
  H.Agent = newProcess("agent", HostGroup, Hosts.size());
  const auto At = [&](uint16_t Port) { return Address{H.Agent.Ip, Port}; };
  H.Agent.Settings["listen"]["outbound"] = toString(At(OutboundPort));
  H.Agent.Settings["app"] = toString(At(AppPort));
  H.Agent.Settings["service"] = Service;
  Address Heartbeats = At(ControlPort);
  if (Relayed) {
    Heartbeats = address(RelayGroup, Hosts.size(), ControlPort);
    H.Heartbeats = std::make_unique<Relay>(Events, Heartbeats, At(ControlPort));
  }
  H.Server = std::make_unique<Server>(
      Events, Server::Addresses{At(AppPort), At(OutboundPort), Heartbeats},
      HeartbeatInterval, std::move(Notify));
  start(H.Agent);
  return H;
}

void Deployment::reuse(Host &H, const std::string &Service) {
  H.Agent.Name += "-r";
  H.Agent.Settings["nodeName"] = H.Agent.Name;
  H.Agent.Settings["service"] = Service;
  start(H.Agent);
}

Server::Identity Deployment::newIdentity(const Host &H) {
  return {"i-" + std::to_string(++LastId_), H.Agent.Settings["service"],
          H.Agent.Zone, unixMilliseconds(), Duration::zero()};
}

int64_t Deployment::unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Deployment::signal(Process &P, int Number) {
  if (P.Pid <= 0)
    return;
  ::kill(P.Pid, Number);
  Log.line(P.Name + " gets signal " + std::to_string(Number));
  if (Number == SIGKILL) {
    ::waitpid(P.Pid, nullptr, 0);
    P.Pid = 0;
  }
}

void Deployment::reap(Process &P) {
  int Status = 0;
  if (P.Pid <= 0 || ::waitpid(P.Pid, &Status, WNOHANG) != P.Pid)
    return;
  P.Pid = 0;
  Log.line(P.Name + " has ended, status " + std::to_string(Status));
}

void Deployment::checkProcesses() {
  for (Process &P : Balancers)
    reap(P);
  for (Host &H : Hosts)
    reap(H.Agent);
}

void Deployment::publish() {
  ++Version;
  Json RouteList = Json::array();
  std::map<std::string, Json> Services;
  for (const auto &[Name, R] : Routes) {
    RouteList.push_back({{"name", Name},
                         {"host", ipText(R.At.Ip)},
                         {"pathPrefix", "/" + std::to_string(R.At.Port) + "/"},
                         {"type", "non_idempotent"},
                         {"timeoutMs", 1000},
                         {"aimMs", 150},
                         {"priority", 1},
                         {"service", R.Service},
                         {"attempts", 2}});
    Services[R.Service] = {{"name", R.Service}, {"healthPath", "/health"},
                           {"maxConns", 2000},  {"protocol", "h1"},
                           {"tls", false},      {"warmupS", 2.0},
                           {"warmupPerS", 0.0}};
  }
  Json ServiceList = Json::array();
  for (const auto &[Name, Service] : Services)
    ServiceList.push_back(Service);
  Store->put("config", "main",
             {{"version", Version},
              {"routes", RouteList},
              {"services", ServiceList},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}});
  Log.line("manifest " + std::to_string(Version) + " is acknowledged, with " +
           std::to_string(RouteList.size()) + " routes");
}

void Deployment::runFor(Duration Time) {
  Events.after(Time, [this] { Events.stop(); });
  Events.every(100ms, [this] {
    checkProcesses();
    return true;
  });
  Events.run();
}

int Deployment::finish(const std::string &Rule) {
  if (!Failure.empty()) {
    Log.line("could not run: " + Failure);
    std::cout << "could not run: " << Failure << "\n";
    return CouldNotRun;
  }
  const size_t Count = Log.violations();
  const std::string Result =
      Count == 0 ? Rule + " held"
                 : Rule + " was broken, " + std::to_string(Count) + " times";
  Log.line(Result);
  std::cout << Result << "\n";
  return Count == 0 ? RuleHeld : RuleBroken;
}

} // namespace review
