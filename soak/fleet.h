// A small deployment on loopback: balancers and agents as processes of their
// own, the store, upstreams and callers as stand-ins in this one, and what
// faults can be done to each.
#ifndef DRAGONFLYSTALL_SOAK_FLEET_H
#define DRAGONFLYSTALL_SOAK_FLEET_H

#include "soak/callers.h"
#include "soak/child.h"
#include "soak/relay.h"
#include "soak/store.h"
#include "soak/upstream.h"

#include <deque>

namespace dragonflystall::soak {

/// Where callers find the services: 198.18.0.1, ports 443 and 80.
constexpr Endpoint DeskRoute = {0xc6120001, 443};
constexpr Endpoint PrintRoute = {0xc6120001, 80};

struct FleetOptions {
  std::string Program;  ///< dragonflystall-node.
  std::string Folder;   ///< For settings and logs; it exists.
  uint8_t Net = 77;     ///< Second byte of the addresses.
  size_t Balancers = 4; ///< Dealt to the zones in turn, as the agents are.
  size_t Agents = 9;
  size_t Callers = 40;
};

/// A process of ours and its way to the store.
struct Node {
  std::string Role;
  node::Settings Settings;
  std::string File; ///< Its settings.
  std::unique_ptr<Relay> ToStore;
  Child Process;
  bool ShouldRun = false;
  bool Paused = false;
};

struct Host {
  Node Agent;
  JudgedHost Judged;
  std::unique_ptr<Relay> Heartbeats;
  std::unique_ptr<soak::Upstream> Upstream;
};

class Fleet {
public:
  /// Starts everything. Throws std::runtime_error.
  Fleet(node::Services &Shared, const FleetOptions &Options);

  void tick(TimePoint Now);

  void start(Node &N);
  /// SIGTERM or SIGKILL: it is to end.
  void stop(Node &N, int Signal);
  void pause(Node &N);
  void resume(Node &N);
  /// A process is disturbed until then.
  void disturb(const Node &N, TimePoint End);
  /// A new start of the upstream at its host, under the same or a new id.
  void restartUpstream(Host &H, bool NewId);
  /// The host's address goes to another service.
  void reuse(Host &H);
  void publish();
  std::string freshId() { return fmt::format("upstream-{}", ++LastId_); }

  std::deque<Node> Balancers;
  std::deque<Host> Hosts;
  Judge Rules;
  opaque::Manifest Manifest;
  std::unique_ptr<soak::Store> Store;
  std::unique_ptr<soak::Callers> Callers;

private:
  struct ReadyCheck {
    std::unique_ptr<HttpChannel> Channel;
    int Misses = 0;
  };

  Endpoint address(uint8_t Group, size_t Index, uint16_t Port) const;
  node::Settings settingsFor(const std::string &Name, uint8_t Group,
                             size_t Index) const;
  void prepare(Node &N, size_t RelayIndex);
  void addBalancer(size_t Index);
  void addHost(size_t Index);
  void writeSettings(const Node &N) const;
  void checkReady(TimePoint Now);
  void checkProcess(Node &N, TimePoint Now);

  node::Services &Shared_;
  FleetOptions Options_;
  Endpoint StoreAddress_;
  std::vector<ReadyCheck> Checks_;
  TimePoint NextCheck_{};
  uint64_t LastId_ = 0;
};

} // namespace dragonflystall::soak

#endif
