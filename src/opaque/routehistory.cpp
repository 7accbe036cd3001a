// Changes of routes, for as long as a flow may outlive them.
#include "opaque/routehistory.h"

#include <algorithm>

namespace dragonflystall::opaque {

void RouteHistory::add(Endpoint Route, const std::string &Service,
                       TimePoint RemovedAt) {
  const auto Known =
      std::find_if(Entries_.begin(), Entries_.end(), [&](const Entry &E) {
        return E.Route == Route && E.Service == Service;
      });
  if (Known != Entries_.end()) {
    Known->RemovedAt = std::max(Known->RemovedAt, RemovedAt);
    return;
  }
  if (Entries_.size() >= MaxEntries) {
    onGap(RemovedAt);
    return;
  }
  Entries_.push_back({Route, Service, RemovedAt});
}

void RouteHistory::onChange(const RouteMap &Before, const RouteMap &After,
                            TimePoint Now) {
  if (!CompleteSince_)
    CompleteSince_ = Now;
  expire(Now);
  for (const auto &[Address, Old] : Before) {
    const auto New = After.find(Address);
    // The flows of a dropped route end with it.
    if (New == After.end())
      continue;
    for (const WeightedService &S : Old.Services)
      if (!New->second.names(S.Name))
        add(Address, S.Name, Now);
  }
}

void RouteHistory::merge(const RouteHistoryState &Peer, TimePoint Now) {
  for (const FormerService &F : Peer.Former)
    add(F.Route, F.Service, Now - F.Age);
  if (!Peer.Span)
    return;
  const TimePoint PeerSince = Now - std::min(*Peer.Span, MaxFlowAge_);
  CompleteSince_ = std::min(CompleteSince_.value_or(PeerSince), PeerSince);
}

void RouteHistory::mergeOlder(const RouteHistoryState &Peer,
                              const RouteMap &PeerRoutes,
                              const RouteMap &Routes, TimePoint Now) {
  merge({std::nullopt, Peer.Former}, Now);
  onChange(PeerRoutes, Routes, Now);
}

std::vector<std::string> RouteHistory::formerServices(Endpoint Route,
                                                      TimePoint Now) const {
  std::vector<std::string> Result;
  for (const Entry &E : Entries_)
    if (E.Route == Route && Now - E.RemovedAt <= MaxFlowAge_)
      Result.push_back(E.Service);
  return Result;
}

RouteHistoryState RouteHistory::state(TimePoint Now) const {
  RouteHistoryState State;
  if (CompleteSince_)
    State.Span = std::min<Duration>(Now - *CompleteSince_, MaxFlowAge_);
  for (const Entry &E : Entries_)
    State.Former.push_back({E.Route, E.Service, Now - E.RemovedAt});
  return State;
}

void RouteHistory::expire(TimePoint Now) {
  std::erase_if(Entries_, [&](const Entry &E) {
    return Now - E.RemovedAt > MaxFlowAge_;
  });
}

} // namespace dragonflystall::opaque
