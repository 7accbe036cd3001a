// A simulation in virtual time of balancers, agents with their upstreams, and
// the packets and control messages between them, for tests of opaque flows.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPAQUESIMULATION_TEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPAQUESIMULATION_TEST_H

#include "opaque/opaquefakes_test.h"

#include <deque>
#include <fmt/format.h>
#include <memory>
#include <set>
#include <utility>

namespace dragonflystall::opaque::test {

class Simulation {
public:
  explicit Simulation(uint64_t Seed) : Rng(Seed) {
    SharedManifest.Version = 1;
    SharedManifest.Routes[DeskRoute] = {{{"desk", 1}}, 1s, 1};
    SharedManifest.Routes[PrintRoute] = {{{"print", 1}}, 3s, 2};
    SharedManifest.Services["desk"] = {0};
    SharedManifest.Services["print"] = {0};
    recordServices();
  }

  Random Rng;
  TimePoint Now{100s};
  Manifest SharedManifest;
  std::deque<FakeHost> Hosts;
  std::deque<FakeBalancer> Balancers;
  std::map<FlowId, Caller> Callers;
  std::string BrokenInvariant; ///< The first invariant that was violated.
  double Loss = 0;
  size_t Offers = 0; ///< Number of SYNs sent by balancers to agents.
  /// Balancers that start receive the route history of another one.
  bool HasPeerHistory = true;
  /// Processes that start know that no flows existed before.
  bool FirstStart = true;
  /// Tells a balancer that starts of the agents, in place of a list of all.
  std::function<void(FakeBalancer &)> ListAgents;
  /// Called with each decision of a balancer on a packet.
  std::function<void(const FakeBalancer &, const SteerAction &,
                     const PacketHead &)>
      OnAction;
  /// Decides on a caller's packet, in place of Steering::fromCaller().
  std::function<SteerAction(FakeBalancer &, const PacketHead &)> Steer;
  /// Whether the store answers linearizable reads.
  bool StoreUp = true;
  size_t StoreReads = 0; ///< Linearizable reads of balancers.
  /// Brings a balancer up to date with the store, in place of readListed().
  std::function<void(FakeBalancer &)> ReadAgents;
  /// What processes that start read from the store, if not SharedManifest.
  std::optional<Manifest> StoredManifest;
  /// The evacuations that processes that start read from the store.
  Evacuations StoredEvacuations = {{1, 1}, {}};

  FakeHost &addHost(const std::string &Service) {
    FakeHost &Host = Hosts.emplace_back();
    const uint32_t Index = Hosts.size();
    const std::string Zone = fmt::format("zone-{}", Index % 3);
    Host.Entry = {fmt::format("host-{}", Index),
                  Service,
                  Zone,
                  {0x0a010000 + Index, 7000},
                  {0x0a010000 + Index, 7001}};
    Host.LocalUpstream.Id = fmt::format("upstream-{}", Index);
    Host.LocalUpstream.Service = Service;
    startAgent(Host);
    return Host;
  }
  void startAgent(FakeHost &Host) {
    startAgentUnheard(Host);
    beat(Host);
  }
  /// Starts an agent whose upstream calls it at its regular time.
  void startAgentUnheard(FakeHost &Host) {
    Host.Running = true;
    Host.RunningSince = Now;
    Host.Era = {};
    startConfig(Host.Config);
    Host.UpstreamState = std::make_unique<Upstream>(
        UpstreamSettings{address(Host), Host.Entry.Zone, 2s, 800ms, 1.5, 5,
                         Host.Entry.Service},
        Host.Config, Now);
    makeGate(Host);
  }
  void makeGate(FakeHost &Host) {
    Host.PacketGate = std::make_unique<Gate>(Host.Config, *Host.UpstreamState,
                                             agentId(Host.Entry.Name),
                                             Host.Entry.Service, 100, Now);
  }
  /// Restarts the upstream, which is cold for 2 s.
  void restartUpstream(FakeHost &Host) {
    const int64_t Started = Host.LocalUpstream.Started + 1;
    Host.LocalUpstream = {};
    Host.LocalUpstream.Id = fmt::format("{}-{}", Host.Entry.Name, Started);
    Host.LocalUpstream.Service = Host.Entry.Service;
    Host.LocalUpstream.Started = Started;
    Host.LocalUpstream.ColdUntil = Now + 2s;
    beat(Host);
  }
  FakeBalancer &addBalancer() {
    FakeBalancer &Balancer = Balancers.emplace_back();
    Balancer.Address = {0x0a020000 + static_cast<uint32_t>(Balancers.size()),
                        7000};
    startBalancer(Balancer);
    return Balancer;
  }
  void startBalancer(FakeBalancer &Balancer) {
    Balancer.Running = true;
    const auto Peer = std::find_if(
        Balancers.begin(), Balancers.end(), [&](const FakeBalancer &B) {
          return &B != &Balancer && B.Running && B.Core;
        });
    startConfig(Balancer.Config);
    if (HasPeerHistory && Peer != Balancers.end())
      Balancer.Config.offerOfPeer(Peer->Config.manifest(),
                                  Peer->Config.history().state(Now), Now);
    Balancer.Agents = std::make_unique<Directory>("zone-0", Rng());
    Balancer.Core = std::make_unique<Steering>(Balancer.Config,
                                               *Balancer.Agents, 1000, Now);
    if (ListAgents)
      return ListAgents(Balancer);
    for (const FakeHost &Host : Hosts)
      Balancer.Agents->list(Host.Entry, {1, 1}, Now);
    Balancer.Core->onAgentsListed({1, 1}, Now);
  }
  /// Makes SharedManifest the newest one; no process has it yet.
  void beginVersion() {
    ++SharedManifest.Version;
    recordServices();
    expireFlowsOfDroppedRoutes();
  }
  void publish() {
    beginVersion();
    for (FakeHost &Host : Hosts)
      Host.Config.offer(SharedManifest, Continuity::Unbroken, Now);
    for (FakeBalancer &Balancer : Balancers)
      Balancer.Config.offer(SharedManifest, Continuity::Unbroken, Now);
  }
  /// The configuration of a process that starts.
  void startConfig(Configuration &Config) {
    Config = Configuration();
    if (FirstStart)
      Config.history().onFirstStart(Now);
    Config.offer(StoredManifest ? *StoredManifest : SharedManifest,
                 Continuity::Gap, Now);
    Config.evacuations().offer(StoredEvacuations, Now);
  }

  static Endpoint address(const FakeHost &Host) {
    return {Host.Entry.Packets.Ip, 8000};
  }

  PacketHead packet(const FlowId &Flow) {
    PacketHead Head;
    Head.Source = Flow.Caller;
    Head.Destination = Flow.Route;
    return Head;
  }
  FlowId newFlow(Endpoint Route) {
    const FlowId Flow = {{0x64000000 + ++LastCaller_, 4000}, Route};
    Callers[Flow].Flow = Flow;
    Callers[Flow].Opened = Callers[Flow].LastReceived = Now;
    return Flow;
  }
  void sendSyn(FakeBalancer &Balancer, const FlowId &Flow, uint32_t Copy = 0) {
    PacketHead Head = packet(Flow);
    Head.Syn = true;
    Head.Acknowledged = Copy;
    send(Balancer, Head);
  }
  void sendData(FakeBalancer &Balancer, const FlowId &Flow,
                uint32_t Sequence = 1) {
    PacketHead Head = packet(Flow);
    Head.Ack = true;
    Head.PayloadBytes = 10;
    Head.Sequence = Sequence;
    Head.Acknowledged = AcknowledgedByCallers;
    Caller &FlowState = Callers[Flow];
    FlowState.Expired = FlowState.isExpired(Now);
    FlowState.Answered = false;
    send(Balancer, Head);
  }
  /// Opens a flow: sends the SYN, then data.
  FlowId open(FakeBalancer &Balancer, Endpoint Route) {
    const FlowId Flow = newFlow(Route);
    sendSyn(Balancer, Flow);
    run(20ms);
    sendData(Balancer, Flow);
    run(20ms);
    return Flow;
  }

  void run(Duration Length) {
    const TimePoint End = Now + Length;
    while (true) {
      const TimePoint Next = Events_.empty() ? End : Events_.begin()->first;
      if (std::min(Next, NextTick_) > End)
        break;
      if (NextTick_ <= Next) {
        Now = std::max(Now, NextTick_);
        tick();
        continue;
      }
      if (Events_.empty())
        break;
      Now = std::max(Now, Next);
      const auto Event = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Event();
    }
    Now = End;
  }

  void beat(FakeHost &Host) {
    if (!Host.Running || !Host.LocalUpstream.Alive ||
        Host.LocalUpstream.Starting)
      return;
    Heartbeat Beat;
    Beat.Id = Host.LocalUpstream.Id;
    Beat.Service = Host.LocalUpstream.Service;
    Beat.Address = address(Host);
    Beat.Slots = 4;
    Beat.Draining = Host.LocalUpstream.Draining;
    Beat.ColdFor =
        std::max(Duration::zero(), Host.LocalUpstream.ColdUntil - Now);
    Beat.Sequence = ++Host.LocalUpstream.Beats;
    Beat.Started = Host.LocalUpstream.Started;
    const HeartbeatVerdict Verdict = Host.UpstreamState->onHeartbeat(Beat, Now);
    if (Verdict == HeartbeatVerdict::TakenNewStart)
      Host.PacketGate->forgetFlows(Now);
    else if (Verdict == HeartbeatVerdict::TakenRunning)
      Host.PacketGate->onUnseenStart(Now);
  }
  FakeHost *holder(const FlowId &Flow) {
    for (FakeHost &Host : Hosts)
      if (Host.LocalUpstream.Alive && Host.LocalUpstream.Open.count(Flow))
        return &Host;
    return nullptr;
  }

private:
  void later(std::function<void()> Callback) {
    if (chance(Rng, Loss))
      return;
    Events_.emplace(Now + Delay, std::move(Callback));
  }
  void fail(std::string Message) {
    if (BrokenInvariant.empty())
      BrokenInvariant = std::move(Message);
  }

  void send(FakeBalancer &Balancer, const PacketHead &Head) {
    later([this, &Balancer, Head] {
      if (!Balancer.Running)
        return;
      carryOut(Balancer,
               Steer ? Steer(Balancer, Head)
                     : Balancer.Core->fromCaller(Head, "bytes", Now),
               Head);
      carryOutDelayed(Balancer);
    });
  }
  void carryOut(FakeBalancer &Balancer, const SteerAction &Action,
                const PacketHead &Head) {
    if (OnAction)
      OnAction(Balancer, Action, Head);
    switch (Action.Disposition) {
    case SteerAction::Kind::Drop:
      return;
    case SteerAction::Kind::Reset: {
      Caller &FlowState = Callers[Head.fromCaller()];
      // A caller ignores a reset outside of its window as an old packet.
      if (FlowState.Answered && Action.ResetSequence == 0)
        return;
      if (Action.ResetSequence != 0)
        checkReset(Head.fromCaller());
      FlowState.Reset = true;
      return;
    }
    case SteerAction::Kind::Ask:
      for (const Agent *A : Action.QueriedAgents)
        later([this, &Balancer, Name = A->Entry.Name,
               Flow = Head.fromCaller()] { answerFind(Balancer, Name, Flow); });
      return;
    case SteerAction::Kind::Forward:
      break;
    }
    Offers += Head.opens();
    PacketHead Sent = Head;
    Sent.Bounced = false;
    Sent.Echo = Action.Forwarding.encode();
    later([this, &Balancer, Name = Action.Target->Entry.Name, Sent] {
      if (FakeHost *Host = running(Name))
        gate(*Host, Host->PacketGate->fromBalancer(Sent, Balancer.Address, Now),
             Sent);
    });
  }
  void carryOut(FakeBalancer &Balancer,
                const std::vector<DelayedAction> &Actions) {
    for (const DelayedAction &Late : Actions)
      carryOut(Balancer, Late.Action, Late.Packet.Head);
    confirm(Balancer);
  }
  void carryOutDelayed(FakeBalancer &Balancer) {
    for (const DelayedAction &Late : Balancer.Core->takeDelayed())
      carryOut(Balancer, Late.Action, Late.Packet.Head);
  }
  FakeHost *running(const std::string &Name) {
    for (FakeHost &Host : Hosts)
      if (Host.Entry.Name == Name && Host.Running)
        return &Host;
    return nullptr;
  }
  FakeBalancer *running(Endpoint Address) {
    for (FakeBalancer &Balancer : Balancers)
      if (Balancer.Address == Address && Balancer.Running)
        return &Balancer;
    return nullptr;
  }
  void answerFind(FakeBalancer &Balancer, const std::string &Name,
                  const FlowId &Flow) {
    FakeHost *Host = running(Name);
    if (!Host)
      return;
    const auto Verdict = Host->PacketGate->holding(Flow, Now);
    if (!Verdict)
      return;
    const Located Answer = {
        Name,
        Flow,
        *Verdict,
        Host->NewestEntry,
        std::max(Host->NewestManifest, Host->Config.manifest().Version),
        Host->Era.at(Now)};
    later([this, &Balancer, Answer] {
      if (Balancer.Running)
        carryOut(Balancer, Balancer.Core->onLocated(Answer, Now));
    });
  }
  /// Reads the store for the balancer if its searches need it.
  void confirm(FakeBalancer &Balancer) {
    if (!Balancer.Core->beginRead(Now))
      return;
    ++StoreReads;
    Events_.emplace(Now + Delay,
                    [this, &Balancer, Reader = Balancer.Core.get()] {
                      if (!Balancer.Running || Balancer.Core.get() != Reader)
                        return;
                      if (!StoreUp)
                        return Reader->onReadFailed(Now);
                      ReadAgents ? ReadAgents(Balancer) : readListed(Balancer);
                      carryOut(Balancer, Reader->onAgentsRead(Now));
                    });
  }
  void readListed(FakeBalancer &Balancer) {
    for (const FakeHost &Host : Hosts)
      if (Host.Listed && !Balancer.Agents->find(Host.Entry.Name))
        Balancer.Agents->list(Host.Entry, {1, 1}, Now);
  }

  void gate(FakeHost &Host, const GateAction &Action, PacketHead Head) {
    if (Action.AnnounceHolder) {
      const Located Answer = {Host.Entry.Name, Head.toCaller(), Holding::Holds};
      if (FakeBalancer *Balancer = running(Action.Balancer))
        later([this, Balancer, Answer] {
          if (Balancer->Running)
            carryOut(*Balancer, Balancer->Core->onLocated(Answer, Now));
        });
    }
    if (Action.Disposition == GateAction::Kind::ToUpstream)
      return receive(Host, Head);
    if (Action.Disposition == GateAction::Kind::ToCaller) {
      Caller &FlowState = Callers[Head.toCaller()];
      FlowState.SynAcked = FlowState.SynAcked || Head.Syn;
      FlowState.Answered = FlowState.Answered || Head.PayloadBytes > 0;
      return;
    }
    if (Action.Disposition != GateAction::Kind::ToBalancer)
      return;
    Head.Echo = Action.Forwarding.encode();
    Head.Bounced = true;
    FakeBalancer *Balancer = running(Action.Balancer);
    if (!Balancer)
      return;
    later([this, Balancer, Head, From = Host.Entry.Packets] {
      if (!Balancer->Running)
        return;
      carryOut(*Balancer, Balancer->Core->onReturned(Head, "bytes", From, Now),
               Head);
      carryOutDelayed(*Balancer);
      confirm(*Balancer);
    });
  }
  void receive(FakeHost &Host, const PacketHead &Head) {
    FakeUpstream &Server = Host.LocalUpstream;
    const FlowId Flow = Head.fromCaller();
    if (!EverNamed_[Flow.Route].count(Server.Service))
      fail("packet at a service that its route never named: " +
           Host.Entry.Name);
    if (Server.Starting) {
      if (const FakeHost *Holder = holder(Flow); Holder && Holder != &Host)
        fail("starting upstream reset a flow that another one holds: " +
             toString(Flow));
      return;
    }
    if (!Server.Alive)
      return;
    if (Head.opens()) {
      checkOpening(Host, Flow);
      Server.Opening.insert(Flow);
      Server.Syns.push_back(Now);
      PacketHead Reply;
      Reply.Syn = true;
      Reply.Ack = true;
      return answer(Host, Flow, Reply);
    }
    if (Server.Opening.count(Flow) && !holder(Flow))
      Server.Open.insert(Flow);
    if (!Server.Open.count(Flow)) {
      ++Server.UnheldPackets;
      checkAstray(Host, Flow);
      PacketHead Back = Head;
      Back.Bounced = true;
      return gate(Host, Host.PacketGate->fromUpstream(Back, Now), Back);
    }
    Callers[Flow].LastReceived = Now;
    Callers[Flow].Astray.clear();
    PacketHead Reply;
    Reply.Ack = true;
    const bool Fails = Server.FailsOfTen > 0 && Rng() % 10 < Server.FailsOfTen;
    if (Fails && Server.FailsSilently)
      return;
    Reply.Reset = Fails;
    Reply.PayloadBytes = Fails ? 0 : 100;
    if (Server.Work == Duration::zero())
      return answer(Host, Flow, Reply);
    TimePoint &FreeAt =
        *std::min_element(Server.SlotFreeAt.begin(), Server.SlotFreeAt.end());
    FreeAt = std::max(FreeAt, Now) + Server.Work;
    Events_.emplace(FreeAt, [this, &Host, Flow, Reply, Id = Server.Id] {
      if (Host.Running && Host.LocalUpstream.Id == Id)
        answer(Host, Flow, Reply);
    });
  }
  void answer(FakeHost &Host, const FlowId &Flow, PacketHead Reply) {
    Reply.Source = Flow.Route;
    Reply.Destination = Flow.Caller;
    gate(Host, Host.PacketGate->fromUpstream(Reply, Now), Reply);
  }
  /// Fails if the flow is open at an upstream whose agent runs. An agent that
  /// has just started may have been silent for long enough to be given up.
  void checkReset(const FlowId &Flow) {
    const FakeHost *Holder = holder(Flow);
    const bool IsHeld =
        Holder && Holder->Running && Now - Holder->RunningSince > RestartTime;
    if (IsHeld && !Callers[Flow].Expired)
      fail("balancer reset an open flow " + toString(Flow));
  }
  /// Fails if for AstrayTime packets of an open flow reach only other
  /// upstreams.
  void checkAstray(const FakeHost &Host, const FlowId &Flow) {
    const FakeHost *Holder = holder(Flow);
    Caller &FlowState = Callers[Flow];
    const auto IsSettled = [&](const FakeHost &H) {
      return H.Running && Now - H.RunningSince > RestartTime;
    };
    if (!Holder || FlowState.Expired || !IsSettled(*Holder) || !IsSettled(Host))
      return;
    // Its own upstream has received a copy of this packet.
    if (FlowState.LastReceived == Now)
      return;
    FlowState.Astray.push_back(Now);
    // By then, its own upstream may have received a copy of the same packet.
    Events_.emplace(Now + Delay, [this, Flow] {
      const std::vector<TimePoint> &Astray = Callers[Flow].Astray;
      if (Astray.size() >= 3 && Astray.back() - Astray.front() >= AstrayTime)
        fail("packets of an open flow reach only other upstreams: " +
             toString(Flow));
    });
  }
  void checkOpening(const FakeHost &Host, const FlowId &Flow) {
    const Route *Target = Host.Config.manifest().routeAt(Flow.Route);
    if (!Target || !Target->sendsTo(Host.LocalUpstream.Service))
      fail("flow opened at an upstream of another service: " + toString(Flow));
    if (Host.Config.isEvacuated(Host.Entry.Zone))
      fail("flow opened in an evacuated zone: " + toString(Flow));
    if (Host.LocalUpstream.Draining &&
        Host.UpstreamState->intake(Now) == Intake::Draining)
      fail("flow opened at a draining upstream: " + toString(Flow));
    if (Now >= Host.LocalUpstream.ColdUntil)
      return;
    const auto Lately = std::count_if(
        Host.LocalUpstream.Syns.begin(), Host.LocalUpstream.Syns.end(),
        [&](TimePoint T) { return Now - T < 1s; });
    if (Lately + 1 > 5)
      fail("new flows exceed the limit of a cold upstream: " + Host.Entry.Name);
  }

  void tick() {
    NextTick_ = Now + 100ms;
    ++Ticks_;
    for (FakeHost &Host : Hosts)
      if (Host.Running) {
        Host.UpstreamState->tick(Now);
        Host.PacketGate->tick(Now);
        report(Host);
        if (Ticks_ % 8 == 0)
          beat(Host);
      }
    for (FakeBalancer &Balancer : Balancers)
      if (Balancer.Running) {
        carryOut(Balancer, Balancer.Core->tick(Now));
        if (Ticks_ % 5 == 0)
          ping(Balancer);
      }
  }
  /// Sends a pong to all balancers if the intake state has changed.
  void report(FakeHost &Host) {
    const Intake State = Host.UpstreamState->intake(Now);
    if (std::exchange(Host.Reported, State) == State)
      return;
    for (FakeBalancer &Balancer : Balancers)
      pong(Balancer, Host);
  }
  void ping(FakeBalancer &Balancer) {
    for (const auto &[Name, A] : Balancer.Agents->agents()) {
      Balancer.Agents->onPingSent(*A, Now);
      later([this, &Balancer, Name = Name,
             Newest = Balancer.Agents->newestEntry(),
             Version = Balancer.Config.manifest().Version] {
        FakeHost *Host = running(Name);
        if (!Host)
          return;
        Host->NewestEntry = std::max(Host->NewestEntry, Newest);
        Host->NewestManifest = std::max(Host->NewestManifest, Version);
        pong(Balancer, *Host);
      });
    }
  }
  void pong(FakeBalancer &Balancer, FakeHost &Host) {
    Pong Message;
    Message.Name = Host.Entry.Name;
    Message.Service = Host.Entry.Service;
    Message.State = Host.UpstreamState->intake(Now);
    Message.ColdFor = Host.UpstreamState->coldFor(Now);
    Message.Slots = 4;
    Message.OpenFlows = Host.PacketGate->openFlows();
    Message.Busy = Host.PacketGate->busy(Now) + Host.LocalUpstream.ExtraBusy;
    Message.WorkTime = Host.LocalUpstream.WorkTime;
    Message.FailureShare = Host.PacketGate->failureShare();
    later([this, &Balancer, Message] {
      if (Balancer.Running)
        Balancer.Agents->onPong(Message, Now);
    });
  }

  void expireFlowsOfDroppedRoutes() {
    for (auto &[Flow, State] : Callers)
      if (!SharedManifest.routeAt(Flow.Route))
        State.Expired = true;
  }
  void recordServices() {
    for (const auto &[Address, Route] : SharedManifest.Routes)
      for (const WeightedService &S : Route.Services)
        EverNamed_[Address].insert(S.Name);
  }

  /// After this time, all balancers have heard from a restarted agent.
  static constexpr Duration RestartTime = 4s;
  static constexpr Duration AstrayTime = 2s;
  /// A sequence number that callers have acknowledged; not 0, so that resets of
  /// open flows differ from those of new ones.
  static constexpr uint32_t AcknowledgedByCallers = 500;

  std::multimap<TimePoint, std::function<void()>> Events_;
  /// The services of each route in all manifests so far.
  std::map<Endpoint, std::set<std::string>> EverNamed_;
  TimePoint NextTick_{};
  uint64_t Ticks_ = 0;
  uint32_t LastCaller_ = 0;
};

} // namespace dragonflystall::opaque::test

#endif
