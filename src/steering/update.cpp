// New settings and rosters. Neither ever goes back to an older version.
#include "balancerstate.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// Between two requests for the same roster, unless a newer one was heard of.
constexpr Duration RosterRetryInterval = 500ms;

std::vector<Network> networksIn(const Settings &Value) {
  std::vector<Network> Result;
  for (const ZoneSettings &Zone : Value.Zones)
    if (!Zone.Out)
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

void reportZones(const Settings &Before, const Settings &After,
                 BalancerActions &Out) {
  for (const ZoneSettings &Zone : After.Zones) {
    if (Zone.Out == Before.zoneOut(Zone.Name))
      continue;
    Event What;
    What.Kind = Zone.Out ? EventKind::ZoneOut : EventKind::ZoneIn;
    What.Value = After.Version;
    What.Detail = Zone.Name;
    Out.push_back(std::move(What));
  }
}

} // namespace

Route *BalancerCore::State::route(ServiceId Service) {
  const ServiceSettings *Found = InForce->service(Service);
  return Found ? &Routes[Found - InForce->Services.data()] : nullptr;
}

// A few networks at both sizes, so a scan will do.
bool BalancerCore::State::accepts(uint32_t Ip) const {
  return std::any_of(Accepted.begin(), Accepted.end(),
                     [Ip](const Network &N) { return N.contains(Ip); });
}

void BalancerCore::State::onSettings(const SettingsPtr &Value, TimePoint Now,
                                     BalancerActions &Out) {
  if (Value->Version <= InForce->Version) {
    Counters.add(SteerCounter::StaleSettings);
    return;
  }
  const bool SameZones = Value->Zones == InForce->Zones;
  std::vector<Route> Next(Value->Services.size());
  for (size_t I = 0; I < Next.size(); ++I) {
    const ServiceSettings &Service = Value->Services[I];
    Next[I].Service = Service.Id;
    const ServiceSettings *Before = InForce->service(Service.Id);
    if (Before)
      Next[I] = std::move(*route(Service.Id));
    if (!Before || !SameZones || *Before != Service)
      Next[I].rebuild(*Value, Service);
  }
  reportZones(*InForce, *Value, Out);
  InForce = Value;
  Routes = std::move(Next);
  Addresses = AddressMap(*Value);
  Accepted = networksIn(*Value);
  OwnZoneOut = Value->zoneOut(Self.Zone);
  Cache.setIdleTimeout(longestIdleTimeout(*Value));
  releaseParked(Now, Out);
}

void BalancerCore::State::onRoster(const Roster &Value, TimePoint Now,
                                   BalancerActions &Out) {
  const ServiceSettings *Service = InForce->service(Value.Service);
  if (!Service)
    return;
  Route &Via = *route(Value.Service);
  if (Value.Version <= Via.RosterVersion) {
    Counters.add(SteerCounter::StaleRoster);
    return;
  }
  Via.Known = Value;
  Via.rebuild(*InForce, *Service);
  Event What;
  What.Kind = EventKind::RosterInForce;
  What.Value = Value.Version;
  What.Detail = Value.Team + "/" + Value.Name;
  Out.push_back(std::move(What));
  releaseParked(Now, Out);
}

void BalancerCore::State::wantRoster(Route &Via, uint64_t Heard, TimePoint Now,
                                     BalancerActions &Out) {
  const bool News = Heard > Via.HeardVersion;
  if (!News && Via.Wanted && Now - *Via.Wanted < RosterRetryInterval)
    return;
  Via.HeardVersion = std::max(Via.HeardVersion, Heard);
  Via.Wanted = Now;
  Out.push_back(WantRoster{Via.Service, Via.HeardVersion});
}

} // namespace dragonflystall
