// The outer face of the core: one entry for all events, and what it shows.
#include "balancercore.h"

#include "balancerstate.h"

#include <algorithm>

namespace dragonflystall {

BalancerCore::BalancerCore(BalancerIdentity Self)
    : State_(std::make_unique<State>(std::move(Self))) {}
BalancerCore::~BalancerCore() = default;

void BalancerCore::handle(const BalancerEvent &What, TimePoint Now,
                          BalancerActions &Out) {
  State &S = *State_;
  S.Released.clear();
  if (const auto *Caller = std::get_if<CallerPacket>(&What))
    S.onCaller(*Caller, Now, Out);
  else if (const auto *Internal = std::get_if<InternalPacket>(&What))
    S.onInternal(*Internal, Now, Out);
  else if (const auto *Roster = std::get_if<RosterUpdate>(&What))
    S.onRoster(Roster->Value, Now, Out);
  else if (const auto *Settings = std::get_if<SettingsUpdate>(&What))
    S.onSettings(Settings->Value, Now, Out);
  else
    S.onTick(Now, Out);
}

Steering BalancerCore::steer(const CallerPacket &Packet, TimePoint Now) {
  return State_->steer(Packet, Now);
}

void BalancerCore::prefetch(const CallerPacket &Packet) const {
  if (const Route *Via = State_->routeAt(Packet.ServiceAddress))
    State_->Cache.prefetch(hashFlow({Via->Service, Packet.Caller}));
}

const SteerCounters &BalancerCore::counters() const { return State_->Counters; }

bool BalancerCore::ready() const {
  return State_->InForce->Version != 0 && !State_->OwnZoneOut;
}

bool BalancerCore::accepts(uint32_t Ip) const { return State_->accepts(Ip); }

uint64_t BalancerCore::settingsVersion() const {
  return State_->InForce->Version;
}

const Roster *BalancerCore::roster(ServiceId Service) const {
  const Route *Via = State_->route(Service);
  return Via && Via->RosterVersion != 0 ? &Via->Known : nullptr;
}

std::map<std::string, uint64_t> BalancerCore::rosterVersions() const {
  std::map<std::string, uint64_t> Result;
  for (const Route &Via : State_->Routes)
    if (Via.RosterVersion != 0)
      Result[Via.Known.Team + "/" + Via.Known.Name] = Via.RosterVersion;
  return Result;
}

std::optional<Endpoint> BalancerCore::drawPeer(uint64_t Draw) const {
  const std::vector<Route> &Routes = State_->Routes;
  if (Routes.empty())
    return std::nullopt;
  const Route &Via = Routes[Draw % Routes.size()];
  if (Via.Agents.empty())
    return std::nullopt;
  const size_t Index = Draw / Routes.size() % Via.Agents.size();
  if (!Via.Agents[Index].Reachable)
    return std::nullopt;
  return Via.Known.Agents[Index].Control;
}

size_t BalancerCore::cachedFlows() const { return State_->Cache.size(); }
size_t BalancerCore::cacheBytes() const { return State_->Cache.bytes(); }
uint64_t BalancerCore::cacheEvictions() const {
  return State_->Cache.evictions();
}

size_t BalancerCore::suspects() const {
  size_t Count = 0;
  for (const Route &Via : State_->Routes)
    Count += std::count_if(Via.Agents.begin(), Via.Agents.end(),
                           [](const AgentSlot &A) { return A.Suspected; });
  return Count;
}

} // namespace dragonflystall
