// The users' rules.
#include "soak/judge.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace dragonflystall::soak {

namespace {

constexpr Duration ColdWindow = 1s;
constexpr size_t MostAstray = 3;

} // namespace

void Judge::fail(TimePoint Now, const std::string &What) {
  Broken_.push_back(
      fmt::format("{:.3f} s: {}",
                  std::chrono::duration<double>(Now - Start_).count(), What));
}

void Judge::onManifest(const opaque::Manifest &Manifest, TimePoint Now) {
  for (const auto &[Address, Route] : Manifest_.Routes)
    if (!Manifest.routeAt(Address)) {
      Dropped_[Address] = Now;
      std::erase_if(Open_, [Address = Address](const auto &Entry) {
        return Entry.first.Route == Address;
      });
    }
  for (const auto &[Address, Route] : Manifest.Routes) {
    Dropped_.erase(Address);
    Services_[Address] = Route.Service;
  }
  Manifest_ = Manifest;
}

void Judge::onEvacuation(const std::string &Zone, TimePoint Now) {
  Evacuated_[Zone] = Now;
}

void Judge::checkRoute(const JudgedHost &At, const opaque::FlowId &Flow,
                       TimePoint Now) {
  const auto Service = Services_.find(Flow.Route);
  if (Service == Services_.end() || Service->second != At.Service)
    fail(Now, fmt::format("{} opens at {}, which serves {}", toString(Flow),
                          At.Name, At.Service));
}

void Judge::onOpening(JudgedHost &At, const opaque::FlowId &Flow,
                      TimePoint Now) {
  checkRoute(At, Flow, Now);
  const bool InTouch = At.Contact.calm(Now) && Store_.calm(Now);
  const auto Dropped = Dropped_.find(Flow.Route);
  if (InTouch && Dropped != Dropped_.end() &&
      Now - Dropped->second > ConfigTime)
    fail(Now, fmt::format("{} opens at {} though its route is gone",
                          toString(Flow), At.Name));
  const auto Out = Evacuated_.find(At.Zone);
  if (InTouch && Out != Evacuated_.end() && Now - Out->second > EvacuationTime)
    fail(Now, fmt::format("{} opens at {} though its zone is out",
                          toString(Flow), At.Name));
  if (At.DrainAcknowledged != TimePoint{} &&
      Now - At.DrainAcknowledged > DrainTime)
    fail(Now,
         fmt::format("{} opens at {}, which drains", toString(Flow), At.Name));
  At.Openings.push_back(Now);
  while (Now - At.Openings.front() >= ColdWindow)
    At.Openings.pop_front();
  const double Bears = ColdPerSecond * ColdFactor + ColdSlack;
  if (Now<At.ColdUntil &&static_cast<double>(At.Openings.size())> Bears)
    fail(Now, fmt::format("{} is cold and gets {} flows in a second", At.Name,
                          At.Openings.size()));
}

void Judge::onOpen(JudgedHost &At, const opaque::FlowId &Flow) {
  if (!Dropped_.count(Flow.Route))
    Open_.try_emplace(Flow, OpenFlow{&At, {}});
}

void Judge::onCrash(const JudgedHost &At) {
  std::erase_if(
      Open_, [&At](const auto &Entry) { return Entry.second.Holder == &At; });
}

bool Judge::frontCalm(const opaque::FlowId &Flow, TimePoint Now) const {
  const auto It = Fronts_.find(Flow);
  return It != Fronts_.end() && It->second->calm(Now);
}

void Judge::onPacket(const JudgedHost &At, const opaque::FlowId &Flow,
                     TimePoint Now) {
  const auto It = Open_.find(Flow);
  if (It == Open_.end())
    return;
  OpenFlow &F = It->second;
  if (F.Holder == &At)
    return F.Astray.clear();
  F.Astray.push_back(Now);
  if (F.Astray.size() >= MostAstray && Now - F.Astray.front() >= FlowTime &&
      frontCalm(Flow, Now) && At.Contact.calm(Now) &&
      F.Holder->Contact.calm(Now))
    fail(Now, fmt::format("packets of {} reach {}, not {}", toString(Flow),
                          At.Name, F.Holder->Name));
}

void Judge::onReset(const opaque::FlowId &Flow, TimePoint Now) {
  const auto It = Open_.find(Flow);
  if (It != Open_.end() && It->second.Holder->Contact.calm(Now))
    fail(Now, fmt::format("{} is reset while {} holds it", toString(Flow),
                          It->second.Holder->Name));
  if (It != Open_.end())
    Open_.erase(It);
}

} // namespace dragonflystall::soak
