// Applies new settings and rosters. Neither is ever replaced by an older
// version.
#include "balancerstate.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// Minimum time between two requests for the same roster, unless a packet
/// mentions a newer version.
constexpr Duration RosterRetryInterval = 500ms;

std::vector<Network> networksOfZonesIn(const Settings &Value) {
  std::vector<Network> Result;
  for (const ZoneSettings &Zone : Value.Zones)
    if (!Zone.Evacuated)
      Result.insert(Result.end(), Zone.Networks.begin(), Zone.Networks.end());
  return Result;
}

FlowCache::Seconds longestIdleTimeout(const Settings &Value) {
  Duration Longest = 0s;
  for (const ServiceSettings &Service : Value.Services)
    Longest = std::max(Longest, Service.FlowIdleTimeout);
  return static_cast<FlowCache::Seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(Longest).count());
}

void reportZoneChanges(const Settings &Previous, const Settings &Current,
                       BalancerActions &Out) {
  for (const ZoneSettings &Zone : Current.Zones) {
    if (Zone.Evacuated == Previous.isZoneEvacuated(Zone.Name))
      continue;
    Event Change;
    Change.Kind = Zone.Evacuated ? EventKind::ZoneOut : EventKind::ZoneIn;
    Change.Value = Current.Version;
    Change.Detail = Zone.Name;
    Out.push_back(std::move(Change));
  }
}

} // namespace

Route *BalancerCore::State::route(ServiceId Service) {
  const ServiceSettings *Found = CurrentSettings->service(Service);
  return Found ? &Routes[Found - CurrentSettings->Services.data()] : nullptr;
}

// There are only a few networks in small and in large deployments, so a linear
// scan is fast enough.
bool BalancerCore::State::accepts(uint32_t Ip) const {
  return std::any_of(AcceptedNetworks.begin(), AcceptedNetworks.end(),
                     [Ip](const Network &N) { return N.contains(Ip); });
}

void BalancerCore::State::onSettings(const SettingsPtr &NewSettings,
                                     TimePoint Now, BalancerActions &Out) {
  if (NewSettings->Version <= CurrentSettings->Version) {
    Counters.add(SteerCounter::StaleSettings);
    return;
  }
  const bool SameZones = NewSettings->Zones == CurrentSettings->Zones;
  std::vector<Route> NewRoutes(NewSettings->Services.size());
  for (size_t I = 0; I < NewRoutes.size(); ++I) {
    const ServiceSettings &Service = NewSettings->Services[I];
    NewRoutes[I].Service = Service.Id;
    const ServiceSettings *Previous = CurrentSettings->service(Service.Id);
    if (Previous)
      NewRoutes[I] = std::move(*route(Service.Id));
    if (!Previous || !SameZones || *Previous != Service)
      NewRoutes[I].rebuild(*NewSettings, Service);
  }
  reportZoneChanges(*CurrentSettings, *NewSettings, Out);
  CurrentSettings = NewSettings;
  Routes = std::move(NewRoutes);
  Addresses = AddressMap(*NewSettings);
  AcceptedNetworks = networksOfZonesIn(*NewSettings);
  OwnZoneOut = NewSettings->isZoneEvacuated(Self.Zone);
  Cache.setIdleTimeout(longestIdleTimeout(*NewSettings));
  releaseParked(Now, Out);
}

void BalancerCore::State::onRoster(const Roster &NewRoster, TimePoint Now,
                                   BalancerActions &Out) {
  const ServiceSettings *Service = CurrentSettings->service(NewRoster.Service);
  if (!Service)
    return;
  Route &ServiceRoute = *route(NewRoster.Service);
  if (NewRoster.Version <= ServiceRoute.RosterVersion) {
    Counters.add(SteerCounter::StaleRoster);
    return;
  }
  ServiceRoute.CurrentRoster = NewRoster;
  ServiceRoute.rebuild(*CurrentSettings, *Service);
  Event Change;
  Change.Kind = EventKind::RosterInForce;
  Change.Value = NewRoster.Version;
  Change.Detail = NewRoster.Team + "/" + NewRoster.Name;
  Out.push_back(std::move(Change));
  releaseParked(Now, Out);
}

void BalancerCore::State::requestRoster(Route &ServiceRoute,
                                        uint64_t MentionedVersion,
                                        TimePoint Now, BalancerActions &Out) {
  const bool IsNewer = MentionedVersion > ServiceRoute.HighestMentionedVersion;
  if (!IsNewer && ServiceRoute.LastRequested &&
      Now - *ServiceRoute.LastRequested < RosterRetryInterval)
    return;
  ServiceRoute.HighestMentionedVersion =
      std::max(ServiceRoute.HighestMentionedVersion, MentionedVersion);
  ServiceRoute.LastRequested = Now;
  Out.push_back(
      FetchRoster{ServiceRoute.Service, ServiceRoute.HighestMentionedVersion});
}

} // namespace dragonflystall
