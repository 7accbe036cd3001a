// The availability zones that operators have taken out of service.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_EVACUATEDZONES_H
#define DRAGONFLYSTALL_SRC_OPAQUE_EVACUATEDZONES_H

#include "dragonflystall/clock.h"
#include "opaque/storerevision.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflystall::opaque {

/// A zone whose evacuation the store has lost by coming back from a copy.
struct HeldZone {
  std::string Zone;
  Duration Age{}; ///< Time since the loss was noticed.
  friend bool operator==(const HeldZone &, const HeldZone &) = default;
};

/// Evacuations as of a revision of the store.
struct Evacuations {
  StoreRevision Revision;
  std::set<std::string> Zones; ///< As listed by the store.
  std::vector<HeldZone> Held = {};
  /// The revision of the era before as of which Held is known; not set if it is
  /// not known.
  StoreRevision HeldAsOf = {};
};

class EvacuatedZones {
public:
  /// A zone stays evacuated for this time after the store has lost the
  /// evacuation. Operators write again what was lost, within seconds.
  static constexpr Duration HoldTime = 10s;

  /// Takes what is newer, from the store or a peer. Returns whether zones()
  /// has changed.
  bool offer(const Evacuations &Offered, TimePoint Now);
  /// Call regularly: ends holds. Returns whether zones() has changed.
  bool expire(TimePoint Now);

  StoreRevision revision() const { return Revision_; }
  /// See Evacuations::HeldAsOf.
  StoreRevision heldAsOf() const { return HeldAsOf_; }
  bool contains(const std::string &Zone) const {
    return Listed_.count(Zone) > 0 || Held_.count(Zone) > 0;
  }
  /// The zones that are evacuated, listed by the store or held.
  std::set<std::string> zones() const;
  /// For a peer.
  Evacuations state(TimePoint Now) const;

private:
  void takeListed(const Evacuations &Newer, TimePoint Now);
  /// Takes the held zones of a process that knows the era before better.
  void takeHeld(const std::vector<HeldZone> &Held, StoreRevision AsOf,
                TimePoint Now);

  StoreRevision Revision_;
  std::set<std::string> Listed_;
  /// Zones that were listed at some time in the era of Revision_. Operators
  /// have written them again if they were lost.
  std::set<std::string> ListedInEra_;
  /// Zones that are not in ListedInEra_, with the time of the loss.
  std::map<std::string, TimePoint> Held_;
  StoreRevision HeldAsOf_;
};

} // namespace dragonflystall::opaque

#endif
