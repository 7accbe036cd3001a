// The availability zones that operators have taken out of service.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_EVACUATEDZONES_H
#define DRAGONFLYSTALL_SRC_OPAQUE_EVACUATEDZONES_H

#include "dragonflystall/clock.h"
#include "opaque/storerevision.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflystall::opaque {

/// What a process knows of an era of the store that is over.
struct PastEra {
  StoreRevision ReadUpTo; ///< Of the era; a greater one is better knowledge.
  /// The zones that were listed then and are still held, since the store may
  /// have lost their evacuations by coming back from a copy.
  std::set<std::string> Held;
  Duration Age{}; ///< Time for which the zones have been held.
  friend bool operator==(const PastEra &, const PastEra &) = default;
};

/// Evacuations as of a revision of the store.
struct Evacuations {
  StoreRevision Revision;
  std::set<std::string> Zones; ///< As listed by the store.
  std::vector<PastEra> PastEras = {};
};

class EvacuatedZones {
public:
  /// A zone stays evacuated for this time after the store has lost the
  /// evacuation, was away or has come back from a copy once more: operators
  /// write again what was lost within seconds, once they can.
  static constexpr Duration HoldTime = 10s;
  /// Limit on the past eras that are remembered, the latest ones.
  static constexpr size_t MaxPastEras = 8;

  /// Takes what is newer, from the store or a peer. Returns whether zones()
  /// has changed.
  bool offer(const Evacuations &Offered, TimePoint Now);
  /// Call regularly: ends holds. StoreUp: whether the store answers. Returns
  /// whether zones() has changed.
  bool expire(TimePoint Now, bool StoreUp);

  StoreRevision revision() const { return Revision_; }
  /// PastEra::ReadUpTo of each past era, in ascending order.
  std::vector<StoreRevision> pastRevisions() const;
  bool contains(const std::string &Zone) const {
    return Listed_.count(Zone) > 0 || isHeld(Zone);
  }
  /// The zones that are evacuated, listed by the store or held.
  std::set<std::string> zones() const;
  /// For a peer.
  Evacuations state(TimePoint Now) const;

private:
  struct KnownEra {
    int64_t ReadUpTo = 0;
    /// Those that were listed last, unless their hold has ended.
    std::set<std::string> Zones;
    TimePoint EndedAt{};
  };

  void takeListed(const Evacuations &Newer, TimePoint Now);
  /// Takes the zones of a past era if they come from a process that has read
  /// more of it; drops those that one which has read as much no longer holds.
  void takePast(StoreRevision ReadUpTo, const std::set<std::string> &Zones,
                TimePoint EndedAt);
  bool isHeld(const std::string &Zone) const;
  /// Since when the zones of a past era are held; see HoldTime.
  TimePoint holdStart(const KnownEra &Known) const {
    return std::max(Known.EndedAt, LastDisturbed_);
  }
  /// The zones that were listed in a past era and are still held.
  std::set<std::string> heldFrom(int64_t Era, const KnownEra &Known) const;
  void markListed(const std::set<std::string> &Zones, int64_t Era);

  StoreRevision Revision_;
  std::set<std::string> Listed_;
  /// By era; all are earlier than that of Revision_.
  std::map<int64_t, KnownEra> PastEras_;
  /// The latest era in which the store listed the zone: operators have written
  /// its evacuation again if it was lost in an era before. Invariant: has all
  /// zones of PastEras_.
  std::map<std::string, int64_t> LastListed_;
  /// When the store was last known to be away, or came back from a copy.
  TimePoint LastDisturbed_{};
};

} // namespace dragonflystall::opaque

#endif
