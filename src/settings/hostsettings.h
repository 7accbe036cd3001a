// A process's own settings file: who it is, where it listens, whom to ask.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_HOSTSETTINGS_H
#define DRAGONFLYSTALL_SRC_SETTINGS_HOSTSETTINGS_H

#include "dragonflystall/types.h"
#include "settings/settingerror.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dragonflystall {

struct Key;

/// How the fabric hands packets to a balancer.
enum class EntryMode : uint8_t {
  Direct, ///< The balancer binds the service addresses itself.
  Proxy,  ///< In PROXY protocol v2 datagrams on the entry address.
};

constexpr std::array<std::string_view, 2> EntryModeNames = {"direct", "proxy"};

struct HostSettings {
  std::string Name;
  std::string Zone;
  Endpoint Data;    ///< UDP, packets between our processes.
  Endpoint Control; ///< ZeroMQ over TCP.
  Endpoint Admin;   ///< HTTP.
  std::vector<Endpoint> Platform;
  std::vector<Endpoint> Peers; ///< Control addresses to learn from at start.
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

/// Reads and checks the JSON text; all errors at once.
tl::expected<HostSettings, SettingErrors>
parseHostSettings(const std::string &Json);

/// The keys of the file, for the reference page.
std::vector<Key> hostKeys();

} // namespace dragonflystall

#endif
