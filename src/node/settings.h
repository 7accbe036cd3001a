// Settings of a process that steers or passes opaque flows.
#ifndef DRAGONFLYSTALL_SRC_NODE_SETTINGS_H
#define DRAGONFLYSTALL_SRC_NODE_SETTINGS_H

#include "dragonflystall/types.h"

#include <string>
#include <vector>

namespace dragonflystall::node {

struct Settings {
  std::string Name;
  std::string Zone;
  /// Where packets of flows arrive (UDP). Callers are reached at the same port.
  Endpoint Packets;
  /// Where the fabric asks whether this process can serve (HTTP).
  Endpoint Ready;
  /// Where the upstream beside an agent sends its packets (UDP); agents only.
  Endpoint Outbound;
  /// Where the upstream beside an agent reports (HTTP).
  Endpoint Control;
  /// Packets that agents return (UDP), and state for other nodes (HTTP).
  Endpoint Peers;
  /// Control messages between nodes (UDP).
  Endpoint PeerControl;
  /// Peers that may know the state when the store does not answer.
  std::vector<Endpoint> Seeds;
  /// The metadata store (HTTP).
  Endpoint Store;
  /// The upstream beside an agent (UDP), and its service.
  Endpoint Upstream;
  std::string Service;
  /// After a request to stop, the process is killed so much later.
  Duration Grace = 5s;
  Duration AddressReuseAfter = 2s;
  /// About how often an upstream reports.
  Duration HeartbeatInterval = 1s;
  double ColdFactor = 1;
  double ColdSlack = 0;

  friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace dragonflystall::node

#endif
