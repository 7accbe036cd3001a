// The settings file of one process: its name and zone, its listening addresses,
// and the addresses of the platform and of its peers.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_HOSTSETTINGS_H
#define DRAGONFLYSTALL_SRC_SETTINGS_HOSTSETTINGS_H

#include "dragonflystall/types.h"
#include "settings/settingerror.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dragonflystall {

struct Key;

/// How the fabric delivers packets to a balancer.
enum class EntryMode : uint8_t {
  Direct, ///< The balancer binds the service addresses itself.
  Proxy,  ///< PROXY protocol v2 datagrams arrive on the entry address.
};

constexpr std::array<std::string_view, 2> EntryModeNames = {"direct", "proxy"};

struct HostSettings {
  std::string Name;
  std::string Zone;
  Endpoint Data;    ///< UDP, for packets between the load balancer's processes.
  Endpoint Control; ///< ZeroMQ over TCP.
  Endpoint Admin;   ///< HTTP.
  std::vector<Endpoint> Platform;
  /// Control addresses from which settings can be fetched when the platform is
  /// down.
  std::vector<Endpoint> Peers;
  // Balancers only.
  Endpoint Entry;
  EntryMode Mode = EntryMode::Direct;
  // Agents only.
  std::string Team;
  std::string Service;
  Endpoint Upstream;
  uint32_t Slots = 4;
  uint32_t Connections = 2000;
};

/// Parses and checks the JSON text. On failure all errors are returned at once.
tl::expected<HostSettings, SettingErrors>
parseHostSettings(const std::string &Json);

/// The keys of the file, in the order of the reference page.
std::vector<Key> hostKeys();

} // namespace dragonflystall

#endif
