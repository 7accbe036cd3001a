// What operators have configured, as far as opaque flows need it, and how a
// process keeps the newest it has heard of from any source.
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

/// How many new flows an upstream bears while it warms up.
struct WarmUp {
  double PerSecond = 0;
};

struct Route {
  std::string Service; ///< Where new flows go.
  /// How long a caller waits for the answer to a request; 0 when not given.
  Duration Timeout{};
  uint32_t Priority = 0; ///< 0 is the most urgent.
};

struct Manifest {
  int64_t Version = 0;
  std::unordered_map<Endpoint, Route, EndpointHash> Routes;
  std::map<std::string, WarmUp> Services;
  Duration FlowIdleTimeout = 15s;

  /// nullptr when there is no such route.
  const Route *routeAt(Endpoint Address) const {
    const auto It = Routes.find(Address);
    return It == Routes.end() ? nullptr : &It->second;
  }
};

/// Availability zones that operators have taken out, as of a revision of the
/// store.
struct Evacuations {
  int64_t Revision = 0;
  std::set<std::string> Zones;
};

/// Invariant: neither part ever goes back within a process's life.
class Configuration {
public:
  const Manifest &manifest() const { return Manifest_; }
  bool known() const { return Manifest_.Version > 0; }
  const Evacuations &evacuations() const { return Evacuations_; }
  bool evacuated(const std::string &Zone) const {
    return Evacuations_.Zones.count(Zone) > 0;
  }

  /// Returns whether it is newer and was taken.
  bool offer(Manifest Newer) {
    if (Newer.Version <= Manifest_.Version)
      return false;
    Manifest_ = std::move(Newer);
    return true;
  }
  /// Returns whether the zones changed.
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
