// The model of the settings in force, which the cores read. src/settings
// validates the JSON and builds the model.
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
  std::vector<Endpoint> Addresses; ///< Where callers send.
  std::vector<std::string> Zones;  ///< Where upstreams may serve; empty: all.
  uint32_t MaxSlots = 4;           ///< Concurrent requests per upstream.
  uint32_t MaxConnections = 2000;  ///< Open flows per upstream.
  uint32_t MaxQueue = 16;          ///< Queued requests per upstream.
  Duration RequestTimeout = 5s;    ///< When the request contains none.
  Duration TicketLifetime = 60s;
  Duration FlowIdleTimeout = 60min;
  uint32_t RetryPercent = 10; ///< Retries at other agents per 100 requests.
  uint32_t HedgePercent = 0;  ///< Hedges per 100 requests; 0: off.
  uint64_t MaxMessageBytes = 2 << 20; ///< Body of a request or answer.
  std::vector<std::string> Drained;   ///< Names of the agents to drain.
  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

struct ZoneSettings {
  std::string Name;
  /// The zone is evacuated.
  bool Evacuated = false;
  /// Balancers and agents in the zone have addresses only in these networks.
  std::vector<Network> Networks;
  friend bool operator==(const ZoneSettings &, const ZoneSettings &) = default;
};

/// One consistent view of all settings. Invariant: services are sorted by id,
/// zones by name; no address belongs to two services.
struct Settings {
  /// The highest platform version among the objects of the view.
  uint64_t Version = 0;
  std::vector<ServiceSettings> Services;
  std::vector<ZoneSettings> Zones;

  const ServiceSettings *service(ServiceId Id) const;
  const ServiceSettings *serviceAt(Endpoint Address) const;
  const ZoneSettings *zone(std::string_view Name) const;
  const ZoneSettings *zoneOf(uint32_t Ip) const;
  bool isZoneEvacuated(std::string_view Name) const;
  friend bool operator==(const Settings &, const Settings &) = default;
};

using SettingsPtr = std::shared_ptr<const Settings>;

} // namespace dragonflystall

#endif
