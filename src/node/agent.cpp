// The agent process.
#include "node/agent.h"

#include "platform/packetformat.h"

#include <algorithm>

namespace dragonflystall::node {

namespace {

using opaque::GateAction;
using opaque::GateReason;

constexpr size_t MostFlows = 4000;
/// A balancer that has not asked for so long is forgotten.
constexpr Duration AskerTimeout = 3s;
/// How often a seed is told of an agent that nobody asks.
constexpr Duration HelloInterval = 500ms;
/// How long a stopping agent tries to remove its entry.
constexpr Duration LeaveTimeout = 1s;
/// How long it stays when its entry is to remain: answers that are under way
/// still pass.
constexpr Duration StopDelay = 200ms;
constexpr Duration StoreTimeout = 2s;
/// Shares of failed requests at which the log says so, and says that it ends.
constexpr double FailingBegins = 0.2;
constexpr double FailingEnds = 0.1;

} // namespace

Agent::Agent(const Settings &Initial, SettingsReader Read)
    // There are many agents: they watch at a tenth of the cost, and balancers
    // tell them of what such a watch brings late.
    : Process(Initial, std::move(Read), "agent",
              {Initial.Store, Initial.Seeds,
               platform::Consistency::Serializable, /*AlwaysAskSeeds=*/false}),
      Upstream_({Initial.Upstream, Initial.Zone, Initial.AddressReuseAfter,
                 Initial.HeartbeatInterval, Initial.ColdFactor,
                 Initial.ColdSlack},
                config(), Shared_.now()),
      Gate_(config(), Upstream_, Initial.Service, MostFlows, Shared_.now()),
      Registration_(Shared_.Rng()),
      StoreChannel_(Shared_.Base.get(), Initial.Store),
      ResponseTimes_(Shared_.Counts.histogram(
          {"dragonflystall_upstream_response_seconds",
           "From a request, or the SYN before it, to the first answer.", ""})),
      OpenFlows_(Shared_.Counts.gauge(
          {"dragonflystall_flows", "Flows seen lately.", ""})),
      BusyThousandths_(
          Shared_.Counts.gauge({"dragonflystall_busy_thousandths",
                                "Requests in progress, a thousand each.", ""})),
      FailingThousandths_(Shared_.Counts.gauge(
          {"dragonflystall_failing_thousandths",
           "Requests of a thousand that failed lately.", ""})) {
  for (size_t I = 0; I < Gated_.size(); ++I)
    Gated_[I] = &Shared_.Counts.counter(
        {"dragonflystall_packets_gated_total", "Packets by what was decided.",
         fmt::format("reason=\"{}\"", opaque::GateReasonNames[I])});
  FromBalancers_ = &bindUdp(
      Settings_.Packets,
      [this](Endpoint From, std::string_view Bytes) { onPacket(From, Bytes); });
  FromUpstream_ =
      &bindUdp(Settings_.Outbound, [this](Endpoint, std::string_view Bytes) {
        onUpstreamPacket(Bytes);
      });
  listenHttp(Settings_.Control);
}

void Agent::wantEntry() {
  EntryDropped_ = false;
  Registration_.want(opaque::AgentEntry{Settings_.Name, Gate_.service(),
                                        Settings_.Zone, Settings_.Packets,
                                        Settings_.PeerControl});
}

void Agent::onPacket(Endpoint From, std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Shared_.now();
  const GateAction Action = Gate_.fromBalancer(*Head, From, Now);
  Gated_[static_cast<size_t>(Action.Why)]->add();
  if (Action.What == GateAction::Kind::ToUpstream) {
    FromUpstream_->send(Settings_.Upstream, Bytes);
    if (Action.Why == GateReason::Admitted)
      Shared_.log(LogClass::Routine, "flow-admitted")
          .text("flow", toString(Head->fromCaller()))
          .text("upstream", Upstream_.id())
          .text("balancer", toString(From))
          .number("manifest", config().manifest().Version);
    return;
  }
  logRefusal(*Head, Action, From, Now);
  if (Action.What != GateAction::Kind::ToBalancer)
    return;
  const platform::RewrittenPacket Packet(Bytes, Action.Way.encode(),
                                         /*Bounced=*/true);
  FromBalancers_->send(Action.Balancer, Packet.bytes());
}

void Agent::logRefusal(const opaque::PacketHead &Head, const GateAction &Action,
                       Endpoint From, TimePoint Now) {
  Shared_.log(LogClass::Notable, "packet-refused")
      .text("flow", toString(Head.fromCaller()))
      .text("reason", name(Action.Why))
      .text("intake", name(intake(Now)))
      .text("balancer", toString(From))
      .text("upstream", Upstream_.id())
      .number("syn", Head.Syn)
      .number("manifest", config().manifest().Version)
      .number("evacuations", config().evacuations().Revision);
}

void Agent::onUpstreamPacket(std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Shared_.now();
  const GateAction Action = Gate_.fromUpstream(*Head, Now);
  Gated_[static_cast<size_t>(Action.Why)]->add();
  if (Action.What == GateAction::Kind::ToCaller)
    FromBalancers_->send({Head->Destination.Ip, Settings_.Packets.Port}, Bytes);
  else if (Action.What == GateAction::Kind::ToBalancer)
    FromBalancers_->send(Action.Balancer, Bytes);
  if (Action.ResponseTime)
    ResponseTimes_.record(*Action.ResponseTime);
  if (Action.TellHolder)
    sendControl({Action.Balancer.Ip, Settings_.PeerControl.Port},
                opaque::Located{Settings_.Name, Head->toCaller(),
                                opaque::Holding::Holds});
}

HttpResponse Agent::onRequest(const HttpRequest &Request) {
  const auto Call = platform::decodeUpstreamCall(Request);
  if (!Call)
    return emptyAnswer(HttpStatus::NotFound);
  if (const auto *Leave = std::get_if<platform::LeaveCall>(&*Call))
    return onLeave(Leave->Id);
  const auto &Beat = std::get<platform::HeartbeatCall>(*Call).Beat;
  if (Beat)
    return onHeartbeat(*Beat);
  Shared_.log(LogClass::Notable, "heartbeat-unreadable")
      .text("target", Request.Target);
  return emptyAnswer(HttpStatus::BadRequest);
}

HttpResponse Agent::onHeartbeat(const opaque::Heartbeat &Beat) {
  const TimePoint Now = Shared_.now();
  const opaque::HeartbeatVerdict Verdict = Upstream_.onHeartbeat(Beat, Now);
  if (Verdict == opaque::HeartbeatVerdict::TakenNewStart)
    Gate_.forgetFlows(Now);
  const bool Heard = Verdict == opaque::HeartbeatVerdict::TakenNewStart ||
                     Verdict == opaque::HeartbeatVerdict::TakenRunning ||
                     Verdict == opaque::HeartbeatVerdict::Taken;
  if (Heard && (!Registration_.wanted() ||
                Registration_.wanted()->Service != Gate_.service()))
    wantEntry();
  if (Verdict != opaque::HeartbeatVerdict::Taken)
    Shared_.log(LogClass::State, "heartbeat")
        .text("upstream", Beat.Id)
        .text("service", Beat.Service)
        .text("verdict", name(Verdict))
        .number("started", Beat.Started)
        .number("sequence", Beat.Sequence)
        .age("cold_ms", Beat.ColdFor);
  pollRegistration(Now);
  reportIntake(Now);
  flush();
  return emptyAnswer(HttpStatus::Ok);
}

HttpResponse Agent::onLeave(const std::string &Id) {
  const TimePoint Now = Shared_.now();
  const bool Current = Upstream_.onLeave(Id);
  Shared_.log(LogClass::State, "upstream-left")
      .text("upstream", Id)
      .number("current", Current);
  if (Current)
    dropEntry();
  pollRegistration(Now);
  reportIntake(Now);
  flush();
  return emptyAnswer(HttpStatus::Ok);
}

void Agent::onEvacuations() {
  Upstream_.onEvacuationsChanged();
  reportIntake(Shared_.now());
}

opaque::Intake Agent::intake(TimePoint Now) const {
  return stopping() ? opaque::Intake::Stopping : Upstream_.intake(Now);
}

opaque::Pong Agent::pong(uint64_t Number, TimePoint Now) {
  opaque::Pong P;
  P.Name = Settings_.Name;
  P.Service = Gate_.service();
  P.Number = Number;
  P.Knows = knowledgeOf(config());
  P.State = intake(Now);
  P.ColdFor = Upstream_.coldFor(Now);
  P.Slots = Upstream_.slots();
  P.OpenFlows = Gate_.openFlows();
  P.Busy = Gate_.busy(Now);
  P.Failing = Gate_.failing();
  P.Http = Settings_.Peers;
  return P;
}

void Agent::reportIntake(TimePoint Now) {
  const opaque::Intake State = intake(Now);
  if (State == Reported_)
    return;
  Shared_.log(LogClass::State, "intake")
      .text("state", name(State))
      .text("before", name(Reported_))
      .text("upstream", Upstream_.id())
      .number("cold_limit", Upstream_.coldLimit())
      .number("manifest", config().manifest().Version);
  Reported_ = State;
  for (const Asker &A : Askers_)
    sendControl(A.Control, pong(0, Now));
}

void Agent::onControl(const opaque::ControlMessage &Message, Endpoint From,
                      TimePoint Now) {
  if (const auto *F = std::get_if<opaque::Find>(&Message)) {
    if (const auto Verdict = Gate_.holding(F->Flow, Now))
      sendControl(From, opaque::Located{Settings_.Name, F->Flow, *Verdict});
    return;
  }
  const auto *P = std::get_if<opaque::Ping>(&Message);
  if (!P || P->Name != Settings_.Name)
    return;
  const auto Known =
      std::find_if(Askers_.begin(), Askers_.end(),
                   [From](const Asker &A) { return A.Control == From; });
  if (Known != Askers_.end())
    Known->LastPing = Now;
  else
    Askers_.push_back({From, Now});
  if (P->MissingAsOf != 0)
    Registration_.onMissing(P->MissingAsOf);
  Config_.onPeerKnows(P->Knows, P->Http, Now);
  sendControl(From, pong(P->Number, Now));
}

void Agent::watchOutcomes() {
  const double Share = Gate_.failing();
  FailingThousandths_.set(static_cast<int64_t>(Share * 1000));
  const bool Failing = Share > (Failing_ ? FailingEnds : FailingBegins);
  if (Failing == Failing_)
    return;
  Failing_ = Failing;
  Shared_.log(LogClass::State, Failing ? "upstream-failing" : "upstream-mended")
      .text("upstream", Upstream_.id())
      .number("failed_share", Share);
}

void Agent::dropEntry() {
  if (EntryDropped_)
    return;
  EntryDropped_ = true;
  Registration_.want(std::nullopt);
  // An earlier start of this agent may have left one.
  if (!Registration_.stored())
    Registration_.doubt();
}

void Agent::pollRegistration(TimePoint Now) {
  using Call = opaque::Registration::Call;
  const auto Due = Registration_.next(Now);
  if (!Due)
    return;
  HttpRequest Request;
  switch (*Due) {
  case Call::Create:
    Request = platform::createCall(*Registration_.wanted());
    break;
  case Call::Read:
    Request = platform::readCall(platform::ObjectKind::Agent, Settings_.Name);
    break;
  case Call::Replace:
    Request = platform::replaceCall(*Registration_.wanted(),
                                    Registration_.revision());
    break;
  case Call::Remove:
    Request = platform::removeCall(platform::ObjectKind::Agent, Settings_.Name,
                                   Registration_.revision());
    break;
  }
  StoreChannel_.request(Request, StoreTimeout,
                        [this, What = *Due](const auto &Result) {
                          onRegistrationAnswer(What, Result);
                        });
}

void Agent::onRegistrationAnswer(
    opaque::Registration::Call What,
    const tl::expected<HttpResponse, HttpFailure> &Result) {
  const TimePoint Now = Shared_.now();
  if (!Result)
    return Registration_.onUnknown(Now);
  const int Status = Result->Status;
  const bool Removed =
      What == opaque::Registration::Call::Remove && Result->succeeded();
  if (Status == HttpStatus::NotFound || Removed)
    return Registration_.onAbsent();
  if (!Result->succeeded() && Status != HttpStatus::Conflict)
    return Registration_.onRefused(Now);
  const auto Object = platform::decodeObject(Result->Body);
  if (!Object)
    return Registration_.onUnknown(Now);
  if (const auto Entry = platform::decodeAgent(*Object))
    Registration_.onStored(*Entry, Object->Revision);
  else
    Registration_.onForeign(Object->Revision);
  Shared_.log(LogClass::State, "entry-stored")
      .number("revision", Object->Revision)
      .number("status", Status);
}

void Agent::sayHello(TimePoint Now) {
  if (Registration_.stored() && !Askers_.empty())
    return;
  if (Now < NextHello_ || !Registration_.wanted())
    return;
  NextHello_ = Now + HelloInterval;
  for (Endpoint Seed : Settings_.Seeds)
    sendControl({Seed.Ip, Settings_.PeerControl.Port},
                opaque::Hello{*Registration_.wanted()});
}

void Agent::onTick(TimePoint Now) {
  Upstream_.tick(Now);
  Gate_.tick(Now);
  reportIntake(Now);
  std::erase_if(Askers_, [Now](const Asker &A) {
    return Now - A.LastPing > AskerTimeout;
  });
  OpenFlows_.set(static_cast<int64_t>(Gate_.openFlows()));
  BusyThousandths_.set(static_cast<int64_t>(Gate_.busy(Now) * 1000));
  watchOutcomes();
  if (Upstream_.ended())
    dropEntry();
  pollRegistration(Now);
  sayHello(Now);
  const bool Gone = !Registration_.wanted() && Registration_.settled();
  if (stopping() && (Gone || Now >= ExitAt_))
    finish();
}

void Agent::onStop(TimePoint Now) {
  reportIntake(Now);
  const bool UpstreamGone = Upstream_.left() || Upstream_.ended();
  if (UpstreamGone)
    dropEntry();
  ExitAt_ = Now + (UpstreamGone ? LeaveTimeout : StopDelay);
}

} // namespace dragonflystall::node
