// A small deployment: balancers and agents as separate processes, and stand-ins
// for store, servers, clients and routers. Writes the record of a run.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_DEPLOYMENT_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_DEPLOYMENT_H

#include "clients.h"
#include "relay.h"
#include "server.h"
#include "store.h"

#include <deque>
#include <fstream>
#include <sys/types.h>

namespace review {

/// Exit statuses of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Bounds of the rules, as in the settings of a small deployment.
constexpr Duration DrainBound = 3s;
constexpr Duration ConfigApplyBound = 3s;
constexpr Duration EvacuationBound = 5s;
constexpr Duration ContactTime = 4s;
constexpr Duration HeartbeatInterval = 770ms;

class Record {
public:
  explicit Record(const std::string &Path) : File_(Path), Started_(now()) {}
  void line(const std::string &Text);
  void violation(const std::string &Rule, const std::string &Text);
  size_t violations() const { return Violations_; }

private:
  std::ofstream File_;
  TimePoint Started_;
  size_t Violations_ = 0;
};

/// A process of the project, started with the command of the deploy file.
struct Process {
  std::string Role;
  std::string Name;
  std::string Zone;
  uint32_t Ip = 0;
  Json Settings;
  pid_t Pid = 0;
};

struct Host {
  Process Agent;
  std::unique_ptr<review::Server> Server;
  std::unique_ptr<Relay> Heartbeats; ///< Unset if the server has no relay.
};

struct Route {
  Address At;
  std::string Service;
};

class Deployment {
public:
  /// Folder: of the case; record.txt is written there. Nets: the second bytes
  /// of addresses to choose from; any if empty. Throws std::runtime_error if
  /// none is free.
  Deployment(const std::string &Folder, bool Trouble,
             const std::vector<uint8_t> &Nets = {});
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Adds a balancer to the next zone and starts it.
  Process &addBalancer();
  /// Adds a host to the next zone and starts its agent. Its server sends its
  /// heartbeats to the agent or, if Relayed, to a relay before it.
  Host &addHost(const std::string &Service, Server::Callbacks Notify,
                bool Relayed = false);
  /// Gives the address of a host whose server and agent have ended to another
  /// service, with an agent of its own, and starts the agent.
  void reuse(Host &H, const std::string &Service);
  void start(Process &P);
  void signal(Process &P, int Number);
  /// Whether a process has ended though nobody ended it.
  void checkProcesses();
  /// Writes the manifest under a new version; acknowledged on return.
  void publish();
  /// Where the routers send a balancer's packets.
  static Address packetsOf(const Process &P);
  /// An address in the deployment's part of loopback.
  Address address(uint8_t Group, uint8_t Index, uint16_t Port) const;
  Server::Identity newIdentity(const Host &H);
  static int64_t unixMilliseconds();
  /// Stops after a time; the case could not run if not all is ready then.
  void runFor(Duration Time);
  /// Prints and records the result; returns the exit status.
  int finish(const std::string &Rule);

  bool Trouble;
  std::string Folder;
  Loop Events;
  Record Log;
  std::unique_ptr<review::Store> Store;
  Routers Fabric{Events};
  std::deque<Process> Balancers;
  std::deque<Host> Hosts;
  std::map<std::string, Route> Routes;
  int64_t Version = 0;
  /// Kept when the case could not run.
  std::string Failure;
  std::vector<Address> Seeds;

private:
  /// Takes the first free one of the nets, beginning with some of them.
  void chooseNet(const std::vector<uint8_t> &Nets);
  Process newProcess(const std::string &Role, uint8_t Group, uint8_t Index);
  void reap(Process &P);

  uint8_t Net_ = 0;
  std::string Temporary_;
  int LastId_ = 0;
};

} // namespace review

#endif
