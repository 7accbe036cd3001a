// A small deployment on loopback. Balancers and agents run as separate
// processes; the store, the upstreams and the callers are simulated in the soak
// process. Offers the operations that faults consist of.
#ifndef DRAGONFLYSTALL_SOAK_FLEET_H
#define DRAGONFLYSTALL_SOAK_FLEET_H

#include "soak/callers.h"
#include "soak/child.h"
#include "soak/relay.h"
#include "soak/store.h"
#include "soak/upstream.h"

#include <deque>

namespace dragonflystall::soak {

/// Addresses of the services: 198.18.0.1, ports 443, 8443 and 80. The first
/// two have the same services.
constexpr Endpoint DeskRoute = {0xc6120001, 443};
constexpr Endpoint UrgentRoute = {0xc6120001, 8443};
constexpr Endpoint PrintRoute = {0xc6120001, 80};

/// Indices of the callers' classes that the checks refer to.
constexpr size_t DeskClass = 0;
constexpr size_t UrgentClass = 1;

struct FleetOptions {
  std::string Program;  ///< dragonflystall-node.
  std::string Folder;   ///< Existing folder for settings and logs.
  uint8_t Net = 77;     ///< Second byte of the addresses.
  size_t Balancers = 4; ///< Assigned to zones round-robin, like agents.
  size_t Agents = 9;
  size_t Callers = 40;
};

/// A balancer or agent process and its relay to the store.
struct Node {
  std::string Role;
  node::Settings Settings;
  std::string SettingsFile; ///< Path of the settings.
  std::unique_ptr<Relay> StoreRelay;
  Child Process;
  bool ShouldRun = false;
  bool Paused = false;
};

struct Host {
  Node Agent;
  CheckedHost Checked;
  std::unique_ptr<Relay> HeartbeatRelay;
  std::unique_ptr<soak::Upstream> Upstream;
};

class Fleet {
public:
  /// Starts the whole deployment. Throws std::runtime_error if an address
  /// cannot be bound, settings cannot be written or a process cannot start.
  Fleet(node::Services &Shared, const FleetOptions &Options);

  void tick(TimePoint Now);

  void start(Node &Instance);
  /// Ends the process by SIGTERM or SIGKILL.
  void stop(Node &Instance, int Signal);
  void pause(Node &Instance);
  void resume(Node &Instance);
  /// Marks a process as disturbed until the given time.
  void markDisturbed(const Node &Instance, TimePoint End);
  /// Crashes the host's upstream and starts it under the same or a new id.
  void restartUpstream(Host &Target, bool NewId);
  /// Gives the host's address to another service.
  void reuse(Host &Target);
  /// Writes the manifest to the store under a new version.
  void publish();
  /// Changes the services of DeskRoute and UrgentRoute, and publishes.
  void setDeskServices(const std::vector<opaque::WeightedService> &Services);
  /// Writes the manifest to the store as it is.
  void writeManifest();
  std::string newUpstreamId() { return fmt::format("upstream-{}", ++LastId_); }

  std::deque<Node> Balancers;
  std::deque<Host> Hosts;
  RuleChecker Checker;
  opaque::Manifest Manifest;
  std::unique_ptr<soak::Store> Store;
  std::unique_ptr<soak::Callers> Callers;

private:
  struct ReadyCheck {
    std::unique_ptr<HttpChannel> Channel;
    int FailedChecks = 0;
  };

  Endpoint address(uint8_t Group, size_t Index, uint16_t Port) const;
  node::Settings settingsFor(const std::string &Name, uint8_t Group,
                             size_t Index) const;
  void prepare(Node &Instance, size_t RelayIndex);
  void addBalancer(size_t Index);
  void addHost(size_t Index);
  void writeSettings(const Node &Instance) const;
  void checkReady(TimePoint Now);
  void checkProcess(Node &Instance, TimePoint Now);

  node::Services &Shared_;
  FleetOptions Options_;
  Endpoint StoreAddress_;
  std::vector<ReadyCheck> Checks_;
  TimePoint NextCheck_{};
  uint64_t LastId_ = 0;
};

} // namespace dragonflystall::soak

#endif
