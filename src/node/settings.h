// Settings of a balancer or agent for opaque flows.
#ifndef DRAGONFLYSTALL_SRC_NODE_SETTINGS_H
#define DRAGONFLYSTALL_SRC_NODE_SETTINGS_H

#include "dragonflystall/types.h"

#include <string>
#include <vector>

namespace dragonflystall::node {

struct Settings {
  std::string Name;
  std::string Zone;
  /// Where packets of flows arrive (UDP). Packets to callers are sent to the
  /// same port at the caller's address.
  Endpoint Packets;
  /// Where the fabric probes whether this process can serve (HTTP).
  Endpoint Ready;
  /// Where an agent receives the packets of its local upstream (UDP); agents
  /// only.
  Endpoint Outbound;
  /// Where an agent's local upstream sends its heartbeats (HTTP).
  Endpoint Control;
  /// Where agents send packets back to a balancer (UDP), and where other nodes
  /// fetch this node's state (HTTP).
  Endpoint Peers;
  /// Control messages between nodes (UDP).
  Endpoint PeerControl;
  /// Peers from which the state is fetched when the store does not answer.
  std::vector<Endpoint> Seeds;
  /// The metadata store (HTTP), and how long it keeps past changes.
  Endpoint Store;
  Duration StoreHistory = 20s;
  /// An agent's local upstream (UDP), and its service.
  Endpoint Upstream;
  std::string Service;
  /// Time from the stop signal until the process is killed.
  Duration Grace = 5s;
  Duration AddressReuseAfter = 2s;
  /// A flow that is older than this may be dropped.
  Duration MaxFlowAge = 60s;
  /// The deployment starts for the first time: there are no flows yet.
  bool FirstStart = false;
  /// The approximate interval between two heartbeats of an upstream.
  Duration HeartbeatInterval = 1s;
  double ColdFactor = 1;
  double ColdSlack = 0;
  /// Balancers: limit on second openings of flows, in percent of the new flows
  /// (0 to 20); 0: none. See opaque::Openings.
  double HedgePercent = 0;
  /// Also for routes whose requests may not be repeated.
  bool HedgeAllKinds = false;

  friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace dragonflystall::node

#endif
