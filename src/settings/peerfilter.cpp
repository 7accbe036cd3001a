// Checks a peer's address against the networks of the zones.
#include "peerfilter.h"

#include <algorithm>

namespace dragonflystall {

PeerFilter::PeerFilter(std::vector<Endpoint> Configured, std::string OwnZone)
    : Configured_(std::move(Configured)), OwnZone_(std::move(OwnZone)) {}

bool PeerFilter::allows(uint32_t Ip) const {
  if (Settings_->Zones.empty())
    return std::any_of(Configured_.begin(), Configured_.end(),
                       [&](Endpoint Peer) { return Peer.Ip == Ip; });
  const ZoneSettings *Zone = Settings_->zoneOf(Ip);
  if (!Zone)
    return false;
  if (Zone->Name == OwnZone_)
    return true;
  return !Zone->Evacuated && !Settings_->isZoneEvacuated(OwnZone_);
}

} // namespace dragonflystall
