// The balancer process.
#include "node/balancer.h"

#include "platform/packetformat.h"

namespace dragonflystall::node {

namespace {

using opaque::SteerAction;

constexpr Duration PingInterval = 500ms;
/// After a request to stop: the fabric needs two failed probes, half a second
/// apart, until it sends no more; it goes on longer when too few others are
/// left, and is served until it does not.
constexpr Duration LeastStop = 1100ms;
constexpr Duration QuietBeforeExit = 250ms;
/// Before the process would be killed.
constexpr Duration GraceMargin = 500ms;
constexpr Duration RemoveTimeout = 2s;
/// 40 bytes each.
constexpr size_t CachedFlows = 20000;

} // namespace

Balancer::Balancer(const Settings &Initial, SettingsReader Read)
    : Process(Initial, std::move(Read), "balancer",
              {Initial.Store, Initial.Seeds,
               platform::Consistency::Linearizable, /*AlwaysAskSeeds=*/true}),
      Agents_(Initial.Zone, Shared_.Rng()),
      Steering_(config(), Agents_, CachedFlows, Shared_.now()),
      Listed_(Shared_, Health_, Initial.Store, platform::ObjectKind::Agent,
              platform::Consistency::Linearizable,
              {[this](const platform::Page &P, bool First) {
                 if (First)
                   Page_.clear();
                 for (const platform::Object &O : P.Objects)
                   if (auto Entry = platform::decodeAgent(O))
                     Page_.emplace_back(std::move(*Entry), O.Revision);
               },
               [this] {
                 Agents_.listAll(Page_, Shared_.now());
                 Shared_.log(LogClass::State, "agents-listed")
                     .number("count", Page_.size())
                     .number("revision", Listed_.revision());
                 Page_.clear();
                 AgentsKnown_ = true;
                 Steering_.onAgentsListed(Shared_.now());
                 NextPing_ = {};
               },
               [this](const platform::Changes &C) {
                 for (const platform::Change &Event : C.Events)
                   if (Event.Removed)
                     Agents_.unlist(Event.What.Name);
                   else
                     onAgentObject(Event.What);
               }}),
      RemoveChannel_(Shared_.Base.get(), Initial.Store),
      AgentsAlive_(Shared_.Counts.gauge(
          {"dragonflystall_agents_alive", "Agents that answer.", ""})),
      AgentsTotal_(Shared_.Counts.gauge(
          {"dragonflystall_agents", "Agents that are known.", ""})),
      CachedFlows_(Shared_.Counts.gauge({"dragonflystall_flows_cached",
                                         "Flows whose holder is known.", ""})) {
  for (size_t I = 0; I < Steered_.size(); ++I)
    Steered_[I] = &Shared_.Counts.counter(
        {"dragonflystall_packets_steered_total", "Packets by what was decided.",
         fmt::format("reason=\"{}\"", opaque::SteerReasonNames[I])});
  FromCallers_ = &bindUdpBatches(
      Settings_.Packets,
      [this](std::span<const Datagram> Batch) { onCallerBatch(Batch); });
  ToAgents_ =
      &bindUdp(Settings_.Peers, [this](Endpoint From, std::string_view Bytes) {
        onReturnedDatagram(From, Bytes);
      });
  if (Settings_.Control)
    listenHttp(Settings_.Control);
  Listed_.poll(Shared_.now());
}

void Balancer::onAgentObject(const platform::Object &Listed) {
  const auto Entry = platform::decodeAgent(Listed);
  if (!Entry) {
    Shared_.log(LogClass::Notable, "agent-entry-unreadable")
        .text("name", Listed.Name);
    return;
  }
  if (!Agents_.find(Entry->Name))
    NextPing_ = {};
  Agents_.list(*Entry, Listed.Revision, Shared_.now());
  Shared_.log(LogClass::State, "agent-listed")
      .text("agent", Entry->Name)
      .text("service", Entry->Service)
      .number("revision", Listed.Revision);
}

void Balancer::onCallerBatch(std::span<const Datagram> Batch) {
  Heads_.clear();
  for (const Datagram &D : Batch) {
    Heads_.push_back(readHead(D.Bytes));
    if (Heads_.back())
      Steering_.prefetch(*Heads_.back());
  }
  const TimePoint Now = Shared_.now();
  LastCallerPacket_ = Now;
  for (size_t I = 0; I < Batch.size(); ++I) {
    const auto &Head = Heads_[I];
    const std::string_view Bytes = Batch[I].Bytes;
    if (Head)
      carryOut(Steering_.fromCaller(*Head, Bytes, Now), *Head, Bytes, Now);
  }
}

void Balancer::onReturnedDatagram(Endpoint From, std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Shared_.now();
  carryOut(Steering_.returned(*Head, Bytes, From, Now), *Head, Bytes, Now);
}

void Balancer::carryOut(const SteerAction &Action,
                        const opaque::PacketHead &Head, std::string_view Bytes,
                        TimePoint Now) {
  Steered_[static_cast<size_t>(Action.Why)]->add();
  const bool Waits =
      Action.What == SteerAction::Kind::Ask && Action.Asked.empty();
  if (Action.Why != opaque::SteerReason::Held && !Waits)
    logAction(Action, Head, Now);
  if (Action.What == SteerAction::Kind::Reset) {
    const opaque::FlowId Flow = Head.fromCaller();
    FromCallers_->send({Flow.Caller.Ip, Settings_.Packets.Port},
                       platform::encodeReset(Flow, Action.ResetSequence));
  }
  for (const opaque::Agent *Asked : Action.Asked)
    sendControl(Asked->Entry.Control, opaque::Find{Head.fromCaller()});
  if (Action.What != SteerAction::Kind::Forward)
    return;
  const platform::RewrittenPacket Packet(Bytes, Action.Way.encode(),
                                         /*Bounced=*/false);
  ToAgents_->send(Action.To->Entry.Packets, Packet.bytes());
}

void Balancer::carryOut(const std::vector<opaque::LateAction> &Actions,
                        TimePoint Now) {
  for (const opaque::LateAction &Late : Actions)
    carryOut(Late.Action, Late.Packet.Head, Late.Packet.Bytes, Now);
}

void Balancer::logAction(const SteerAction &Action,
                         const opaque::PacketHead &Head, TimePoint Now) {
  const LogClass Class = Action.Why == opaque::SteerReason::Placed
                             ? LogClass::Routine
                             : LogClass::Notable;
  auto Line = Shared_.log(
      Class, Action.What == SteerAction::Kind::Reset  ? "flow-reset"
             : Action.What == SteerAction::Kind::Drop ? "packet-dropped"
             : Action.What == SteerAction::Kind::Ask  ? "flow-searched"
                                                      : "flow-steered");
  Line.text("flow", toString(Head.fromCaller()))
      .text("reason", name(Action.Why))
      .number("manifest", config().manifest().Version)
      .number("echo", Head.Echo)
      .number("queued", Steering_.queuedFlows());
  if (Action.Why == opaque::SteerReason::Lost)
    Line.number("unanswered", Action.Unanswered)
        .number("all_known", Action.AllKnown);
  if (!Action.To)
    return;
  Line.text("agent", Action.To->Entry.Name)
      .text("state", name(Action.To->Last.State))
      .number("busy", Action.To->Last.Busy)
      .number("failing", Action.To->Last.Failing)
      .number("sent_since", Action.To->SentSince);
  if (Action.To->everAnswered())
    Line.age("report_age_ms", Now - Action.To->LastPong);
}

void Balancer::onControl(const opaque::ControlMessage &Message, Endpoint,
                         TimePoint Now) {
  if (const auto *P = std::get_if<opaque::Pong>(&Message)) {
    const opaque::Agent *Known = Agents_.find(P->Name);
    if (!Known)
      return;
    if (!Agents_.answers(*Known, Now) || Known->Last.State != P->State)
      Shared_.log(LogClass::State, "agent-state")
          .text("agent", P->Name)
          .text("state", name(P->State));
    Agents_.onPong(*P, Now);
    Config_.onPeerKnows(P->Knows, P->Http, Now);
  } else if (const auto *L = std::get_if<opaque::Located>(&Message)) {
    carryOut(Steering_.onLocated(*L, Now), Now);
  } else if (const auto *New = std::get_if<opaque::Hello>(&Message)) {
    Agents_.hear(New->Entry, Now);
  }
}

void Balancer::onPeerAgents(const std::vector<opaque::AgentEntry> &Agents) {
  for (const opaque::AgentEntry &Entry : Agents)
    Agents_.hear(Entry, Shared_.now());
  Steering_.onPeerHeard();
  NextPing_ = {};
  AgentsKnown_ = AgentsKnown_ || !Agents.empty();
}

std::vector<opaque::AgentEntry> Balancer::agentsForPeers() const {
  std::vector<opaque::AgentEntry> Result;
  for (const auto &[Name, A] : Agents_.agents())
    Result.push_back(A->Entry);
  return Result;
}

bool Balancer::ready() const { return config().known() && AgentsKnown_; }

void Balancer::ping(TimePoint Now) {
  ++PingNumber_;
  size_t Alive = 0;
  for (const auto &[Name, A] : Agents_.agents()) {
    opaque::Ping Message;
    Message.Name = Name;
    Message.Number = PingNumber_;
    Message.Knows = knowledgeOf(config());
    if (!A->listed() && Listed_.listed())
      Message.MissingAsOf = Listed_.revision();
    Message.Http = Settings_.Peers;
    const bool WasSuspect = Agents_.suspect(*A, Now - PingInterval);
    Agents_.onPingSent(*A, Now);
    sendControl(A->Entry.Control, Message);
    Alive += Agents_.answers(*A, Now);
    if (Agents_.suspect(*A, Now) && !WasSuspect)
      Shared_.log(LogClass::State, "agent-suspected")
          .text("agent", Name)
          .age("silent_ms", opaque::Directory::silentFor(*A, Now));
  }
  AgentsAlive_.set(static_cast<int64_t>(Alive));
  AgentsTotal_.set(static_cast<int64_t>(Agents_.agents().size()));
  CachedFlows_.set(static_cast<int64_t>(Steering_.cachedFlows()));
}

void Balancer::removeDead(TimePoint Now) {
  if (RemoveChannel_.busy() || !Health_.up() || !Listed_.listed())
    return;
  const auto Dead = Agents_.removable(Now);
  if (Dead.empty())
    return;
  // Any balancer may do it; chance keeps all of them from doing it at once.
  const auto &Entry = Dead[Shared_.Rng() % Dead.size()]->Entry;
  const int64_t Revision = Agents_.find(Entry.Name)->Revision;
  Shared_.log(LogClass::State, "agent-removed")
      .text("agent", Entry.Name)
      .number("revision", Revision);
  RemoveChannel_.request(
      platform::removeCall(platform::ObjectKind::Agent, Entry.Name, Revision),
      RemoveTimeout,
      [this](const tl::expected<HttpResponse, HttpFailure> &Result) {
        if (!Result)
          Shared_.log(LogClass::Notable, "agent-remove-unanswered")
              .text("cause", Result.error().Text);
        else if (!Result->succeeded())
          Shared_.log(LogClass::Notable, "agent-remove-refused")
              .number("status", Result->Status);
      });
}

void Balancer::onTick(TimePoint Now) {
  Listed_.poll(Now);
  if (Now >= NextPing_) {
    NextPing_ = Now + PingInterval;
    ping(Now);
    Agents_.expire(Now);
    if (Shared_.Rng() % 8 == 0)
      removeDead(Now);
  }
  carryOut(Steering_.tick(Now), Now);
  if (stopping() && drained(Now))
    finish();
}

bool Balancer::drained(TimePoint Now) const {
  const Duration Stopping = Now - StopAt_;
  if (Stopping >= Settings_.Grace - GraceMargin)
    return true;
  return Stopping >= LeastStop && Now - LastCallerPacket_ >= QuietBeforeExit;
}

} // namespace dragonflystall::node
