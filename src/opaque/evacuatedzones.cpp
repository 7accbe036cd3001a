// Evacuations across a restore of the store.
#include "opaque/evacuatedzones.h"

#include <algorithm>

namespace dragonflystall::opaque {

bool EvacuatedZones::offer(const Evacuations &Offered, TimePoint Now) {
  const std::set<std::string> Before = zones();
  if (Offered.Revision.Era < Revision_.Era) {
    // The peer has not noticed the restore: the zones may be lost.
    std::vector<HeldZone> Lost;
    for (const std::string &Zone : Offered.Zones)
      Lost.push_back({Zone, Duration::zero()});
    takeHeld(Lost, Offered.Revision, Now);
    return zones() != Before;
  }
  if (Offered.Revision > Revision_)
    takeListed(Offered, Now);
  takeHeld(Offered.Held, Offered.HeldAsOf, Now);
  return zones() != Before;
}

void EvacuatedZones::takeListed(const Evacuations &Newer, TimePoint Now) {
  if (Revision_.isSet() && Revision_.Era != Newer.Revision.Era) {
    for (const std::string &Zone : Listed_)
      Held_.emplace(Zone, Now);
    HeldAsOf_ = Revision_;
    ListedInEra_.clear();
  }
  Revision_ = Newer.Revision;
  Listed_ = Newer.Zones;
  ListedInEra_.insert(Listed_.begin(), Listed_.end());
  for (const std::string &Zone : Listed_)
    Held_.erase(Zone);
}

void EvacuatedZones::takeHeld(const std::vector<HeldZone> &Held,
                              StoreRevision AsOf, TimePoint Now) {
  if (AsOf <= HeldAsOf_)
    return;
  HeldAsOf_ = AsOf;
  Held_.clear();
  for (const HeldZone &H : Held)
    if (ListedInEra_.count(H.Zone) == 0)
      Held_.emplace(H.Zone, Now - std::max(Duration::zero(), H.Age));
}

bool EvacuatedZones::expire(TimePoint Now) {
  return std::erase_if(Held_, [&](const auto &Held) {
           return Now - Held.second > HoldTime;
         }) > 0;
}

std::set<std::string> EvacuatedZones::zones() const {
  std::set<std::string> Zones = Listed_;
  for (const auto &[Zone, Since] : Held_)
    Zones.insert(Zone);
  return Zones;
}

Evacuations EvacuatedZones::state(TimePoint Now) const {
  Evacuations State{Revision_, Listed_, {}, HeldAsOf_};
  for (const auto &[Zone, Since] : Held_)
    State.Held.push_back({Zone, Now - Since});
  return State;
}

} // namespace dragonflystall::opaque
