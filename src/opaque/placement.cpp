// The explanation of where a new flow would go. It asks the same functions as
// the decision: Steering::serviceFor, Directory::rankOf and waitOrRefusal.
#include "opaque/placement.h"

#include "opaque/steering.h"

#include <algorithm>

namespace dragonflystall::opaque {

Placement Steering::explain(Endpoint Address, std::optional<Endpoint> Caller,
                            TimePoint Now) const {
  Placement Result;
  if (!Config_.hasManifest()) {
    Result.Reason = SteerReason::NoManifest;
    return Result;
  }
  Result.Target = Config_.manifest().routeAt(Address);
  if (!Result.Target) {
    Result.Reason = SteerReason::NoRoute;
    return Result;
  }
  std::optional<uint64_t> Hash;
  if (Caller) {
    Hash = hashOf(FlowId{*Caller, Address});
    Result.Holder = Agents_.find(Cache_.peek(*Hash, seconds(Now)));
  }
  for (const WeightedService &S : Result.Target->Services)
    Result.Services.push_back(explainService(*Result.Target, S, Hash, Now));
  const bool TakesFlows =
      std::any_of(Result.Services.begin(), Result.Services.end(),
                  [](const ServicePlacement &S) { return S.IsPossible; });
  if (!TakesFlows)
    Result.Reason = SteerReason::NoUpstream;
  return Result;
}

bool Steering::mayGoTo(const Route &Route, const WeightedService &Service,
                       std::optional<uint64_t> FlowHash, TimePoint Now) const {
  if (FlowHash)
    return serviceFor(Route, *FlowHash, Now) == &Service;
  if (Service.Weight <= 0)
    return false;
  const auto IsAble = [&](const WeightedService &S) {
    return S.Weight > 0 && Agents_.canServe(S.Name, Now);
  };
  return IsAble(Service) ||
         std::none_of(Route.Services.begin(), Route.Services.end(), IsAble);
}

ServicePlacement Steering::explainService(const Route &Route,
                                          const WeightedService &Service,
                                          std::optional<uint64_t> FlowHash,
                                          TimePoint Now) const {
  ServicePlacement Result;
  Result.Service = &Service;
  Result.CanServe = Agents_.canServe(Service.Name, Now);
  Result.IsPossible = mayGoTo(Route, Service, FlowHash, Now);
  if (!Result.IsPossible)
    return Result;
  Result.Candidates = Agents_.ranking(Service.Name, /*Tried=*/0, Now);
  Result.WaitingFlows = Queue_.sizeOf(Service.Name);
  if (const auto RoomAt = Agents_.nextCapacityAt(Service.Name, Now))
    Result.RoomIn = *RoomAt - Now;
  if (FlowHash && Queue_.contains(*FlowHash))
    Result.Outcome = SteerReason::Queued;
  else if (!Result.Candidates.first())
    Result.Outcome =
        waitOrRefusal(Service.Name, Route.Priority,
                      Now + SynDeadlines::maxWait(Route.Timeout), Now);
  return Result;
}

} // namespace dragonflystall::opaque
