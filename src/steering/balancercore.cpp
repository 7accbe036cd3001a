// Public interface of the core: event dispatch and state queries.
#include "balancercore.h"

#include "balancerstate.h"

#include <algorithm>

namespace dragonflystall {

BalancerCore::BalancerCore(BalancerIdentity Self)
    : State_(std::make_unique<State>(std::move(Self))) {}
BalancerCore::~BalancerCore() = default;

void BalancerCore::handle(const BalancerEvent &Input, TimePoint Now,
                          BalancerActions &Out) {
  State &CoreState = *State_;
  CoreState.ReleasedPackets.clear();
  if (const auto *Caller = std::get_if<CallerPacket>(&Input))
    CoreState.onCaller(*Caller, Now, Out);
  else if (const auto *Internal = std::get_if<InternalPacket>(&Input))
    CoreState.onInternal(*Internal, Now, Out);
  else if (const auto *Roster = std::get_if<RosterUpdate>(&Input))
    CoreState.onRoster(Roster->Value, Now, Out);
  else if (const auto *Settings = std::get_if<SettingsUpdate>(&Input))
    CoreState.onSettings(Settings->Value, Now, Out);
  else
    CoreState.onTick(Now, Out);
}

Steering BalancerCore::steer(const CallerPacket &Packet, TimePoint Now) {
  return State_->steer(Packet, Now);
}

void BalancerCore::prefetch(const CallerPacket &Packet) const {
  if (const Route *ServiceRoute = State_->routeAt(Packet.ServiceAddress))
    State_->Cache.prefetch(hashFlow({ServiceRoute->Service, Packet.Caller}));
}

const SteerCounters &BalancerCore::counters() const { return State_->Counters; }

bool BalancerCore::ready() const {
  return State_->CurrentSettings->Version != 0 && !State_->OwnZoneOut;
}

bool BalancerCore::accepts(uint32_t Ip) const { return State_->accepts(Ip); }

uint64_t BalancerCore::settingsVersion() const {
  return State_->CurrentSettings->Version;
}

const Roster *BalancerCore::roster(ServiceId Service) const {
  const Route *ServiceRoute = State_->route(Service);
  return ServiceRoute && ServiceRoute->RosterVersion != 0
             ? &ServiceRoute->CurrentRoster
             : nullptr;
}

std::map<std::string, uint64_t> BalancerCore::rosterVersions() const {
  std::map<std::string, uint64_t> Result;
  for (const Route &ServiceRoute : State_->Routes)
    if (ServiceRoute.RosterVersion != 0)
      Result[ServiceRoute.CurrentRoster.Team + "/" +
             ServiceRoute.CurrentRoster.Name] = ServiceRoute.RosterVersion;
  return Result;
}

std::optional<Endpoint> BalancerCore::pickPeer(uint64_t RandomValue) const {
  const std::vector<Route> &Routes = State_->Routes;
  if (Routes.empty())
    return std::nullopt;
  const Route &ServiceRoute = Routes[RandomValue % Routes.size()];
  if (ServiceRoute.Agents.empty())
    return std::nullopt;
  const size_t Index = RandomValue / Routes.size() % ServiceRoute.Agents.size();
  if (!ServiceRoute.Agents[Index].Reachable)
    return std::nullopt;
  return ServiceRoute.CurrentRoster.Agents[Index].Control;
}

size_t BalancerCore::cachedFlows() const { return State_->Cache.size(); }
size_t BalancerCore::cacheBytes() const { return State_->Cache.bytes(); }
uint64_t BalancerCore::cacheEvictions() const {
  return State_->Cache.evictions();
}

size_t BalancerCore::suspects() const {
  size_t Count = 0;
  for (const Route &ServiceRoute : State_->Routes)
    Count +=
        std::count_if(ServiceRoute.Agents.begin(), ServiceRoute.Agents.end(),
                      [](const AgentSlot &A) { return A.Suspected; });
  return Count;
}

} // namespace dragonflystall
