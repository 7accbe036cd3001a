// The settings in force, as the cores read them. src/settings checks the JSON
// and builds this model.
#ifndef DRAGONFLYSTALL_SETTINGS_H
#define DRAGONFLYSTALL_SETTINGS_H

#include "dragonflystall/types.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflystall {

struct ServiceSettings {
  std::string Team;
  std::string Name;
  ServiceId Id = ServiceId::None;
  std::vector<Endpoint> Addresses; ///< What callers send to.
  std::vector<std::string> Zones;  ///< Where upstreams may serve; empty: all.
  uint32_t MaxSlots = 4;           ///< Per upstream, requests at once.
  uint32_t MaxConnections = 2000;  ///< Per upstream, open flows.
  uint32_t MaxQueue = 16;          ///< Per upstream, requests that wait.
  Duration RequestTimeout = 5s;    ///< When the caller names none.
  Duration TicketLifetime = 60s;
  Duration FlowIdleTimeout = 60min;
  uint32_t RetryPercent = 10; ///< Tries elsewhere per 100 requests.
  uint64_t MaxBodyBytes = 2 << 20;
  std::vector<std::string> Drained; ///< Agents' names that are to leave.
  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

struct ZoneSettings {
  std::string Name;
  bool Out = false;
  /// Our processes in the zone have addresses in these networks only.
  std::vector<Network> Networks;
  friend bool operator==(const ZoneSettings &, const ZoneSettings &) = default;
};

/// One consistent view. Invariant: sorted by id and by name; no address is
/// claimed by two services.
struct Settings {
  /// The highest platform version that the view contains.
  uint64_t Version = 0;
  std::vector<ServiceSettings> Services;
  std::vector<ZoneSettings> Zones;

  const ServiceSettings *service(ServiceId Id) const;
  const ServiceSettings *serviceAt(Endpoint Address) const;
  const ZoneSettings *zone(std::string_view Name) const;
  const ZoneSettings *zoneOf(uint32_t Ip) const;
  bool zoneOut(std::string_view Name) const;
  friend bool operator==(const Settings &, const Settings &) = default;
};

using SettingsPtr = std::shared_ptr<const Settings>;

} // namespace dragonflystall

#endif
