// Evacuations across a restore of the store.
#include "opaque/evacuatedzones.h"

#include <algorithm>

namespace dragonflystall::opaque {

bool EvacuatedZones::offer(const Evacuations &Newer, TimePoint Now) {
  const std::set<std::string> Before = zones();
  // The older one of two eras may have evacuations that the later one lost.
  std::set<std::string> Lost;
  if (Revision_.isSet() && Revision_.Era < Newer.Revision.Era)
    Lost = Listed_;
  else if (Newer.Revision.Era < Revision_.Era)
    Lost = Newer.Zones;
  if (Newer.Revision > Revision_) {
    if (Newer.Revision.Era != Revision_.Era)
      ListedInEra_.clear();
    Revision_ = Newer.Revision;
    Listed_ = Newer.Zones;
    ListedInEra_.insert(Listed_.begin(), Listed_.end());
  }
  for (const std::string &Zone : Lost)
    hold(Zone, Now);
  for (const HeldZone &H : Newer.Held)
    hold(H.Zone, Now - std::max(Duration::zero(), H.Age));
  for (const std::string &Zone : Listed_)
    Held_.erase(Zone);
  return zones() != Before;
}

void EvacuatedZones::hold(const std::string &Zone, TimePoint Since) {
  if (ListedInEra_.count(Zone) == 0)
    Held_.emplace(Zone, Since);
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
  Evacuations State{Revision_, Listed_};
  for (const auto &[Zone, Since] : Held_)
    State.Held.push_back({Zone, Now - Since});
  return State;
}

} // namespace dragonflystall::opaque
