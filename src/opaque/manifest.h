// The part of the operators' configuration that concerns opaque flows. A
// process keeps the newest version that it has received from any source.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_MANIFEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_MANIFEST_H

#include "dragonflystall/types.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace dragonflystall::opaque {

struct EndpointHash {
  size_t operator()(Endpoint E) const {
    return std::hash<uint64_t>()(uint64_t{E.Ip} << 16 | E.Port);
  }
};

/// Limit on new flows per second while an upstream warms up.
struct WarmUp {
  double PerSecond = 0;
};

struct Route {
  std::string Service; ///< The service that takes new flows.
  /// A caller's timeout for the answer to a request; 0 if not given.
  Duration Timeout{};
  uint32_t Priority = 0; ///< 0 is the most urgent.
};

struct Manifest {
  int64_t Version = 0;
  std::unordered_map<Endpoint, Route, EndpointHash> Routes;
  std::map<std::string, WarmUp> Services;
  Duration FlowIdleTimeout = 15s;

  /// Returns nullptr if there is no route at the address.
  const Route *routeAt(Endpoint Address) const {
    const auto It = Routes.find(Address);
    return It == Routes.end() ? nullptr : &It->second;
  }
};

/// Evacuated availability zones as of a revision of the store.
struct Evacuations {
  int64_t Revision = 0;
  std::set<std::string> Zones;
};

/// Invariant: the version of either part never decreases while the process
/// runs.
class Configuration {
public:
  const Manifest &manifest() const { return Manifest_; }
  bool hasManifest() const { return Manifest_.Version > 0; }
  const Evacuations &evacuations() const { return Evacuations_; }
  bool isEvacuated(const std::string &Zone) const {
    return Evacuations_.Zones.count(Zone) > 0;
  }

  /// Takes the manifest if it is newer; returns whether it was taken.
  bool offer(Manifest Newer) {
    if (Newer.Version <= Manifest_.Version)
      return false;
    Manifest_ = std::move(Newer);
    return true;
  }
  /// Takes the evacuations if they are newer; returns whether the zones
  /// changed.
  bool offer(Evacuations Newer) {
    if (Newer.Revision <= Evacuations_.Revision)
      return false;
    const bool Changed = Newer.Zones != Evacuations_.Zones;
    Evacuations_ = std::move(Newer);
    return Changed;
  }

private:
  Manifest Manifest_;
  Evacuations Evacuations_;
};

} // namespace dragonflystall::opaque

#endif
