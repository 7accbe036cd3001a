// A small deployment on loopback for the cases of the review: balancers and
// agents as processes of their own; store, targets and consumers in this one.
//
//   stage SCENARIO --program dragonflystall-node --folder DIR --record FILE
//         [--calm]
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the scenario could
// not run. --calm leaves the disruption out.
#include "ends.h"
#include "proxy.h"
#include "store.h"

#include "platform/standinformats.h"
#include "soak/child.h"

#include <csignal>
#include <cstring>
#include <deque>
#include <event2/event.h>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace review;

namespace {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

constexpr uint16_t PacketPort = 8172;
constexpr uint16_t ReadyPort = 8167;
constexpr uint16_t ControlPort = 8166;
constexpr uint16_t AppPort = 8165;
constexpr uint16_t OutboundPort = 8162;
constexpr uint16_t FirstNodePort = 7720;
constexpr uint16_t StorePort = 8169;

// Addresses of routes: 127.0.7.1, ports 443 and 8443.
constexpr Endpoint DeskRoute = {0x7f000701, 443};
constexpr Endpoint SecondRoute = {0x7f000701, 8443};

// Bounds of the small installations.
constexpr Duration Contact = 4s;
constexpr Duration ConfigApply = 3s;
constexpr Duration Drain = 3s;
/// warmupPerS 1 x warmupFactor 1.5 + warmupSlack 5, in a second.
constexpr size_t MaxColdOpenings = 6;
/// The manifest's warmupS.
constexpr Duration ColdLength = 2s;

constexpr Duration TickInterval = 5ms;

struct Options {
  std::string Scenario;
  std::string Program;
  std::string Folder;
  std::string Record;
  bool Calm = false;
};

struct Machine {
  std::string Role;
  node::Settings Settings;
  soak::Child Process;
};

class Stage {
public:
  explicit Stage(Options Given)
      : Given_(std::move(Given)), Shared_("stage"),
        RecordFile_(Given_.Record, std::ios::trunc),
        Ticker_(Shared_.Base.get(), TickInterval, [this] { tick(); }),
        Begin_(Shared_.now()) {
    chooseNet();
  }

  int run();

private:
  /// The address of a machine: 127.NET.GROUP.INDEX.
  Endpoint at(uint8_t Group, size_t Index, uint16_t Port) const {
    return {127u << 24 | uint32_t{Net_} << 16 | uint32_t{Group} << 8 |
                static_cast<uint32_t>(Index + 1),
            Port};
  }
  void chooseNet();
  void record(const std::string &Line);
  Recorder recorder() {
    return [this](const std::string &Line) { record(Line); };
  }
  Duration elapsed() const { return Shared_.now() - Begin_; }

  void deploy(size_t Balancers, size_t Agents);
  void start(Machine &M);
  /// Planned: sends SIGTERM.
  void stop(Machine &M);
  void writeManifest(const std::vector<Endpoint> &Routes);
  /// Runs the action once, at this time after the beginning.
  void plan(Duration When, std::function<void()> Action) {
    Planned_.emplace(When, std::move(Action));
  }
  /// Sends a request on a new flow every Gap between the times, through the
  /// balancers in turn.
  void planRequests(Duration From, Duration To, Duration Gap, Endpoint Route);
  /// Opens flows that stay open, through the balancers in turn.
  void openLongFlows(Duration From, int Count);
  /// Uses the long flows of the first balancer, through the one with this
  /// index, and judges FLOW: none may be reset while its target holds it.
  void planUseOfFlows(Duration When, size_t Through);
  void finishAt(Duration When, std::function<int()> Judge) {
    plan(When, [this, Judge = std::move(Judge)] {
      Result_ = Judge();
      event_base_loopbreak(Shared_.Base.get());
    });
  }
  void tick();

  void planStuckEntry();
  void planSilentStore();
  void planColdZone();
  void planForeignEntry();
  void planLateHeartbeat();

  Options Given_;
  node::Services Shared_;
  std::ofstream RecordFile_;
  node::Ticker Ticker_;
  TimePoint Begin_;
  uint8_t Net_ = 0;
  std::unique_ptr<Store> Store_;
  std::unique_ptr<Proxy> Proxy_;
  std::deque<Machine> Machines_; ///< Balancers first.
  size_t Balancers_ = 0;
  bool StaleSeeds_ = false; ///< The settings name seeds that are gone.
  std::deque<Target> Targets_;
  std::unique_ptr<Consumers> Consumers_;
  std::multimap<Duration, std::function<void()>> Planned_;
  int64_t Version_ = 0;
  int Result_ = ExitNotRun;
  TimePoint Acknowledged_{};
  std::vector<uint64_t> LongFlows_; ///< The requests that opened them.
  std::vector<uint64_t> Asked_;     ///< Later requests on them.
};

void Stage::record(const std::string &Line) {
  RecordFile_ << fmt::format(
      "{:8.3f} {}\n", std::chrono::duration<double>(elapsed()).count(), Line);
}

void Stage::chooseNet() {
  constexpr int Tries = 100;
  for (int I = 0; I < Tries; ++I) {
    Net_ = static_cast<uint8_t>(100 + (::getpid() + I) % 100);
    try {
      Store_ = std::make_unique<Store>(Shared_, at(4, 0, StorePort));
      return;
    } catch (const std::runtime_error &) {
      // Another run uses these addresses.
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

void Stage::start(Machine &M) {
  const std::string File =
      fmt::format("{}/{}.json", Given_.Folder, M.Settings.Name);
  std::ofstream(File) << platform::encodeSettings(M.Settings, Drain);
  M.Process.start({Given_.Program, M.Role},
                  fmt::format("{}={}", "DRAGONFLYSTALL_SETTINGS", File),
                  fmt::format("{}/{}.log", Given_.Folder, M.Settings.Name));
  record(fmt::format("{} starts", M.Settings.Name));
}

void Stage::stop(Machine &M) {
  record(fmt::format("{} gets SIGTERM", M.Settings.Name));
  M.Process.signal(SIGTERM);
}

void Stage::writeManifest(const std::vector<Endpoint> &Routes) {
  std::string List;
  for (const Endpoint R : Routes)
    List += fmt::format(
        R"({}{{"name":"r{}","host":"{}","pathPrefix":"/{}/","service":"desk",)"
        R"("type":"idempotent","timeoutMs":2000,"aimMs":200,"priority":1}})",
        List.empty() ? "" : ",", R.Port, ipText(R.Ip), R.Port);
  Version_ += 3;
  Store_->put(
      "config", "main",
      fmt::format(R"({{"version":{},"routes":[{}],"services":[{{"name":"desk",)"
                  R"("warmupPerS":1.0,"warmupS":2.0,"healthPath":"/health"}}],)"
                  R"("limits":{{"idleTimeoutMs":15000}}}})",
                  Version_, List));
  Acknowledged_ = Shared_.now();
  record(fmt::format("the store acknowledges manifest {} with {} routes",
                     Version_, Routes.size()));
}

void Stage::deploy(size_t Balancers, size_t Agents) {
  Balancers_ = Balancers;
  const Endpoint Store = at(5, 0, StorePort);
  Proxy_ = std::make_unique<Proxy>(Shared_, Store, at(4, 0, StorePort));
  Consumers_ =
      std::make_unique<Consumers>(Shared_, recorder(), at(3, 0, PacketPort));
  for (size_t I = 0; I < Balancers + Agents; ++I) {
    const bool IsBalancer = I < Balancers;
    const uint8_t Group = IsBalancer ? 1 : 2;
    const size_t Index = IsBalancer ? I : I - Balancers;
    Machine &M = Machines_.emplace_back();
    M.Role = IsBalancer ? "balancer" : "agent";
    M.Settings.Name = fmt::format("{}-{}", M.Role, Index + 1);
    M.Settings.Zone = fmt::format("zone-{}", Index % 3);
    M.Settings.Packets = at(Group, Index, PacketPort);
    M.Settings.Ready = at(Group, Index, ReadyPort);
    M.Settings.Control = at(Group, Index, ControlPort);
    M.Settings.Peers = at(Group, Index, FirstNodePort);
    M.Settings.Store = Store;
    M.Settings.Grace = 6s;
    M.Settings.HeartbeatInterval = Target::HeartbeatInterval;
    M.Settings.ColdFactor = 1.5;
    M.Settings.ColdSlack = 5;
    for (size_t S = 0; S < std::min<size_t>(3, Balancers); ++S)
      M.Settings.Seeds.push_back(at(StaleSeeds_ ? 6 : 1, S, ControlPort));
    if (!IsBalancer) {
      M.Settings.Outbound = at(Group, Index, OutboundPort);
      M.Settings.Upstream = at(Group, Index, AppPort);
      M.Settings.Service = "desk";
    }
    start(M);
  }
  for (size_t I = 0; I < Agents; ++I) {
    const node::Settings &S = Machines_[Balancers + I].Settings;
    Targets_.emplace_back(Shared_, recorder(),
                          Target::Place{fmt::format("target-{}", I + 1), "desk",
                                        S.Zone, S.Upstream, S.Outbound,
                                        S.Control});
    Targets_.back().start(fmt::format("i-{}", I + 1), Duration::zero());
  }
}

void Stage::planRequests(Duration From, Duration To, Duration Gap,
                         Endpoint Route) {
  size_t Turn = 0;
  for (Duration T = From; T < To; T += Gap)
    plan(T, [this, Route, B = Turn++ % Balancers_] {
      Consumers_->open(Route, at(1, B, PacketPort), /*Long=*/false);
    });
}

void Stage::tick() {
  const TimePoint Now = Shared_.now();
  Shared_.Log.tick(Now);
  Store_->tick(Now);
  for (Target &T : Targets_)
    T.tick(Now);
  if (Consumers_)
    Consumers_->tick(Now);
  while (!Planned_.empty() && Planned_.begin()->first <= elapsed()) {
    const auto Action = std::move(Planned_.begin()->second);
    Planned_.erase(Planned_.begin());
    Action();
  }
  for (Machine &M : Machines_)
    if (M.Process.hasEnded())
      record(fmt::format("{} has ended: {}", M.Settings.Name,
                         M.Process.exitReason()));
}

// The targets are restarted in place, one after the other, before traffic
// begins, while the store refuses calls for 4.5 s.
void Stage::planStuckEntry() {
  constexpr Duration DrainAt = 4s;
  constexpr Duration LeaveAt = DrainAt + Drain + 500ms;
  constexpr Duration Step = 1s; // Between the two targets.
  constexpr Duration Away = 2s; // From a target's exit to its next start.
  constexpr Duration RefuseAt = LeaveAt - 200ms;
  constexpr Duration RefuseFor = 4500ms;
  constexpr Duration TrafficAt = RefuseAt + RefuseFor + Contact + 1s;
  constexpr Duration TrafficFor = 40s;
  deploy(/*Balancers=*/2, /*Agents=*/2);
  writeManifest({DeskRoute});
  for (size_t I = 0; I < Targets_.size(); ++I) {
    plan(DrainAt + I * Step, [this, I] { Targets_[I].drain(); });
    plan(LeaveAt + I * Step, [this, I] { Targets_[I].leave(); });
    plan(LeaveAt + I * Step + Away, [this, I] {
      Targets_[I].start(fmt::format("i-{}", I + 1), Duration::zero());
    });
  }
  if (!Given_.Calm) {
    plan(RefuseAt, [this] {
      Store_->refuse(true);
      record("the store refuses calls with 503");
    });
    plan(RefuseAt + RefuseFor, [this] {
      Store_->refuse(false);
      record("the store answers again");
    });
  }
  planRequests(TrafficAt, TrafficAt + TrafficFor, 100ms, DeskRoute);
  finishAt(TrafficAt + TrafficFor + Consumers::TimeLimit + 500ms, [this] {
    size_t Served = 0;
    for (const auto &[Id, R] : Consumers_->requests())
      Served += R.How == Request::End::Answered;
    const std::string Verdict = fmt::format(
        "{} of {} requests of the day are served; writes of the nodes to the "
        "store: {}, of which {} changed nothing",
        Served, Consumers_->requests().size(), Store_->writes(),
        Store_->idleWrites());
    record(Verdict);
    fmt::print("{}\n", Verdict);
    return Served == 0 ? ExitBroken : ExitHeld;
  });
}

// All open channels to the store go silent for good; new ones work. Once the
// machines are in touch again, a manifest drops a route.
void Stage::planSilentStore() {
  constexpr Duration SilentAt = 6s;
  constexpr Duration ChangeAt = SilentAt + Contact + 1s;
  constexpr Duration End = ChangeAt + 14s;
  deploy(/*Balancers=*/3, /*Agents=*/3);
  writeManifest({DeskRoute, SecondRoute});
  if (!Given_.Calm)
    plan(SilentAt, [this] {
      record(fmt::format("{} open channels to the store go silent",
                         Proxy_->silenceOpenConnections()));
    });
  plan(ChangeAt, [this] { writeManifest({DeskRoute}); });
  planRequests(4s, End, 100ms, DeskRoute);
  planRequests(4s + 50ms, End, 100ms, SecondRoute);
  finishAt(End + Consumers::TimeLimit + 500ms, [this] {
    size_t Before = 0, Late = 0, Run = 0;
    Duration Latest{};
    for (const auto &[Id, R] : Consumers_->requests()) {
      if (R.Flow.Route != SecondRoute)
        continue;
      const bool IsRun = R.How == Request::End::Answered;
      Before += IsRun && R.Sent < Acknowledged_;
      if (R.Sent <= Acknowledged_ + ConfigApply)
        continue;
      ++Late;
      Run += IsRun;
      if (IsRun)
        Latest = std::max(Latest, R.Sent - Acknowledged_);
    }
    const std::string Verdict = fmt::format(
        "of {} requests on the dropped route that were sent later than 3 s "
        "after the acknowledgement, {} were run, the last one sent {} ms after "
        "it; {} were run before the change",
        Late, Run,
        std::chrono::duration_cast<std::chrono::milliseconds>(Latest).count(),
        Before);
    record(Verdict);
    fmt::print("{}\n", Verdict);
    if (Before == 0)
      return ExitNotRun;
    return Run > 0 ? ExitBroken : ExitHeld;
  });
}

void Stage::openLongFlows(Duration From, int Count) {
  for (int I = 0; I < Count; ++I)
    plan(From + I * 50ms, [this, I] {
      LongFlows_.push_back(Consumers_->open(
          DeskRoute, at(1, I % Balancers_, PacketPort), /*Long=*/true));
    });
}

void Stage::planUseOfFlows(Duration When, size_t Through) {
  plan(When, [this, Through] {
    for (size_t I = 0; I < LongFlows_.size(); I += Balancers_) {
      const uint64_t Id =
          Consumers_->ask(LongFlows_[I], at(1, Through, PacketPort));
      if (Id != 0)
        Asked_.push_back(Id);
    }
  });
  finishAt(When + Consumers::TimeLimit + 500ms, [this] {
    size_t Broken = 0;
    size_t Answered = 0;
    for (const uint64_t Id : Asked_) {
      const Request &R = Consumers_->requests().at(Id);
      Answered += R.How == Request::End::Answered;
      if (R.How != Request::End::Reset)
        continue;
      for (const Target &T : Targets_)
        if (T.holds(R.Flow)) {
          ++Broken;
          record(fmt::format("FLOW: {} was reset, but {} still holds it",
                             toString(R.Flow), T.place().Name));
        }
    }
    const std::string Verdict = fmt::format(
        "of {} open flows that were used afterwards, {} were "
        "answered and {} were reset by the system while their target holds "
        "them",
        Asked_.size(), Answered, Broken);
    record(Verdict);
    fmt::print("{}\n", Verdict);
    if (Asked_.empty())
      return ExitNotRun;
    return Broken > 0 ? ExitBroken : ExitHeld;
  });
}

// A zone is taken out, its agent is restarted, and the zone is taken back with
// its target cold; then a balancer is restarted, so that the routers send its
// flows through the other one. All of it is planned work.
void Stage::planColdZone() {
  constexpr Duration OpenAt = 4s;
  constexpr int Flows = 60;
  constexpr Duration OutAt = 8s;
  constexpr Duration BackAt = OutAt + 5350ms;
  constexpr Duration ColdAt = BackAt - 1400ms;
  constexpr Duration StartAt = ColdAt - 100ms; // Of the restarted agent.
  constexpr Duration StopAt = StartAt - 700ms;
  constexpr Duration RollAt = BackAt + 1500ms;
  constexpr Duration AskAt = RollAt + 1s;
  deploy(/*Balancers=*/2, /*Agents=*/3);
  writeManifest({DeskRoute});
  openLongFlows(OpenAt, Flows);
  plan(OutAt, [this] {
    Store_->put("evacuations", "zone-0", "{}");
    record("the store acknowledges that zone-0 is evacuated");
  });
  if (!Given_.Calm) {
    plan(StopAt, [this] { stop(Machines_[Balancers_]); });
    plan(StartAt, [this] { start(Machines_[Balancers_]); });
  }
  plan(ColdAt, [this] {
    Targets_[0].becomeCold(ColdLength);
    record("target-1 becomes cold; it has not restarted and holds its flows");
  });
  plan(BackAt, [this] {
    Store_->remove("evacuations", "zone-0");
    record("the store acknowledges that zone-0 is taken back");
  });
  plan(RollAt, [this] { stop(Machines_[0]); });
  // Two ready checks have failed by now: the second balancer gets the packets.
  planUseOfFlows(AskAt, /*Through=*/1);
}

// Another writer leaves an object that can't be read under the name of an
// agent's entry, once, while the balancers are restarted one after the other.
void Stage::planForeignEntry() {
  constexpr Duration OpenAt = 4s;
  constexpr int Flows = 60;
  constexpr Duration StopAt = 9s;
  constexpr Duration StartAt = StopAt + 1900ms;
  constexpr Duration WriteAt = StartAt - 20ms;
  constexpr Duration AskAt = StartAt + 60ms;
  StaleSeeds_ = true;
  deploy(/*Balancers=*/2, /*Agents=*/3);
  writeManifest({DeskRoute});
  openLongFlows(OpenAt, Flows);
  plan(StopAt, [this] { stop(Machines_[0]); });
  if (!Given_.Calm)
    plan(WriteAt, [this] {
      Store_->put("agents", Machines_[Balancers_].Settings.Name, "7");
      record("another writer replaces the entry of agent-1 by a number");
    });
  plan(StartAt, [this] { start(Machines_[0]); });
  planUseOfFlows(AskAt, /*Through=*/0);
}

// The first heartbeat that a restarted agent hears is a late one of a former,
// warm start of its target; the present start is cold.
void Stage::planLateHeartbeat() {
  constexpr Duration HoldAt = 7400ms;
  constexpr Duration CrashAt = HoldAt + 900ms;
  constexpr Duration ReturnAt = CrashAt + 2500ms;
  constexpr Duration KillAt = ReturnAt + 60ms;
  constexpr Duration StartAt = KillAt + 100ms;
  constexpr Duration ArrivalAt = StartAt + 60ms;
  constexpr Duration TrafficAt = 6s;
  constexpr Duration End = ReturnAt + ColdLength;
  deploy(/*Balancers=*/2, /*Agents=*/1);
  writeManifest({DeskRoute});
  planRequests(TrafficAt, End, 20ms, DeskRoute);
  plan(CrashAt, [this] { Targets_[0].crash(); });
  plan(ReturnAt, [this] { Targets_[0].start("i-2", ColdLength); });
  plan(KillAt, [this] {
    record("agent-1 is killed");
    Machines_[Balancers_].Process.signal(SIGKILL);
  });
  plan(StartAt, [this] { start(Machines_[Balancers_]); });
  if (!Given_.Calm) {
    plan(HoldAt, [this] { Targets_[0].holdHeartbeat(); });
    plan(ArrivalAt, [this] { Targets_[0].releaseHeartbeat(); });
  }
  finishAt(End + Consumers::TimeLimit + 500ms, [this] {
    // Openings at the cold start, by when they were sent and when they arrived.
    size_t Most = 0;
    const std::vector<Opening> &All = Targets_[0].openings();
    for (const Opening &First : All) {
      if (!First.Cold)
        continue;
      size_t Count = 0;
      for (const Opening &O : All) {
        const Request *R = Consumers_->requestOn(O.Flow);
        Count += O.Cold && R && R->Sent >= First.Arrived - 1s &&
                 R->Sent <= First.Arrived && O.Arrived <= First.Arrived &&
                 O.Arrived >= First.Arrived - 1s;
      }
      Most = std::max(Most, Count);
    }
    const std::string Verdict = fmt::format(
        "the cold target got {} openings in one second, {} are the most", Most,
        MaxColdOpenings);
    record(Verdict);
    fmt::print("{}\n", Verdict);
    if (Most == 0)
      return ExitNotRun;
    return Most > MaxColdOpenings ? ExitBroken : ExitHeld;
  });
}

int Stage::run() {
  if (Given_.Scenario == "stuck-entry")
    planStuckEntry();
  else if (Given_.Scenario == "silent-store")
    planSilentStore();
  else if (Given_.Scenario == "cold-zone")
    planColdZone();
  else if (Given_.Scenario == "foreign-entry")
    planForeignEntry();
  else if (Given_.Scenario == "late-heartbeat")
    planLateHeartbeat();
  else
    return ExitNotRun;
  event_base_dispatch(Shared_.Base.get());
  return Result_;
}

} // namespace

int main(int Count, char **Values) {
  Options Given;
  for (int I = 1; I < Count; ++I) {
    const std::string Word = Values[I];
    if (Word == "--calm")
      Given.Calm = true;
    else if (Word == "--program" && I + 1 < Count)
      Given.Program = Values[++I];
    else if (Word == "--folder" && I + 1 < Count)
      Given.Folder = Values[++I];
    else if (Word == "--record" && I + 1 < Count)
      Given.Record = Values[++I];
    else
      Given.Scenario = Word;
  }
  if (Given.Program.empty() || Given.Folder.empty() || Given.Record.empty())
    return ExitNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Stage(std::move(Given)).run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return ExitNotRun;
  }
}
