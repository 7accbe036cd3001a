// Lookups in the settings in force.
#include "dragonflystall/settings.h"

#include <algorithm>

namespace dragonflystall {

const ServiceSettings *Settings::service(ServiceId Id) const {
  auto It = std::lower_bound(
      Services.begin(), Services.end(), Id,
      [](const ServiceSettings &S, ServiceId Wanted) { return S.Id < Wanted; });
  return It != Services.end() && It->Id == Id ? &*It : nullptr;
}

const ServiceSettings *Settings::serviceAt(Endpoint Address) const {
  for (const ServiceSettings &S : Services)
    if (std::find(S.Addresses.begin(), S.Addresses.end(), Address) !=
        S.Addresses.end())
      return &S;
  return nullptr;
}

const ZoneSettings *Settings::zone(std::string_view Name) const {
  auto It = std::find_if(Zones.begin(), Zones.end(),
                         [&](const ZoneSettings &Z) { return Z.Name == Name; });
  return It != Zones.end() ? &*It : nullptr;
}

const ZoneSettings *Settings::zoneOf(uint32_t Ip) const {
  for (const ZoneSettings &Z : Zones)
    for (const Network &N : Z.Networks)
      if (N.contains(Ip))
        return &Z;
  return nullptr;
}

bool Settings::isZoneEvacuated(std::string_view Name) const {
  const ZoneSettings *Z = zone(Name);
  return Z && Z->Evacuated;
}

} // namespace dragonflystall
