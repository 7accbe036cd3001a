// A simulation in virtual time of balancers, agents with their upstreams, and
// the packets and control messages between them, for tests of opaque flows.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPAQUEWORLD_TEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPAQUEWORLD_TEST_H

#include "opaque/gate.h"
#include "opaque/steering.h"

#include <deque>
#include <fmt/format.h>
#include <memory>
#include <set>
#include <utility>

namespace dragonflystall::opaque::test {

constexpr Duration Delay = 1ms;
const Endpoint DeskRoute = {0x0a000001, 443};
const Endpoint PrintRoute = {0x0a000001, 80};

/// An upstream that answers the handshake and bounces packets of flows that it
/// does not hold.
struct FakeUpstream {
  std::string Id;
  std::string Service;
  int64_t Started = 1;
  int64_t Beats = 0;
  bool Alive = true;
  bool Draining = false;
  /// The upstream has not reported yet and resets all packets.
  bool Starting = false;
  /// Number of requests out of ten that fail, and whether these get no answer
  /// instead of a reset.
  uint32_t FailsOfTen = 0;
  bool FailsSilently = false;
  TimePoint ColdUntil{};
  std::set<FlowId> Open;
  std::set<FlowId> Opening;
  std::vector<TimePoint> Syns;
  size_t UnheldPackets = 0; ///< Packets of flows that it does not hold.
};

struct FakeHost {
  AgentEntry Entry;
  FakeUpstream Up;
  bool Running = true;
  Intake Reported = Intake::Unready;
  Configuration Config;
  std::unique_ptr<Upstream> UpstreamState;
  std::unique_ptr<Gate> PacketGate;
};

struct FakeBalancer {
  Endpoint Address;
  bool Running = true;
  Configuration Config;
  std::unique_ptr<Directory> Agents;
  std::unique_ptr<Steering> Core;
};

/// A flow as its caller sees it.
struct Caller {
  FlowId Flow;
  bool SynAcked = false;
  bool Answered = false;
  bool Reset = false;
};

class World {
public:
  explicit World(uint64_t Seed) : Rng(Seed) {
    Shared.Version = 1;
    Shared.Routes[DeskRoute] = {"desk", 1s, 1};
    Shared.Routes[PrintRoute] = {"print", 3s, 2};
    Shared.Services["desk"] = {0};
    Shared.Services["print"] = {0};
  }

  Random Rng;
  TimePoint Now{100s};
  Manifest Shared;
  std::deque<FakeHost> Hosts;
  std::deque<FakeBalancer> Balancers;
  std::map<FlowId, Caller> Callers;
  std::string BrokenInvariant; ///< The first invariant that was violated.
  double Loss = 0;
  size_t Offers = 0; ///< Number of SYNs sent by balancers to agents.
  bool HasPeerList =
      false; ///< Balancers that start hear of all agents from a peer.

  FakeHost &addHost(const std::string &Service) {
    FakeHost &H = Hosts.emplace_back();
    const uint32_t Index = Hosts.size();
    const std::string Zone = fmt::format("zone-{}", Index % 3);
    H.Entry = {fmt::format("host-{}", Index),
               Service,
               Zone,
               {0x0a010000 + Index, 7000},
               {0x0a010000 + Index, 7001}};
    H.Up.Id = fmt::format("upstream-{}", Index);
    H.Up.Service = Service;
    startAgent(H);
    return H;
  }
  void startAgent(FakeHost &H) {
    H.Running = true;
    H.Config = {};
    H.Config.offer(Shared);
    H.UpstreamState = std::make_unique<Upstream>(
        UpstreamSettings{address(H), H.Entry.Zone, 2s, 800ms, 1.5, 5}, H.Config,
        Now);
    H.PacketGate = std::make_unique<Gate>(H.Config, *H.UpstreamState,
                                          H.Entry.Service, 100, Now);
    beat(H);
  }
  /// Restarts the upstream, which is cold for 2 s.
  void restartUpstream(FakeHost &H) {
    const int64_t Started = H.Up.Started + 1;
    H.Up = {};
    H.Up.Id = fmt::format("{}-{}", H.Entry.Name, Started);
    H.Up.Service = H.Entry.Service;
    H.Up.Started = Started;
    H.Up.ColdUntil = Now + 2s;
    beat(H);
  }
  FakeBalancer &addBalancer() {
    FakeBalancer &B = Balancers.emplace_back();
    B.Address = {0x0a020000 + static_cast<uint32_t>(Balancers.size()), 7000};
    startBalancer(B);
    return B;
  }
  void startBalancer(FakeBalancer &B) {
    B.Running = true;
    B.Config = {};
    B.Config.offer(Shared);
    B.Agents = std::make_unique<Directory>("zone-0", Rng());
    B.Core = std::make_unique<Steering>(B.Config, *B.Agents, 1000, Now);
    for (const FakeHost &H : Hosts)
      B.Agents->list(H.Entry, 1, Now);
    B.Core->onAgentsListed(Now);
    if (HasPeerList)
      B.Core->onPeerHeard();
  }
  void publish() {
    ++Shared.Version;
    for (FakeHost &H : Hosts)
      H.Config.offer(Shared);
    for (FakeBalancer &B : Balancers)
      B.Config.offer(Shared);
  }

  static Endpoint address(const FakeHost &H) {
    return {H.Entry.Packets.Ip, 8000};
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
    return Flow;
  }
  void sendSyn(FakeBalancer &B, const FlowId &Flow, uint32_t Copy = 0) {
    PacketHead Head = packet(Flow);
    Head.Syn = true;
    Head.Acknowledged = Copy;
    send(B, Head);
  }
  void sendData(FakeBalancer &B, const FlowId &Flow, uint32_t Sequence = 1) {
    PacketHead Head = packet(Flow);
    Head.Ack = true;
    Head.PayloadBytes = 10;
    Head.Sequence = Sequence;
    Callers[Flow].Answered = false;
    send(B, Head);
  }
  /// Opens a flow: sends the SYN, then data.
  FlowId open(FakeBalancer &B, Endpoint Route) {
    const FlowId Flow = newFlow(Route);
    sendSyn(B, Flow);
    run(20ms);
    sendData(B, Flow);
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

  void beat(FakeHost &H) {
    if (!H.Running || !H.Up.Alive || H.Up.Starting)
      return;
    Heartbeat Beat;
    Beat.Id = H.Up.Id;
    Beat.Service = H.Up.Service;
    Beat.Address = address(H);
    Beat.Slots = 4;
    Beat.Draining = H.Up.Draining;
    Beat.ColdFor = std::max(Duration::zero(), H.Up.ColdUntil - Now);
    Beat.Sequence = ++H.Up.Beats;
    Beat.Started = H.Up.Started;
    if (H.UpstreamState->onHeartbeat(Beat, Now) ==
        HeartbeatVerdict::TakenNewStart)
      H.PacketGate->forgetFlows(Now);
  }
  FakeHost *holder(const FlowId &Flow) {
    for (FakeHost &H : Hosts)
      if (H.Up.Alive && H.Up.Open.count(Flow))
        return &H;
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

  void send(FakeBalancer &B, const PacketHead &Head) {
    later([this, &B, Head] {
      if (B.Running)
        carryOut(B, B.Core->fromCaller(Head, "bytes", Now), Head);
    });
  }
  void carryOut(FakeBalancer &B, const SteerAction &Action,
                const PacketHead &Head) {
    switch (Action.What) {
    case SteerAction::Kind::Drop:
      return;
    case SteerAction::Kind::Reset: {
      Caller &C = Callers[Head.fromCaller()];
      // A caller ignores a reset outside of its window as an old packet.
      if (C.Answered && Action.ResetSequence == 0)
        return;
      if (holder(Head.fromCaller()) && Action.ResetSequence != 0)
        fail("balancer reset an open flow " + toString(Head.fromCaller()));
      C.Reset = true;
      return;
    }
    case SteerAction::Kind::Ask:
      for (const Agent *A : Action.Asked)
        later([this, &B, Name = A->Entry.Name, Flow = Head.fromCaller()] {
          answerFind(B, Name, Flow);
        });
      return;
    case SteerAction::Kind::Forward:
      break;
    }
    Offers += Head.opens();
    PacketHead Sent = Head;
    Sent.Bounced = false;
    Sent.Echo = Action.Way.encode();
    later([this, &B, Name = Action.To->Entry.Name, Sent] {
      if (FakeHost *H = running(Name))
        gate(*H, H->PacketGate->fromBalancer(Sent, B.Address, Now), Sent);
    });
  }
  void carryOut(FakeBalancer &B, const std::vector<LateAction> &Actions) {
    for (const LateAction &Late : Actions)
      carryOut(B, Late.Action, Late.Packet.Head);
  }
  FakeHost *running(const std::string &Name) {
    for (FakeHost &H : Hosts)
      if (H.Entry.Name == Name && H.Running)
        return &H;
    return nullptr;
  }
  FakeBalancer *running(Endpoint Address) {
    for (FakeBalancer &B : Balancers)
      if (B.Address == Address && B.Running)
        return &B;
    return nullptr;
  }
  void answerFind(FakeBalancer &B, const std::string &Name,
                  const FlowId &Flow) {
    FakeHost *H = running(Name);
    if (!H)
      return;
    const auto Verdict = H->PacketGate->holding(Flow, Now);
    if (!Verdict)
      return;
    const Located Answer = {Name, Flow, *Verdict};
    later([this, &B, Answer] {
      if (B.Running)
        carryOut(B, B.Core->onLocated(Answer, Now));
    });
  }

  void gate(FakeHost &H, const GateAction &Action, PacketHead Head) {
    if (Action.TellHolder) {
      const Located Answer = {H.Entry.Name, Head.toCaller(), Holding::Holds};
      if (FakeBalancer *B = running(Action.Balancer))
        later([this, B, Answer] {
          if (B->Running)
            carryOut(*B, B->Core->onLocated(Answer, Now));
        });
    }
    if (Action.What == GateAction::Kind::ToUpstream)
      return receive(H, Head);
    if (Action.What == GateAction::Kind::ToCaller) {
      Caller &C = Callers[Head.toCaller()];
      C.SynAcked = C.SynAcked || Head.Syn;
      C.Answered = C.Answered || Head.PayloadBytes > 0;
      return;
    }
    if (Action.What != GateAction::Kind::ToBalancer)
      return;
    Head.Echo = Action.Way.encode();
    Head.Bounced = true;
    FakeBalancer *B = running(Action.Balancer);
    if (!B)
      return;
    later([this, B, Head, From = H.Entry.Packets] {
      if (B->Running)
        carryOut(*B, B->Core->returned(Head, "bytes", From, Now), Head);
    });
  }
  void receive(FakeHost &H, const PacketHead &Head) {
    FakeUpstream &U = H.Up;
    const FlowId Flow = Head.fromCaller();
    if (U.Starting) {
      if (const FakeHost *Holder = holder(Flow); Holder && Holder != &H)
        fail("starting upstream reset a flow that another one holds: " +
             toString(Flow));
      return;
    }
    if (!U.Alive)
      return;
    if (Head.opens()) {
      checkOpening(H, Flow);
      U.Opening.insert(Flow);
      U.Syns.push_back(Now);
      PacketHead Reply;
      Reply.Syn = true;
      Reply.Ack = true;
      return answer(H, Flow, Reply);
    }
    if (U.Opening.count(Flow) && !holder(Flow))
      U.Open.insert(Flow);
    if (!U.Open.count(Flow)) {
      ++U.UnheldPackets;
      PacketHead Back = Head;
      Back.Bounced = true;
      return gate(H, H.PacketGate->fromUpstream(Back, Now), Back);
    }
    PacketHead Reply;
    Reply.Ack = true;
    const bool Fails = U.FailsOfTen > 0 && Rng() % 10 < U.FailsOfTen;
    if (Fails && U.FailsSilently)
      return;
    Reply.Reset = Fails;
    Reply.PayloadBytes = Fails ? 0 : 100;
    answer(H, Flow, Reply);
  }
  void answer(FakeHost &H, const FlowId &Flow, PacketHead Reply) {
    Reply.Source = Flow.Route;
    Reply.Destination = Flow.Caller;
    gate(H, H.PacketGate->fromUpstream(Reply, Now), Reply);
  }
  void checkOpening(const FakeHost &H, const FlowId &Flow) {
    const Route *Target = H.Config.manifest().routeAt(Flow.Route);
    if (!Target || Target->Service != H.Up.Service)
      fail("flow opened at an upstream of another service: " + toString(Flow));
    if (H.Config.isEvacuated(H.Entry.Zone))
      fail("flow opened in an evacuated zone: " + toString(Flow));
    if (H.Up.Draining && H.UpstreamState->intake(Now) == Intake::Draining)
      fail("flow opened at a draining upstream: " + toString(Flow));
    if (Now >= H.Up.ColdUntil)
      return;
    const auto Lately =
        std::count_if(H.Up.Syns.begin(), H.Up.Syns.end(),
                      [&](TimePoint T) { return Now - T < 1s; });
    if (Lately + 1 > 5)
      fail("new flows exceed the limit of a cold upstream: " + H.Entry.Name);
  }

  void tick() {
    NextTick_ = Now + 100ms;
    ++Ticks_;
    for (FakeHost &H : Hosts)
      if (H.Running) {
        H.UpstreamState->tick(Now);
        H.PacketGate->tick(Now);
        report(H);
        if (Ticks_ % 8 == 0)
          beat(H);
      }
    for (FakeBalancer &B : Balancers)
      if (B.Running) {
        carryOut(B, B.Core->tick(Now));
        if (Ticks_ % 5 == 0)
          ping(B);
      }
  }
  /// Sends a pong to all balancers if the intake state has changed.
  void report(FakeHost &H) {
    const Intake State = H.UpstreamState->intake(Now);
    if (std::exchange(H.Reported, State) == State)
      return;
    for (FakeBalancer &B : Balancers)
      pong(B, H);
  }
  void ping(FakeBalancer &B) {
    for (const auto &[Name, A] : B.Agents->agents()) {
      B.Agents->onPingSent(*A, Now);
      later([this, &B, Name = Name] {
        if (FakeHost *H = running(Name))
          pong(B, *H);
      });
    }
  }
  void pong(FakeBalancer &B, FakeHost &H) {
    Pong P;
    P.Name = H.Entry.Name;
    P.Service = H.Entry.Service;
    P.State = H.UpstreamState->intake(Now);
    P.ColdFor = H.UpstreamState->coldFor(Now);
    P.Slots = 4;
    P.OpenFlows = H.PacketGate->openFlows();
    P.Busy = H.PacketGate->busy(Now);
    P.Failing = H.PacketGate->failing();
    later([this, &B, P] {
      if (B.Running)
        B.Agents->onPong(P, Now);
    });
  }

  std::multimap<TimePoint, std::function<void()>> Events_;
  TimePoint NextTick_{};
  uint64_t Ticks_ = 0;
  uint32_t LastCaller_ = 0;
};

} // namespace dragonflystall::opaque::test

#endif
