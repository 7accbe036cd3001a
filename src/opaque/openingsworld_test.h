// A simulation in virtual time of one balancer with hedged openings, agents
// with their upstreams, and callers that open a flow for one request each.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPENINGSWORLD_TEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPENINGSWORLD_TEST_H

#include "opaque/gate.h"
#include "opaque/steering.h"

#include <deque>
#include <fmt/format.h>
#include <memory>
#include <set>

namespace dragonflystall::opaque::test {

/// Unlike the upstreams of Simulation, one opens a flow only if the caller
/// acknowledges its own SYN-ACK.
struct OpeningHost {
  AgentEntry Entry;
  Configuration Config;
  std::unique_ptr<Upstream> UpstreamState;
  std::unique_ptr<Gate> PacketGate;
  int64_t Started = 1;
  int64_t Beats = 0;
  bool Alive = true; ///< The upstream; its agent always runs.
  Duration Slowness{};
  std::map<FlowId, uint32_t> Opening; ///< Sequence numbers of SYN-ACKs.
  std::set<FlowId> Open;
};

struct OpeningCaller {
  FlowId Flow;
  TimePoint Started{};
  std::optional<uint32_t> Acknowledged; ///< Set when the flow opened for it.
  std::optional<Duration> OpenedAfter;
  bool Answered = false;
  bool Reset = false;
  bool Ended = false;            ///< The attempt or the request.
  size_t SynsReceived = 0;       ///< By upstreams.
  std::set<std::string> Reached; ///< The agents of these upstreams.
  /// Delay of the SYN-ACK of the upstreams in the order in which they receive
  /// the SYN; std::nullopt: none is sent. Others answer as their host does.
  std::vector<std::optional<Duration>> Handshakes;
  /// Which of these return the SYN instead, after the delay.
  std::set<size_t> Returned;
};

class OpeningsWorld {
public:
  static constexpr Duration CallerWay = 3ms;
  static constexpr Duration AgentWay = 1ms;
  /// From the placing of a SYN to the caller's next packet.
  static constexpr Duration RoundTrip = 2 * (CallerWay + AgentWay);
  static constexpr uint32_t Slots = 4;
  const Endpoint RouteAddress{0x0a000001, 443};
  const Endpoint BalancerAddress{0x0a020001, 7000};

  OpeningsWorld(uint64_t Seed, size_t HostCount, double Percent)
      : Rng(Seed), Percent_(Percent) {
    SharedManifest.Version = 1;
    SharedManifest.Routes[RouteAddress] = {
        {{"desk", 1}}, 1500ms, 1, 200ms, RequestKind::Idempotent};
    SharedManifest.Services["desk"] = {0};
    for (size_t I = 0; I < HostCount; ++I)
      addHost();
    startBalancer();
    run(5s);
  }

  Random Rng;
  TimePoint Now{1000s};
  Manifest SharedManifest;
  std::deque<OpeningHost> Hosts;
  Configuration Config; ///< Of the balancer.
  std::unique_ptr<Directory> Agents;
  std::unique_ptr<Steering> Core;
  std::map<FlowId, OpeningCaller> Callers;
  double Loss = 0;
  std::string BrokenInvariant; ///< The first one.
  std::vector<HedgeDecision> Decisions;
  std::array<size_t, SteerReasonNames.size()> Reasons{};

  void setPercent(double Percent, bool AllKinds = false) {
    Percent_ = Percent;
    Core->setHedgeLimits({Percent, AllKinds});
  }
  /// Replaces the balancer by one without any state.
  void startBalancer() {
    Config = Configuration();
    Config.history().onFirstStart(Now);
    Config.offer(SharedManifest, Continuity::Gap, Now);
    Core.reset();
    Agents = std::make_unique<Directory>("zone-0", Rng());
    Core = std::make_unique<Steering>(Config, *Agents, 20000, Now);
    for (const OpeningHost &Host : Hosts)
      Agents->list(Host.Entry, {1, 1}, Now);
    Core->onAgentsListed({1, 1}, Now);
    Core->setHedgeLimits({Percent_, false});
    HedgeTimerRuns_ = false;
    Requests_.clear();
    Hedges_.clear();
    ping();
  }
  void endUpstream(OpeningHost &Host) {
    Host.Alive = false;
    Host.Open.clear();
    Host.Opening.clear();
  }
  void restartUpstream(OpeningHost &Host) {
    endUpstream(Host);
    Host.Alive = true;
    ++Host.Started;
    Host.Beats = 0;
    beat(Host);
  }
  /// Begins a request on a new flow.
  OpeningCaller &call() {
    const FlowId Flow = {{0x64000000 + ++LastCaller_, 4000}, RouteAddress};
    OpeningCaller &Caller = Callers[Flow];
    Caller.Flow = Flow;
    Caller.Started = Now;
    sendSyn(Flow, 0);
    at(Now + 200ms, [this, Flow] { sendSyn(Flow, 1); });
    at(Now + 600ms, [this, Flow] { sendSyn(Flow, 2); });
    at(Now + 1400ms, [this, Flow] {
      if (!Callers[Flow].Acknowledged)
        Callers[Flow].Ended = true;
    });
    return Caller;
  }
  /// New flows at a constant rate.
  void load(size_t PerSecond, Duration Length) {
    const TimePoint End = Now + Length;
    while (Now < End) {
      call();
      run(Duration(1s) / PerSecond);
    }
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
      Now = Next;
      const auto Event = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Event();
    }
    Now = End;
  }

  uint64_t count(OpeningHedgeResult R) const {
    const auto Counts = Core->openings().counts(Now);
    const auto It = Counts.find("desk");
    return It == Counts.end() ? 0 : It->second.Flows[static_cast<size_t>(R)];
  }
  size_t count(SteerReason R) const { return Reasons[static_cast<size_t>(R)]; }
  /// Flows of which upstreams received the SYN more than once.
  size_t reopened() const {
    return std::count_if(Callers.begin(), Callers.end(), [](const auto &C) {
      return C.second.SynsReceived > 1;
    });
  }
  /// Flows that did not open within the time.
  size_t openedLaterThan(Duration Limit) const {
    return std::count_if(Callers.begin(), Callers.end(), [&](const auto &C) {
      return C.second.OpenedAfter.value_or(Limit + 1s) > Limit;
    });
  }
  OpeningHost *holder(const FlowId &Flow) {
    for (OpeningHost &Host : Hosts)
      if (Host.Open.count(Flow))
        return &Host;
    return nullptr;
  }
  /// The first host with a copy of the flow's SYN.
  OpeningHost *opening(const FlowId &Flow) {
    for (OpeningHost &Host : Hosts)
      if (Host.Opening.count(Flow))
        return &Host;
    return nullptr;
  }
  void beat(OpeningHost &Host) {
    if (!Host.Alive)
      return;
    Heartbeat Beat;
    Beat.Id = fmt::format("{}-{}", Host.Entry.Name, Host.Started);
    Beat.Service = "desk";
    Beat.Address = {Host.Entry.Packets.Ip, 8000};
    Beat.Slots = Slots;
    Beat.Sequence = ++Host.Beats;
    Beat.Started = Host.Started;
    const HeartbeatVerdict Verdict = Host.UpstreamState->onHeartbeat(Beat, Now);
    if (Verdict == HeartbeatVerdict::TakenNewStart)
      Host.PacketGate->forgetFlows(Now);
    else if (Verdict == HeartbeatVerdict::TakenRunning)
      Host.PacketGate->onUnseenStart(Now);
  }

private:
  void fail(std::string Message) {
    if (BrokenInvariant.empty())
      BrokenInvariant = std::move(Message);
  }
  void at(TimePoint When, std::function<void()> Callback) {
    Events_.emplace(When, std::move(Callback));
  }
  /// Delivers a packet unless it is lost, up to 0.5 ms late.
  void later(Duration Way, std::function<void()> Callback) {
    if (!chance(Rng, Loss))
      at(Now + Way + std::chrono::microseconds(Rng() % 500),
         std::move(Callback));
  }
  void addHost() {
    OpeningHost &Host = Hosts.emplace_back();
    const uint32_t Index = Hosts.size();
    Host.Entry = {fmt::format("host-{}", Index),
                  "desk",
                  fmt::format("zone-{}", Index % 3),
                  {0x0a010000 + Index, 7000},
                  {0x0a010000 + Index, 7001}};
    Host.Config.history().onFirstStart(Now);
    Host.Config.offer(SharedManifest, Continuity::Gap, Now);
    Host.Config.evacuations().offer({{1, 1}, {}}, Now);
    Host.UpstreamState = std::make_unique<Upstream>(
        UpstreamSettings{{Host.Entry.Packets.Ip, 8000},
                         Host.Entry.Zone,
                         2s,
                         800ms,
                         1.5,
                         5,
                         "desk"},
        Host.Config, Now);
    Host.PacketGate =
        std::make_unique<Gate>(Host.Config, *Host.UpstreamState,
                               agentId(Host.Entry.Name), "desk", 1000, Now);
    beat(Host);
  }

  // The caller.
  void sendSyn(const FlowId &Flow, uint32_t Copy) {
    const OpeningCaller &Caller = Callers[Flow];
    if (Caller.Acknowledged || Caller.Ended)
      return;
    PacketHead Head;
    Head.Source = Flow.Caller;
    Head.Destination = Flow.Route;
    Head.Syn = true;
    Head.Acknowledged = Copy;
    send(Head);
  }
  void sendData(const FlowId &Flow) {
    const OpeningCaller &Caller = Callers[Flow];
    if (Caller.Ended || Now - Caller.Started > 10s)
      return;
    PacketHead Head;
    Head.Source = Flow.Caller;
    Head.Destination = Flow.Route;
    Head.Ack = true;
    Head.Sequence = 1;
    Head.Acknowledged = *Caller.Acknowledged + 1;
    send(Head);
    Head.PayloadBytes = 10;
    send(Head);
    at(Now + 200ms, [this, Flow] { sendData(Flow); });
  }
  void toCaller(const PacketHead &Head) {
    OpeningCaller &Caller = Callers[Head.toCaller()];
    if (Caller.Ended)
      return;
    if (Head.Syn && !Caller.Acknowledged) {
      Caller.Acknowledged = Head.Sequence;
      Caller.OpenedAfter = Now - Caller.Started;
      sendData(Caller.Flow);
    }
    if (Head.PayloadBytes > 0)
      Caller.Answered = Caller.Ended = true;
  }
  void resetCaller(const FlowId &Flow, uint32_t Sequence) {
    OpeningCaller &Caller = Callers[Flow];
    // A caller ignores a reset outside of its window as an old packet.
    if (Caller.Ended || (Caller.Acknowledged && Sequence == 0))
      return;
    if (holder(Flow))
      fail("reset of an open flow " + toString(Flow));
    Caller.Reset = Caller.Ended = true;
  }

  // The balancer.
  void send(const PacketHead &Head) {
    later(CallerWay, [this, Head] {
      if (Head.opens() && Head.Acknowledged == 0)
        Requests_.push_back(Now);
      carryOut(Core->fromCaller(Head, "bytes", Now), Head);
      scheduleHedges();
    });
  }
  void scheduleHedges() {
    if (HedgeTimerRuns_ || !Core->openings().hasPending())
      return;
    HedgeTimerRuns_ = true;
    at(Now + 5ms, [this, For = Core.get()] {
      if (For != Core.get())
        return;
      HedgeTimerRuns_ = false;
      for (HedgeAction &Hedge : Core->hedge(Now)) {
        Decisions.push_back(Hedge.Decision);
        if (!Hedge.Decision.Second)
          continue;
        checkLimit();
        carryOut(Hedge.Action, Hedge.Decision.Syn.Head);
      }
      scheduleHedges();
    });
  }
  void checkLimit() {
    Hedges_.push_back(Now);
    const auto Lately = [&](const std::deque<TimePoint> &Times) {
      return std::count_if(Times.begin(), Times.end(),
                           [&](TimePoint T) { return Now - T < 60s; });
    };
    if (100.0 * static_cast<double>(Lately(Hedges_)) >
        Percent_ * static_cast<double>(Lately(Requests_)))
      fail("more hedges than the limit allows");
  }
  void carryOut(const SteerAction &Action, const PacketHead &Head) {
    ++Reasons[static_cast<size_t>(Action.Reason)];
    if (Action.Disposition == SteerAction::Kind::Reset)
      later(CallerWay,
            [this, Flow = Head.fromCaller(), Sequence = Action.ResetSequence] {
              resetCaller(Flow, Sequence);
            });
    for (const Agent *A : Action.QueriedAgents)
      later(AgentWay, [this, Name = A->Entry.Name, Flow = Head.fromCaller()] {
        answerFind(Name, Flow);
      });
    if (Action.Disposition != SteerAction::Kind::Forward)
      return;
    PacketHead Sent = Head;
    Sent.Bounced = false;
    Sent.Echo = Action.Forwarding.encode();
    later(AgentWay, [this, Name = Action.Target->Entry.Name, Sent] {
      OpeningHost &Host = host(Name);
      gate(Host, Host.PacketGate->fromBalancer(Sent, BalancerAddress, Now),
           Sent);
    });
  }
  void carryOut(const std::vector<DelayedAction> &Actions) {
    for (const DelayedAction &Late : Actions)
      carryOut(Late.Action, Late.Packet.Head);
    if (!Core->beginRead(Now))
      return;
    at(Now + 2ms, [this, Reader = Core.get()] {
      if (Reader == Core.get())
        carryOut(Reader->onAgentsRead(Now));
    });
  }
  void located(const Located &Answer) {
    later(AgentWay, [this, Answer] { carryOut(Core->onLocated(Answer, Now)); });
  }

  // The agents and upstreams.
  OpeningHost &host(const std::string &Name) {
    return *std::find_if(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
      return Host.Entry.Name == Name;
    });
  }
  void answerFind(const std::string &Name, const FlowId &Flow) {
    if (const auto Verdict = host(Name).PacketGate->holding(Flow, Now))
      located({Name, Flow, *Verdict, {}, Config.manifest().Version, 1});
  }
  void gate(OpeningHost &Host, const GateAction &Action, PacketHead Head) {
    if (Action.AnnounceHolder)
      located({Host.Entry.Name, Head.toCaller(), Holding::Holds});
    switch (Action.Disposition) {
    case GateAction::Kind::ToUpstream:
      return receive(Host, Head);
    case GateAction::Kind::ToCaller:
      return later(CallerWay + AgentWay, [this, Head] { toCaller(Head); });
    case GateAction::Kind::ToBalancer:
      Head.Echo = Action.Forwarding.encode();
      Head.Bounced = true;
      return later(AgentWay, [this, Head, From = Host.Entry.Packets] {
        carryOut(Core->onReturned(Head, "bytes", From, Now), Head);
        carryOut(std::vector<DelayedAction>());
      });
    default:
      return;
    }
  }
  void bounce(OpeningHost &Host, PacketHead Head) {
    Head.Bounced = true;
    gate(Host, Host.PacketGate->fromUpstream(Head, Now), Head);
  }
  void answer(OpeningHost &Host, const FlowId &Flow, PacketHead Reply) {
    Reply.Ack = true;
    Reply.Source = Flow.Route;
    Reply.Destination = Flow.Caller;
    gate(Host, Host.PacketGate->fromUpstream(Reply, Now), Reply);
  }
  void receive(OpeningHost &Host, const PacketHead &Head) {
    const FlowId Flow = Head.fromCaller();
    if (!Host.Alive)
      return;
    if (Head.opens())
      return receiveSyn(Host, Head);
    const auto Opening = Host.Opening.find(Flow);
    if (Opening != Host.Opening.end() &&
        Head.Acknowledged == Opening->second + 1 && !Host.Open.count(Flow)) {
      if (holder(Flow))
        fail("flow open at two upstreams: " + toString(Flow));
      Host.Open.insert(Flow);
    }
    if (!Host.Open.count(Flow))
      return bounce(Host, Head);
    if (Head.PayloadBytes == 0)
      return;
    PacketHead Reply;
    Reply.PayloadBytes = 100;
    answer(Host, Flow, Reply);
  }
  void receiveSyn(OpeningHost &Host, const PacketHead &Head) {
    const FlowId Flow = Head.fromCaller();
    OpeningCaller &Caller = Callers[Flow];
    const size_t Order = Caller.SynsReceived++;
    Caller.Reached.insert(Host.Entry.Name);
    std::optional<Duration> Wait = Host.Slowness;
    if (Order < Caller.Handshakes.size())
      Wait = Caller.Handshakes[Order];
    if (Caller.Returned.count(Order))
      return at(Now + *Wait, [this, &Host, Head] { bounce(Host, Head); });
    // A repeated SYN gets the same answer.
    const auto [It, IsNew] = Host.Opening.try_emplace(Flow, LastSequence_ + 1);
    LastSequence_ += IsNew ? 1000 : 0;
    if (!Wait)
      return;
    at(Now + *Wait, [this, &Host, Flow, Sequence = It->second] {
      if (!Host.Alive || !Host.Opening.count(Flow))
        return;
      PacketHead Reply;
      Reply.Syn = true;
      Reply.Sequence = Sequence;
      answer(Host, Flow, Reply);
    });
  }

  void tick() {
    NextTick_ = Now + 100ms;
    ++Ticks_;
    for (OpeningHost &Host : Hosts) {
      Host.UpstreamState->tick(Now);
      Host.PacketGate->tick(Now);
      if (Ticks_ % 8 == 0)
        beat(Host);
    }
    carryOut(Core->tick(Now));
    if (Ticks_ % 5 == 0)
      ping();
  }
  void ping() {
    for (const auto &[Name, A] : Agents->agents()) {
      Agents->onPingSent(*A, Now);
      later(AgentWay, [this, Name = Name] { pong(host(Name)); });
    }
  }
  void pong(OpeningHost &Host) {
    Pong Message;
    Message.Name = Host.Entry.Name;
    Message.Service = "desk";
    Message.State = Host.UpstreamState->intake(Now);
    Message.Slots = Slots;
    Message.OpenFlows = Host.PacketGate->openFlows();
    Message.Busy = Host.PacketGate->busy(Now);
    later(AgentWay, [this, Message] { Agents->onPong(Message, Now); });
  }

  double Percent_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  /// Of the present balancer, for an exact check of its limit.
  std::deque<TimePoint> Requests_;
  std::deque<TimePoint> Hedges_;
  TimePoint NextTick_{};
  uint64_t Ticks_ = 0;
  bool HedgeTimerRuns_ = false;
  uint32_t LastCaller_ = 0;
  uint32_t LastSequence_ = 5000;
};

} // namespace dragonflystall::opaque::test

#endif
