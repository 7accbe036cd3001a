// The part of the operators' configuration that concerns opaque flows. A
// process keeps the newest version that it has received from any source, and
// remembers which services its routes named before.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_MANIFEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_MANIFEST_H

#include "opaque/evacuatedzones.h"
#include "opaque/route.h"
#include "opaque/routehistory.h"

#include <map>

namespace dragonflystall::opaque {

/// How an upstream of a service warms up: its limit on new flows per second.
struct WarmUp {
  double PerSecond = 0;
  /// How long an upstream is cold after its start; 0 if not given.
  Duration Length{};
};

struct Manifest {
  int64_t Version = 0;
  RouteMap Routes;
  std::map<std::string, WarmUp> Services;
  Duration FlowIdleTimeout = 15s;

  /// Returns nullptr if there is no route at the address.
  const Route *routeAt(Endpoint Address) const {
    const auto It = Routes.find(Address);
    return It == Routes.end() ? nullptr : &It->second;
  }
};

/// Whether a process has seen every version between its manifest and a newer
/// one.
enum class Continuity : uint8_t {
  Unbroken, ///< An event of a watch, which reports each version.
  Gap,      ///< A list or a peer's state: versions may have been skipped.
};

/// Invariant: the manifest's version and the revision of the evacuations never
/// decrease while the process runs.
class Configuration {
public:
  explicit Configuration(Duration MaxFlowAge = RouteHistory::DefaultMaxFlowAge)
      : History_(MaxFlowAge) {}

  const Manifest &manifest() const { return Manifest_; }
  bool hasManifest() const { return Manifest_.Version > 0; }
  bool knowsEvacuations() const { return Evacuations_.revision().isSet(); }
  const EvacuatedZones &evacuations() const { return Evacuations_; }
  EvacuatedZones &evacuations() { return Evacuations_; }
  bool isEvacuated(const std::string &Zone) const {
    return Evacuations_.contains(Zone);
  }

  const RouteHistory &history() const { return History_; }
  RouteHistory &history() { return History_; }

  /// Takes the manifest if it is newer; returns whether it was taken.
  bool offer(Manifest Newer, Continuity Since, TimePoint Now) {
    if (Newer.Version <= Manifest_.Version)
      return false;
    if (hasManifest() && Since == Continuity::Gap)
      History_.onGap(Now);
    History_.onChange(Manifest_.Routes, Newer.Routes, Now);
    Manifest_ = std::move(Newer);
    return true;
  }
  /// Takes what is newer or missing here of a peer's manifest and of its route
  /// history. Returns whether the manifest was taken.
  bool offerOfPeer(Manifest Theirs, const RouteHistoryState &TheirHistory,
                   TimePoint Now) {
    if (Theirs.Version < Manifest_.Version) {
      History_.mergeOlder(TheirHistory, Theirs.Routes, Manifest_.Routes, Now);
      return false;
    }
    const bool Taken = offer(std::move(Theirs), Continuity::Gap, Now);
    History_.merge(TheirHistory, Now);
    return Taken;
  }

private:
  Manifest Manifest_;
  EvacuatedZones Evacuations_;
  RouteHistory History_;
};

} // namespace dragonflystall::opaque

#endif
