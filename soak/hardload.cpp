// Faults that make a service short of capacity: slow upstreams, upstreams with
// few slots, more callers than they can serve, and a loss of all power.
#include "soak/faults.h"

#include <algorithm>
#include <csignal>

namespace dragonflystall::soak {

namespace {

constexpr uint32_t FewSlots = 1;
/// Callers of the surge for each upstream of the service. With about a request
/// a second each, they ask 1.5 times the 40 requests a second that an upstream
/// with one slot answers.
constexpr size_t LongFlows = 50;
constexpr size_t UrgentCallers = 10;
/// From the first callers of the surge until the shortage: the flows open while
/// there are slots for them.
constexpr Duration OpeningTime = 2s;
/// Times since the shortage began.
constexpr Duration MeasuredFrom = 1500ms;
constexpr Duration MeasuredUntil = 4s;
/// The requests that were measured have ended.
constexpr Duration ShortageLength = 5500ms;

/// Longer than agents and balancers take to learn of a manifest.
constexpr Duration ServiceChangeLead = 6s;
constexpr Duration SlowInterval = 2s;
constexpr Duration MinPowerLoss = 500ms;
constexpr Duration MaxPowerLoss = 1500ms;

} // namespace

void Faults::planSlowUpstreams(TimePoint From, TimePoint Until) {
  for (TimePoint At = From; At < Until; At += SlowInterval)
    Events_.emplace(At, [this] {
      const Host &Target = Fleet_.Hosts[LoadRng_() % Fleet_.Hosts.size()];
      record(Fault::SlowUpstream, Target.Checked.Name);
      Target.Upstream->slowDown(Shared_.now() +
                                randomDuration(1s, 5s, LoadRng_));
    });
}

void Faults::planShortage(TimePoint From) {
  // Both routes must have the same service before the shortage begins.
  Events_.emplace(From - ServiceChangeLead, [this] {
    Fleet_.setDeskServices({{"desk", 1}});
  });
  Events_.emplace(From, [this] { beginSurge(); });
  Events_.emplace(From + OpeningTime, [this] { beginShortage(); });
  Events_.emplace(From + OpeningTime + ShortageLength,
                  [this] { endShortage(); });
}

void Faults::losePower() {
  record(Fault::PowerLoss, "all");
  const Node &LostBalancer =
      Fleet_.Balancers[LoadRng_() % Fleet_.Balancers.size()];
  // Each service keeps an upstream.
  std::map<std::string, std::vector<const Host *>> Services;
  for (const Host &Target : Fleet_.Hosts)
    Services[Target.Checked.Service].push_back(&Target);
  const auto &Largest =
      std::max_element(Services.begin(), Services.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.size() < B.second.size();
                       })
          ->second;
  const Host *LostHost = Largest[LoadRng_() % Largest.size()];
  const auto RandomLength = [this] {
    return randomDuration(MinPowerLoss, MaxPowerLoss, LoadRng_);
  };
  for (Node &Instance : Fleet_.Balancers) {
    Fleet_.stop(Instance, SIGKILL);
    if (&Instance != &LostBalancer)
      restartLater(Instance, RandomLength());
  }
  for (Host &Target : Fleet_.Hosts) {
    Fleet_.stop(Target.Agent, SIGKILL);
    Target.Upstream->crash();
    if (&Target == LostHost)
      continue;
    restartLater(Target.Agent, RandomLength());
    schedule(RandomLength(), [this, &Target] {
      Target.Upstream->start(Fleet_.newUpstreamId(), Upstream::ColdLength);
    });
  }
  schedule(MaxPowerLoss, [this] {
    Fleet_.Callers->measure(Shared_.now() + PowerRecoveryTime,
                            TimePoint::max());
  });
}

void Faults::beginSurge() {
  const size_t Upstreams = std::count_if(
      Fleet_.Hosts.begin(), Fleet_.Hosts.end(),
      [](const Host &Target) { return Target.Checked.Service == "desk"; });
  Fleet_.Callers->addSurge(DeskClass, LongFlows * Upstreams);
  Fleet_.Callers->addSurge(UrgentClass, UrgentCallers * Upstreams);
}

void Faults::beginShortage() {
  record(Fault::Shortage, "desk");
  for (Host &Target : Fleet_.Hosts)
    if (Target.Checked.Service == "desk")
      Target.Upstream->setSlots(FewSlots);
  const TimePoint Now = Shared_.now();
  Fleet_.Hosts[LoadRng_() % Fleet_.Hosts.size()].Upstream->slowDown(
      Now + ShortageLength);
  Fleet_.Callers->measure(Now + MeasuredFrom, Now + MeasuredUntil);
}

void Faults::endShortage() {
  Callers &Load = *Fleet_.Callers;
  Fleet_.Checker.onShortage(Load.measured(UrgentClass).share(),
                            Load.measured(DeskClass).share(), Shared_.now());
  Load.endSurge();
  for (Host &Target : Fleet_.Hosts)
    Target.Upstream->setSlots(Upstream::DefaultSlots);
}

} // namespace dragonflystall::soak
