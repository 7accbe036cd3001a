// Implements the faults and schedules their ends.
#include "soak/faults.h"

#include "platform/oddentries.h"

#include <csignal>

namespace dragonflystall::soak {

namespace {

constexpr Duration CheckInterval = 100ms;
/// Faults before this one are drawn at random.
constexpr auto RandomFaults = static_cast<size_t>(Fault::ChangeServices);
constexpr Duration ServiceChangeInterval = 2500ms;
constexpr Duration RestoreInterval = 6s;
constexpr Duration CopyInterval = 1s;
/// The store comes back from one of this number of copies.
constexpr size_t MaxCopies = 8;
/// The zone that Fault::Evacuate evacuates.
const std::string EvacuatedZone = "zone-1";
constexpr Duration OddEntryInterval = 1500ms;
/// Serializable reads "may be seconds old".
constexpr Duration ReadAge = 5s;
/// From the last random fault until its end, and until all count as stable.
constexpr Duration CalmAfter = 12s;
/// Times since the reads became outdated: two drops of a route, the second one
/// after a restart of all balancers.
constexpr Duration FirstDrop = 1s;
constexpr Duration BalancerRestarts = 7s;
constexpr Duration BalancerDowntime = 300ms;
/// From the moment when upstreams become cold until their zone returns.
constexpr Duration ColdBeforeReturn = 1200ms;
/// Shorter than a heartbeat interval: the restarted agent mostly hears its
/// upstream when that is cold already.
constexpr Duration AgentStartBeforeCold = 100ms;
constexpr Duration AgentDowntime = 300ms;
/// From the zone's return until a balancer restarts. The agent has heard two
/// heartbeats by then.
constexpr Duration LookupAfterReturn = 800ms;
/// Draws of agents that restart with the balancers, so that no process knows
/// the flows of their upstreams. Among the random faults this shows little:
/// balancers reset no flow for 5 s after each restore of the store.
constexpr size_t AgentRestarts = 4;
constexpr Duration SecondDrop = 11s;
constexpr Duration DropLength = 5s;
/// Evacuations have ended by then.
constexpr Duration SurgeStart = 11s;
/// After the shortage.
constexpr Duration PowerLossStart = 19s;
constexpr Duration OutdatedReadsLength = 17s;

} // namespace

void Faults::plan(TimePoint From, TimePoint Until, Duration MeanInterval) {
  std::exponential_distribution<> Interval(1.0 / MeanInterval.count());
  for (TimePoint At = From + Duration(static_cast<int64_t>(Interval(Rng_)));
       At < Until; At += Duration(static_cast<int64_t>(Interval(Rng_)))) {
    const auto Kind = static_cast<Fault>(Rng_() % RandomFaults);
    Events_.emplace(At, [this, Kind] { inject(Kind); });
  }
  for (TimePoint At = From; At < Until; At += ServiceChangeInterval)
    Events_.emplace(At, [this] { inject(Fault::ChangeServices); });
  for (TimePoint At = From; At < Until; At += CopyInterval)
    Events_.emplace(At, [this] { copyStore(); });
  for (TimePoint At = From + RestoreInterval / 2; At < Until;
       At += RestoreInterval)
    Events_.emplace(At, [this] { inject(Fault::StoreRestored); });
  for (TimePoint At = From; At < Until; At += OddEntryInterval)
    Events_.emplace(At, [this] { writeOddEntry(); });
  planSlowUpstreams(From, Until);
  planOutdatedReads(Until + CalmAfter);
}

void Faults::planOutdatedReads(TimePoint From) {
  Events_.emplace(From, [this] {
    record(Fault::StaleReads, "store");
    Fleet_.Store->setStaleReads(ReadAge);
  });
  for (const Duration Drop : {FirstDrop, SecondDrop})
    Events_.emplace(From + Drop, [this] {
      record(Fault::DropRoute, "print");
      dropRoute(DropLength);
    });
  Events_.emplace(From + FirstDrop, [this] { inject(Fault::Evacuate); });
  planShortage(From + SurgeStart);
  Events_.emplace(From + PowerLossStart, [this] { losePower(); });
  Events_.emplace(From + BalancerRestarts, [this] {
    for (Node &Instance : Fleet_.Balancers)
      restart(Instance, SIGTERM, BalancerDowntime);
    for (size_t I = 0; I < AgentRestarts; ++I) {
      Host &Target = Fleet_.Hosts[LoadRng_() % Fleet_.Hosts.size()];
      if (Target.Checked.Zone != EvacuatedZone)
        restart(Target.Agent, SIGKILL, BalancerDowntime);
    }
  });
  Events_.emplace(From + OutdatedReadsLength,
                  [this] { Fleet_.Store->setStaleReads({}); });
}

void Faults::writeOddEntry() {
  using platform::ObjectKind;
  constexpr std::array Kinds = {ObjectKind::Agent, ObjectKind::Manifest,
                                ObjectKind::Evacuation};
  const std::vector<platform::OddEntry> Entries = platform::oddEntries();
  const platform::OddEntry &Odd = Entries[WriterRng_() % Entries.size()];
  const ObjectKind Kind = Kinds[WriterRng_() % Kinds.size()];
  const std::string Name = "odd " + Odd.Name;
  record(Fault::OddEntry, Name);
  Fleet_.Store->put(Kind, Name, Odd.Text);
  schedule(randomDuration(1s, 6s, WriterRng_),
           [this, Kind, Name] { Fleet_.Store->remove(Kind, Name); });
}

void Faults::tick(TimePoint Now) {
  while (!Events_.empty() && Events_.begin()->first <= Now) {
    const Action Callback = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    Callback();
  }
}

void Faults::schedule(Duration Delay, Action Callback) {
  Events_.emplace(Shared_.now() + Delay, std::move(Callback));
}

void Faults::record(Fault Kind, const std::string &Target) {
  ++Counts_[std::string(name(Kind))];
  Shared_.log(LogClass::State, "fault")
      .text("what", name(Kind))
      .text("whom", Target);
}

Host *Faults::randomAvailableHost() {
  Host &Target = pick(Fleet_.Hosts);
  const bool Available = Target.Upstream->alive() &&
                         !Target.Upstream->draining() &&
                         Target.Agent.ShouldRun && !Target.Agent.Paused;
  return Available ? &Target : nullptr;
}

void Faults::restartLater(Node &Instance, Duration Delay) {
  schedule(Delay, [this, &Instance] {
    if (Instance.Process.isRunning())
      // The old process has not ended yet.
      return restartLater(Instance, CheckInterval);
    Fleet_.start(Instance);
  });
}

void Faults::restart(Node &Instance, int Signal, Duration Downtime) {
  if (!Instance.ShouldRun)
    return;
  Fleet_.stop(Instance, Signal);
  restartLater(Instance, Downtime);
}

void Faults::pause(Node &Instance, Duration Length) {
  if (!Instance.ShouldRun || Instance.Paused)
    return;
  Fleet_.pause(Instance);
  Fleet_.markDisturbed(Instance, Shared_.now() + Length);
  schedule(Length, [this, &Instance] {
    if (Instance.ShouldRun)
      Fleet_.resume(Instance);
  });
}

void Faults::killAll() {
  for (Host &Target : Fleet_.Hosts)
    restart(Target.Agent, SIGKILL, 1s);
  for (Node &Instance : Fleet_.Balancers)
    restart(Instance, SIGKILL, 1s);
}

void Faults::impairStore(const StoreFaults &Impairment, Duration Length) {
  Fleet_.Checker.disturbStore(Shared_.now() + Length);
  Fleet_.Store->setFaults(Impairment);
  schedule(Length, [this] {
    Fleet_.Store->setFaults({});
    Fleet_.Checker.disturbStore(Shared_.now());
  });
}

void Faults::copyStore() {
  Copies_.push_back(Fleet_.Store->copy());
  if (Copies_.size() > MaxCopies)
    Copies_.pop_front();
}

void Faults::restoreStore() {
  const Duration Downtime = randomDuration(50ms, 2s, RestoreRng_);
  const Duration RewriteDelay = randomDuration(0ms, 1500ms, RestoreRng_);
  const Store::Copy Copy = Copies_[RestoreRng_() % Copies_.size()];
  Fleet_.Checker.disturbStore(Shared_.now() + Downtime + RewriteDelay);
  Fleet_.Store->setFaults({.Down = true});
  schedule(Downtime, [this, Copy] {
    Fleet_.Store->restore(Copy);
    Fleet_.Store->setFaults({});
    Copies_ = {Copy};
  });
  schedule(Downtime + RewriteDelay, [this] { writeAgain(); });
}

void Faults::writeAgain() {
  using platform::ObjectKind;
  Fleet_.writeManifest();
  if (IsEvacuated_)
    Fleet_.Store->put(ObjectKind::Evacuation, EvacuatedZone, "{}");
  else
    Fleet_.Store->remove(ObjectKind::Evacuation, EvacuatedZone);
}

void Faults::impairRelay(Relay &Target, Duration Length) {
  Target.setMode(
      static_cast<RelayMode>(1 + Rng_() % (RelayModeNames.size() - 1)));
  schedule(Length, [&Target] { Target.setMode(RelayMode::Pass); });
}

void Faults::leaveWhenDrained(Host &Target, Action OnLeft) {
  schedule(CheckInterval, [this, &Target, OnLeft = std::move(OnLeft)] {
    if (!Target.Upstream->drained(Shared_.now()))
      return leaveWhenDrained(Target, OnLeft);
    Target.Upstream->leave();
    OnLeft();
  });
}

void Faults::release(Host &Target) {
  Target.Upstream->drain();
  leaveWhenDrained(Target, [this, &Target] {
    schedule(500ms, [this, &Target] {
      Target.Upstream->start(Fleet_.newUpstreamId(), Upstream::ColdLength);
    });
  });
}

void Faults::reuse(Host &Target) {
  const auto ReassignAddress = [this, &Target] {
    Target.Checked.Stability.disturbUntil(Shared_.now());
    Fleet_.stop(Target.Agent, SIGTERM);
    schedule(Target.Agent.Settings.AddressReuseAfter, [this, &Target] {
      Fleet_.stop(Target.Agent, SIGKILL);
      schedule(CheckInterval, [this, &Target] { Fleet_.reuse(Target); });
    });
  };
  if (Rng_() % 2) {
    Target.Upstream->drain();
    leaveWhenDrained(Target, ReassignAddress);
  } else {
    Target.Upstream->crash();
    ReassignAddress();
  }
}

void Faults::evacuate() {
  using platform::ObjectKind;
  if (IsEvacuated_)
    return;
  IsEvacuated_ = true;
  Fleet_.Store->put(ObjectKind::Evacuation, EvacuatedZone, "{}");
  Fleet_.Checker.onEvacuation(EvacuatedZone, Shared_.now());
  const Duration Length = randomDuration(6s, 10s);
  returnCold(Shared_.now() + Length);
  schedule(Length, [this] {
    // The checker is notified first: flows may open in the zone from now on.
    Fleet_.Checker.onEvacuationEnd(EvacuatedZone);
    IsEvacuated_ = false;
    Fleet_.Store->remove(ObjectKind::Evacuation, EvacuatedZone);
  });
}

void Faults::returnCold(TimePoint EvacuationEnd) {
  const TimePoint ColdAt = EvacuationEnd - ColdBeforeReturn;
  Events_.emplace(ColdAt, [this] {
    for (Host &Target : Fleet_.Hosts)
      if (Target.Checked.Zone == EvacuatedZone && Target.Upstream->alive())
        Target.Upstream->becomeCold(Upstream::ColdLength);
  });
  Events_.emplace(ColdAt - AgentStartBeforeCold - AgentDowntime, [this] {
    std::vector<Host *> OfZone;
    for (Host &Target : Fleet_.Hosts)
      if (Target.Checked.Zone == EvacuatedZone)
        OfZone.push_back(&Target);
    if (OfZone.empty())
      return;
    Host &Target = *OfZone[ReturnRng_() % OfZone.size()];
    record(Fault::ReturnCold, Target.Checked.Name);
    restart(Target.Agent, SIGKILL, AgentDowntime);
  });
  Events_.emplace(EvacuationEnd + LookupAfterReturn, [this] {
    Node &Instance = Fleet_.Balancers[ReturnRng_() % Fleet_.Balancers.size()];
    restart(Instance, SIGTERM, BalancerDowntime);
  });
}

void Faults::dropRoute(Duration Length) {
  const auto Node = Fleet_.Manifest.Routes.extract(PrintRoute);
  if (Node.empty())
    return;
  const opaque::Route Route = Node.mapped();
  Fleet_.publish();
  schedule(Length, [this, Route] {
    Fleet_.Manifest.Routes[PrintRoute] = Route;
    Fleet_.publish();
  });
}

void Faults::changeServices() {
  const double Weight = ServiceRng_() % 100;
  std::vector<opaque::WeightedService> Services = {{"desk", 100 - Weight}};
  if (chance(ServiceRng_, 0.7))
    Services.push_back({"print", Weight});
  if (chance(ServiceRng_, 0.2))
    Services = {{"print", 1}};
  Fleet_.setDeskServices(Services);
}

void Faults::inject(Fault Kind) {
  Node &Balancer = randomBalancer();
  Host *Target = randomAvailableHost();
  const Duration Length = randomDuration(500ms, 5s);
  switch (Kind) {
  case Fault::KillBalancer:
  case Fault::StopBalancer:
    if (!Balancer.ShouldRun)
      return;
    restart(Balancer, Kind == Fault::KillBalancer ? SIGKILL : SIGTERM,
            Length / 2);
    return record(Kind, Balancer.Settings.Name);
  case Fault::PauseBalancer:
    pause(Balancer, Length);
    return record(Kind, Balancer.Settings.Name);
  case Fault::KillAll:
    killAll();
    return record(Kind, "all");
  case Fault::StoreDown:
    impairStore({.Down = true}, Length);
    return record(Kind, "store");
  case Fault::StoreSlow:
    impairStore({.Delay = 200ms}, Length);
    return record(Kind, "store");
  case Fault::StoreLosesAnswers:
    impairStore({.LostAnswers = 0.5}, Length);
    return record(Kind, "store");
  case Fault::StoreForgets:
    Fleet_.Checker.disturbStore(Shared_.now());
    Fleet_.Store->deleteHistory();
    return record(Kind, "store");
  case Fault::Evacuate:
    evacuate();
    return record(Kind, EvacuatedZone);
  case Fault::DropRoute:
    dropRoute(randomDuration(2s, 6s));
    return record(Kind, "print");
  case Fault::ChangeServices:
    changeServices();
    return record(Kind, "desk");
  case Fault::StoreRestored:
    restoreStore();
    return record(Kind, "store");
  case Fault::BadPaths:
    Fleet_.Callers->Path = {0.05, 0.02, 20ms};
    schedule(Length, [this] { Fleet_.Callers->Path = {}; });
    return record(Kind, "callers");
  default:
    break;
  }
  if (!Target)
    return;
  record(Kind, Target->Agent.Settings.Name);
  switch (Kind) {
  case Fault::KillAgent:
  case Fault::StopAgent:
    return restart(Target->Agent, Kind == Fault::KillAgent ? SIGKILL : SIGTERM,
                   Length / 2);
  case Fault::PauseAgent:
    return pause(Target->Agent, Length);
  case Fault::Reload:
    return Target->Agent.Process.signal(SIGHUP);
  case Fault::StoreCut:
    Fleet_.markDisturbed(Target->Agent, Shared_.now() + Length);
    Fleet_.markDisturbed(Balancer, Shared_.now() + Length);
    impairRelay(*Balancer.StoreRelay, Length);
    return impairRelay(*Target->Agent.StoreRelay, Length);
  case Fault::HeartbeatCut:
    Fleet_.markDisturbed(Target->Agent, Shared_.now() + Length);
    return impairRelay(*Target->HeartbeatRelay, Length);
  case Fault::CrashUpstream:
  case Fault::RestartSameId:
    return Fleet_.restartUpstream(*Target, Kind == Fault::CrashUpstream);
  case Fault::Release:
    return release(*Target);
  case Fault::Reuse:
    return reuse(*Target);
  default:
    return;
  }
}

} // namespace dragonflystall::soak
