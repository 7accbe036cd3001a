// What each fault does, and when it ends.
#include "soak/faults.h"

#include <csignal>

namespace dragonflystall::soak {

namespace {

constexpr Duration CheckInterval = 100ms;
/// The zone that is taken out now and then.
const std::string OutZone = "zone-1";

} // namespace

void Faults::plan(TimePoint From, TimePoint Until, Duration MeanApart) {
  std::exponential_distribution<> Apart(1.0 / MeanApart.count());
  for (TimePoint At = From + Duration(static_cast<int64_t>(Apart(Rng_)));
       At < Until; At += Duration(static_cast<int64_t>(Apart(Rng_)))) {
    const auto What = static_cast<Fault>(Rng_() % FaultNames.size());
    Events_.emplace(At, [this, What] { begin(What); });
  }
}

void Faults::tick(TimePoint Now) {
  while (!Events_.empty() && Events_.begin()->first <= Now) {
    const Action What = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    What();
  }
}

void Faults::later(Duration After, Action What) {
  Events_.emplace(Shared_.now() + After, std::move(What));
}

void Faults::note(Fault What, const std::string &Whom) {
  ++Counts_[std::string(name(What))];
  Shared_.log(LogClass::State, "fault")
      .text("what", name(What))
      .text("whom", Whom);
}

Host *Faults::settledHost() {
  Host &H = pick(All_.Hosts);
  const bool Settled = H.Upstream->alive() && !H.Upstream->draining() &&
                       H.Agent.ShouldRun && !H.Agent.Paused;
  return Settled ? &H : nullptr;
}

void Faults::restartLater(Node &N, Duration After) {
  later(After, [this, &N] {
    if (N.Process.running())
      return restartLater(N, CheckInterval); // It is still stopping.
    All_.start(N);
  });
}

void Faults::restart(Node &N, int Signal, Duration Down) {
  if (!N.ShouldRun)
    return;
  All_.stop(N, Signal);
  restartLater(N, Down);
}

void Faults::pause(Node &N, Duration Length) {
  if (!N.ShouldRun || N.Paused)
    return;
  All_.pause(N);
  All_.disturb(N, Shared_.now() + Length);
  later(Length, [this, &N] {
    if (N.ShouldRun)
      All_.resume(N);
  });
}

void Faults::killAll() {
  for (Host &H : All_.Hosts)
    restart(H.Agent, SIGKILL, 1s);
  for (Node &N : All_.Balancers)
    restart(N, SIGKILL, 1s);
}

void Faults::store(const StoreFaults &Bad, Duration Length) {
  All_.Rules.disturbStore(Shared_.now() + Length);
  All_.Store->setFaults(Bad);
  later(Length, [this] {
    All_.Store->setFaults({});
    All_.Rules.disturbStore(Shared_.now());
  });
}

void Faults::cut(Relay &Way, Duration Length) {
  Way.setMode(static_cast<RelayMode>(1 + Rng_() % (RelayModeNames.size() - 1)));
  later(Length, [&Way] { Way.setMode(RelayMode::Pass); });
}

void Faults::leaveWhenDrained(Host &H, Action Then) {
  later(CheckInterval, [this, &H, Then = std::move(Then)] {
    if (!H.Upstream->drained(Shared_.now()))
      return leaveWhenDrained(H, Then);
    H.Upstream->leave();
    Then();
  });
}

void Faults::release(Host &H) {
  H.Upstream->drain();
  leaveWhenDrained(H, [this, &H] {
    later(500ms, [this, &H] {
      H.Upstream->start(All_.freshId(), Upstream::ColdLength);
    });
  });
}

void Faults::reuse(Host &H) {
  const auto GiveAway = [this, &H] {
    H.Judged.Contact.disturbUntil(Shared_.now());
    All_.stop(H.Agent, SIGTERM);
    later(H.Agent.Settings.AddressReuseAfter, [this, &H] {
      All_.stop(H.Agent, SIGKILL);
      later(CheckInterval, [this, &H] { All_.reuse(H); });
    });
  };
  if (Rng_() % 2) {
    H.Upstream->drain();
    leaveWhenDrained(H, GiveAway);
  } else {
    H.Upstream->crash();
    GiveAway();
  }
}

void Faults::evacuate() {
  using platform::ObjectKind;
  if (!All_.Store->names(ObjectKind::Evacuation).empty())
    return;
  All_.Store->put(ObjectKind::Evacuation, OutZone, "{}");
  All_.Rules.onEvacuation(OutZone, Shared_.now());
  later(between(6s, 10s), [this] {
    // The judge stops first: what opens from now on may be right.
    All_.Rules.onReturn(OutZone);
    All_.Store->remove(ObjectKind::Evacuation, OutZone);
  });
}

void Faults::dropRoute() {
  const auto Node = All_.Manifest.Routes.extract(PrintRoute);
  if (Node.empty())
    return;
  const opaque::Route Route = Node.mapped();
  All_.publish();
  later(between(2s, 6s), [this, Route] {
    All_.Manifest.Routes[PrintRoute] = Route;
    All_.publish();
  });
}

void Faults::begin(Fault What) {
  Node &Front = balancer();
  Host *H = settledHost();
  const Duration Length = between(500ms, 5s);
  switch (What) {
  case Fault::KillBalancer:
  case Fault::StopBalancer:
    if (!Front.ShouldRun)
      return;
    restart(Front, What == Fault::KillBalancer ? SIGKILL : SIGTERM, Length / 2);
    return note(What, Front.Settings.Name);
  case Fault::PauseBalancer:
    pause(Front, Length);
    return note(What, Front.Settings.Name);
  case Fault::KillAll:
    killAll();
    return note(What, "all");
  case Fault::StoreDown:
    store({.Down = true}, Length);
    return note(What, "store");
  case Fault::StoreSlow:
    store({.Delay = 200ms}, Length);
    return note(What, "store");
  case Fault::StoreLosesAnswers:
    store({.LostAnswers = 0.5}, Length);
    return note(What, "store");
  case Fault::StoreForgets:
    All_.Rules.disturbStore(Shared_.now());
    All_.Store->forgetHistory();
    return note(What, "store");
  case Fault::Evacuate:
    evacuate();
    return note(What, OutZone);
  case Fault::DropRoute:
    dropRoute();
    return note(What, "print");
  case Fault::BadPaths:
    All_.Callers->Path = {0.05, 0.02, 20ms};
    later(Length, [this] { All_.Callers->Path = {}; });
    return note(What, "callers");
  default:
    break;
  }
  if (!H)
    return;
  note(What, H->Agent.Settings.Name);
  switch (What) {
  case Fault::KillAgent:
  case Fault::StopAgent:
    return restart(H->Agent, What == Fault::KillAgent ? SIGKILL : SIGTERM,
                   Length / 2);
  case Fault::PauseAgent:
    return pause(H->Agent, Length);
  case Fault::Reload:
    return H->Agent.Process.signal(SIGHUP);
  case Fault::StoreCut:
    All_.disturb(H->Agent, Shared_.now() + Length);
    All_.disturb(Front, Shared_.now() + Length);
    cut(*Front.ToStore, Length);
    return cut(*H->Agent.ToStore, Length);
  case Fault::HeartbeatCut:
    All_.disturb(H->Agent, Shared_.now() + Length);
    return cut(*H->Heartbeats, Length);
  case Fault::CrashUpstream:
  case Fault::RestartSameId:
    return All_.restartUpstream(*H, What == Fault::CrashUpstream);
  case Fault::Release:
    return release(*H);
  case Fault::Reuse:
    return reuse(*H);
  default:
    return;
  }
}

} // namespace dragonflystall::soak
