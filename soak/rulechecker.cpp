// Implements the checks of the users' rules.
#include "soak/rulechecker.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace dragonflystall::soak {

namespace {

constexpr Duration ColdWindow = 1s;
/// Number of consecutive misdelivered packets from which on they are a
/// violation.
constexpr size_t MinMisdelivered = 3;

} // namespace

void RuleChecker::reportViolation(TimePoint Now, const std::string &Text) {
  Violations_.push_back(
      fmt::format("{:.3f} s: {}",
                  std::chrono::duration<double>(Now - Start_).count(), Text));
}

void RuleChecker::onManifest(const opaque::Manifest &Manifest, TimePoint Now) {
  for (const auto &[Address, Route] : Manifest_.Routes)
    if (!Manifest.routeAt(Address)) {
      RemovedRoutes_[Address] = Now;
      std::erase_if(OpenFlows_, [Address = Address](const auto &Entry) {
        return Entry.first.Route == Address;
      });
    }
  for (const auto &[Address, Route] : Manifest.Routes) {
    RemovedRoutes_.erase(Address);
    for (const opaque::WeightedService &S : Route.Services)
      RouteServices_[Address].insert(S.Name);
  }
  Manifest_ = Manifest;
}

void RuleChecker::onEvacuation(const std::string &Zone, TimePoint Now) {
  EvacuatedZones_[Zone] = Now;
}

void RuleChecker::checkRoute(const CheckedHost &Host,
                             const opaque::FlowId &Flow, TimePoint Now) {
  const auto Service = RouteServices_.find(Flow.Route);
  if (Service == RouteServices_.end() || !Service->second.count(Host.Service))
    reportViolation(Now, fmt::format("flow {} opens at {}, which serves {}",
                                     toString(Flow), Host.Name, Host.Service));
}

void RuleChecker::onSyn(CheckedHost &Host, const opaque::FlowId &Flow,
                        TimePoint Now) {
  checkRoute(Host, Flow, Now);
  const bool IsStable = Host.Stability.isStable(Now) && Store_.isStable(Now);
  const auto Removal = RemovedRoutes_.find(Flow.Route);
  if (IsStable && Removal != RemovedRoutes_.end() &&
      Now - Removal->second > RouteRemovalTime)
    reportViolation(
        Now, fmt::format("flow {} opens at {} after its route was removed",
                         toString(Flow), Host.Name));
  const auto Evacuation = EvacuatedZones_.find(Host.Zone);
  if (IsStable && Evacuation != EvacuatedZones_.end() &&
      Now - Evacuation->second > EvacuationTime)
    reportViolation(
        Now, fmt::format("flow {} opens at {} after its zone was evacuated",
                         toString(Flow), Host.Name));
  if (Host.DrainAcknowledged != TimePoint{} &&
      Now - Host.DrainAcknowledged > DrainTime)
    reportViolation(Now, fmt::format("flow {} opens at {}, which is draining",
                                     toString(Flow), Host.Name));
  Host.RecentSyns.push_back(Now);
  while (Now - Host.RecentSyns.front() >= ColdWindow)
    Host.RecentSyns.pop_front();
  const double MaxOpenings = ColdFlowsPerSecond * ColdFactor + ColdSlack;
  if (Now<Host.ColdUntil &&static_cast<double>(Host.RecentSyns.size())>
          MaxOpenings)
    reportViolation(Now,
                    fmt::format("{} is cold and gets {} new flows in a second",
                                Host.Name, Host.RecentSyns.size()));
}

void RuleChecker::onEstablished(CheckedHost &Host, const opaque::FlowId &Flow) {
  if (!RemovedRoutes_.count(Flow.Route))
    OpenFlows_.try_emplace(Flow, OpenFlow{&Host, {}});
}

void RuleChecker::onCrash(const CheckedHost &Host) {
  std::erase_if(OpenFlows_, [&Host](const auto &Entry) {
    return Entry.second.Holder == &Host;
  });
}

bool RuleChecker::isBalancerStable(const opaque::FlowId &Flow,
                                   TimePoint Now) const {
  const auto It = BalancerStability_.find(Flow);
  return It != BalancerStability_.end() && It->second->isStable(Now);
}

void RuleChecker::onPacket(const CheckedHost &Host, const opaque::FlowId &Flow,
                           TimePoint Now) {
  const auto It = OpenFlows_.find(Flow);
  if (It == OpenFlows_.end())
    return;
  OpenFlow &Found = It->second;
  if (Found.Holder == &Host)
    return Found.Misdelivered.clear();
  Found.Misdelivered.push_back(Now);
  if (Found.Misdelivered.size() >= MinMisdelivered &&
      Now - Found.Misdelivered.front() >= FlowRepairTime &&
      isBalancerStable(Flow, Now) && Host.Stability.isStable(Now) &&
      Found.Holder->Stability.isStable(Now))
    reportViolation(Now,
                    fmt::format("packets of flow {} reach {} instead of {}",
                                toString(Flow), Host.Name, Found.Holder->Name));
}

void RuleChecker::onShortage(const ServedShare &Urgent,
                             const ServedShare &Other, TimePoint Now) {
  const auto AskedUrgent = static_cast<double>(Urgent.Asked);
  const auto AskedOther = static_cast<double>(Other.Asked);
  const double Mean = static_cast<double>(Urgent.Served + Other.Served) /
                      std::max(1.0, AskedUrgent + AskedOther);
  const double Variance =
      Mean * (1 - Mean) *
      (1 / std::max(1.0, AskedUrgent) + 1 / std::max(1.0, AskedOther));
  Shortage_ =
      fmt::format("{} of {} urgent requests and {} of {} others are answered",
                  Urgent.Served, Urgent.Asked, Other.Served, Other.Asked);
  if (Urgent.Asked == 0 || Other.value() > MaxShareInShortage)
    reportViolation(Now, "the shortage is too small to check: " + Shortage_);
  if (Urgent.value() < Other.value() - ChanceMargin * std::sqrt(Variance))
    reportViolation(Now, "urgent requests are served worse: " + Shortage_);
}

void RuleChecker::onRecovery(std::string_view Faults, const ServedShare &All,
                             TimePoint Now) {
  const auto Asked = static_cast<double>(All.Asked);
  if (static_cast<double>(All.Served) < MinAnsweredShare * Asked + 1)
    reportViolation(Now, fmt::format("only {} of {} requests are answered {}",
                                     All.Served, All.Asked, Faults));
}

void RuleChecker::onReset(const opaque::FlowId &Flow, TimePoint Now) {
  const auto It = OpenFlows_.find(Flow);
  if (It == OpenFlows_.end())
    return;
  reportViolation(Now, fmt::format("flow {} is reset while {} holds it",
                                   toString(Flow), It->second.Holder->Name));
  OpenFlows_.erase(It);
}

} // namespace dragonflystall::soak
