// Evacuations across restores of the store.
#include "opaque/evacuatedzones.h"

namespace dragonflystall::opaque {

bool EvacuatedZones::offer(const Evacuations &Offered, TimePoint Now) {
  const std::set<std::string> Before = zones();
  if (Offered.Revision.isSet() && Offered.Revision.Era < Revision_.Era)
    takePast(Offered.Revision, Offered.Zones, Now); // Of a peer that is behind.
  else if (Offered.Revision > Revision_)
    takeListed(Offered, Now);
  for (const PastEra &P : Offered.PastEras)
    takePast(P.ReadUpTo, P.Held, Now - std::max(Duration::zero(), P.Age));
  return zones() != Before;
}

void EvacuatedZones::takeListed(const Evacuations &Newer, TimePoint Now) {
  if (Revision_.isSet() && Revision_.Era != Newer.Revision.Era) {
    takePast(Revision_, Listed_, Now);
    LastDisturbed_ = Now;
  }
  Revision_ = Newer.Revision;
  Listed_ = Newer.Zones;
  markListed(Listed_, Revision_.Era);
}

void EvacuatedZones::takePast(StoreRevision ReadUpTo,
                              const std::set<std::string> &Zones,
                              TimePoint EndedAt) {
  markListed(Zones, ReadUpTo.Era);
  const auto [It, IsNew] = PastEras_.try_emplace(ReadUpTo.Era);
  KnownEra &Known = It->second;
  if (IsNew || ReadUpTo.Number > Known.ReadUpTo)
    Known = {ReadUpTo.Number, Zones, EndedAt};
  else if (ReadUpTo.Number == Known.ReadUpTo)
    // The hold of the other zones has ended at the peer.
    std::erase_if(Known.Zones,
                  [&](const auto &Zone) { return Zones.count(Zone) == 0; });
  if (PastEras_.size() > MaxPastEras)
    PastEras_.erase(PastEras_.begin());
}

void EvacuatedZones::markListed(const std::set<std::string> &Zones,
                                int64_t Era) {
  for (const std::string &Zone : Zones) {
    int64_t &Latest = LastListed_[Zone];
    Latest = std::max(Latest, Era);
  }
}

std::set<std::string> EvacuatedZones::heldFrom(int64_t Era,
                                               const KnownEra &Known) const {
  std::set<std::string> Held = Known.Zones;
  std::erase_if(Held, [&](const std::string &Zone) {
    return LastListed_.at(Zone) > Era;
  });
  return Held;
}

bool EvacuatedZones::isHeld(const std::string &Zone) const {
  return std::any_of(PastEras_.begin(), PastEras_.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Zones.count(Zone) > 0 &&
                              LastListed_.at(Zone) <= Entry.first;
                     });
}

bool EvacuatedZones::expire(TimePoint Now, bool StoreUp) {
  if (!StoreUp)
    LastDisturbed_ = Now;
  const std::set<std::string> Before = zones();
  for (auto &[Era, Known] : PastEras_)
    if (Now - holdStart(Known) > HoldTime)
      Known.Zones.clear();
  return zones() != Before;
}

std::vector<StoreRevision> EvacuatedZones::pastRevisions() const {
  std::vector<StoreRevision> Revisions;
  for (const auto &[Era, Known] : PastEras_)
    Revisions.push_back({Era, Known.ReadUpTo});
  return Revisions;
}

std::set<std::string> EvacuatedZones::zones() const {
  std::set<std::string> Zones = Listed_;
  for (const auto &[Era, Known] : PastEras_)
    Zones.merge(heldFrom(Era, Known));
  return Zones;
}

Evacuations EvacuatedZones::state(TimePoint Now) const {
  Evacuations State{Revision_, Listed_, {}};
  for (const auto &[Era, Known] : PastEras_)
    State.PastEras.push_back(
        {{Era, Known.ReadUpTo}, heldFrom(Era, Known), Now - holdStart(Known)});
  return State;
}

} // namespace dragonflystall::opaque
