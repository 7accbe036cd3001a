// The agent process: sockets, heartbeats of its upstream, and its entry in the
// store.
#include "node/agent.h"

#include "platform/packetformat.h"

#include <algorithm>
#include <utility>

namespace dragonflystall::node {

namespace {

using opaque::GateAction;
using opaque::GateReason;

constexpr size_t MaxFlows = 4000;
/// How often an agent that no balancer pings sends a Hello to the seeds.
constexpr Duration HelloInterval = 500ms;
/// How long a stopping agent tries to remove its entry from the store, once it
/// knows that the upstream is gone.
constexpr Duration LeaveTimeout = 1s;
/// How long a stopping agent whose entry stays in the store keeps running, so
/// that answers in flight still reach their callers.
constexpr Duration StopDelay = 200ms;
/// A stopping agent exits this long before the grace period ends, at which the
/// process would be killed.
constexpr Duration GraceMargin = 500ms;
constexpr Duration StoreTimeout = 2s;
/// Shares of failed requests at which the agent logs that the upstream is
/// failing, and that it has recovered.
constexpr double FailingThreshold = 0.2;
constexpr double RecoveredThreshold = 0.1;

} // namespace

Agent::Agent(const Settings &Initial, SettingsReader ReadSettings)
    // There are many agents, so their watches are serializable, at a tenth of
    // the cost. The pings of balancers reveal changes that such a watch
    // delivers late.
    : Process(Initial, std::move(ReadSettings), "agent",
              {{Initial.Store, Initial.StoreHistory,
                platform::Consistency::Serializable},
               Initial.Seeds,
               /*AlwaysFetchFromSeeds=*/false,
               Initial.MaxFlowAge,
               Initial.FirstStart}),
      Upstream_({Initial.Upstream, Initial.Zone, Initial.AddressReuseAfter,
                 Initial.HeartbeatInterval, Initial.ColdFactor,
                 Initial.ColdSlack, Initial.Service},
                config(), Services_.now()),
      Gate_(config(), Upstream_, agentId(Initial.Name), Initial.Service,
            MaxFlows, Services_.now()),
      Registration_(Services_.Rng()),
      StoreChannel_(Services_.Base.get(), Initial.Store),
      UpstreamProbe_(Services_.Base.get(), Initial.Upstream,
                     [this] { onUpstreamAbsent(); }),
      StoreCalls_(Services_),
      ResponseTimes_(Services_.Counts.histogram(
          {"dragonflystall_upstream_response_seconds",
           "Time from a request, or the SYN before it, to the first answer.",
           ""})),
      WaitingTimes_(Services_.Counts.histogram(
          {"dragonflystall_request_wait_seconds",
           "Time that held requests waited for a slot of the upstream.", ""})),
      OpenFlows_(Services_.Counts.gauge(
          {"dragonflystall_flows", "Flows with recent packets.", ""})),
      BusyThousandths_(
          Services_.Counts.gauge({"dragonflystall_busy_thousandths",
                                  "Requests in progress, times 1000.", ""})),
      FailingThousandths_(Services_.Counts.gauge(
          {"dragonflystall_failing_thousandths",
           "Recently failed requests per thousand.", ""})) {
  for (size_t I = 0; I < PacketsByReason_.size(); ++I)
    PacketsByReason_[I] = &Services_.Counts.counter(
        {"dragonflystall_packets_gated_total",
         "Packets by the reason of the gate's decision.",
         fmt::format("reason=\"{}\"", opaque::GateReasonNames[I])});
  registerWaits();
  Gate_.setZoneLookup([this](Endpoint Balancer) {
    return Balancers_.zoneOf({Balancer.Ip, Settings_.PeerControl.Port});
  });
  BalancerSocket_ = &bindUdp(
      Settings_.Packets,
      [this](Endpoint From, std::string_view Bytes) { onPacket(From, Bytes); });
  UpstreamSocket_ =
      &bindUdp(Settings_.Outbound, [this](Endpoint, std::string_view Bytes) {
        onUpstreamPacket(Bytes);
      });
  listenHttp(Settings_.Control);
  Upstream_.setListed(Listed_);
}

void Agent::registerWaits() {
  for (size_t Rank = 0; Rank < scheduling::MaxPriorities; ++Rank) {
    WaitingRequests_[Rank] = &Services_.Counts.gauge(
        {"dragonflystall_requests_waiting",
         "Requests held at the agent, by priority among the service's.",
         fmt::format("priority=\"{}\"", Rank)});
    for (size_t End = 0; End < scheduling::WaitEndNames.size(); ++End)
      EndedWaits_[Rank][End] = &Services_.Counts.counter(
          {"dragonflystall_requests_held_total",
           "Requests that were held at the agent, by how their wait ended.",
           fmt::format("priority=\"{}\",end=\"{}\"", Rank,
                       scheduling::WaitEndNames[End])});
  }
}

void Agent::requestEntry() {
  EntryRemoved_ = false;
  Registration_.setWanted(opaque::AgentEntry{Settings_.Name, Gate_.service(),
                                             Settings_.Zone, Settings_.Packets,
                                             Settings_.PeerControl});
}

void Agent::onPacket(Endpoint From, std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Services_.now();
  const GateAction Action = Gate_.fromBalancer(*Head, From, Now, Bytes);
  PacketsByReason_[static_cast<size_t>(Action.Reason)]->add();
  if (Action.Disposition == GateAction::Kind::Hold)
    return sendReleased();
  if (Action.Disposition == GateAction::Kind::ToUpstream) {
    UpstreamSocket_->send(Settings_.Upstream, Bytes);
    if (Gate_.hasReleased())
      sendReleased();
    if (Action.Reason == GateReason::Admitted)
      Services_.log(LogClass::Routine, "flow-admitted")
          .text("flow", toString(Head->fromCaller()))
          .text("upstream", Upstream_.id())
          .text("balancer", toString(From))
          .number("manifest", config().manifest().Version);
    return;
  }
  logRefusal(*Head, Action, From, Now);
  if (Action.Disposition != GateAction::Kind::ToBalancer)
    return;
  const platform::RewrittenPacket Packet(Bytes, Action.Forwarding.encode(),
                                         /*Bounced=*/true);
  BalancerSocket_->send(Action.Balancer, Packet.bytes());
}

void Agent::sendReleased() {
  for (const opaque::HeldPacket &Packet : Gate_.takeReleased())
    UpstreamSocket_->send(Settings_.Upstream, Packet.Bytes);
  for (const scheduling::EndedWait &Ended : Gate_.takeEndedWaits())
    recordWait(Ended);
}

void Agent::recordWait(const scheduling::EndedWait &Ended) {
  const uint8_t Rank = Ended.Request.Priority;
  EndedWaits_[Rank][static_cast<size_t>(Ended.End)]->add();
  WaitingTimes_.record(Ended.Waited);
  if (Ended.End != scheduling::WaitEnd::Expired)
    return;
  const scheduling::FlowScheduler &Scheduler = Gate_.scheduler();
  Services_.log(LogClass::Notable, "request-expired")
      .text("flow", toString(Ended.Flow))
      .text("upstream", Upstream_.id())
      .number("priority", Rank)
      .number("zone", Ended.Request.Zone)
      .age("waited_ms", Ended.Waited)
      .age("mean_response_ms", Scheduler.meanResponse())
      .number("running", Scheduler.running())
      .number("waiting", Scheduler.waiting())
      .number("slots", Upstream_.slots())
      .text("intake", name(Upstream_.intake(Services_.now())))
      .number("manifest", config().manifest().Version);
}

void Agent::logRefusal(const opaque::PacketHead &Head, const GateAction &Action,
                       Endpoint From, TimePoint Now) {
  Services_.log(LogClass::Notable, "packet-refused")
      .text("flow", toString(Head.fromCaller()))
      .text("reason", name(Action.Reason))
      .text("intake", name(Upstream_.intake(Now)))
      .text("balancer", toString(From))
      .text("upstream", Upstream_.id())
      .number("syn", Head.Syn)
      .number("manifest", config().manifest().Version)
      .number("evacuations", config().evacuations().revision().Number);
}

void Agent::onUpstreamPacket(std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Services_.now();
  const GateAction Action = Gate_.fromUpstream(*Head, Now);
  PacketsByReason_[static_cast<size_t>(Action.Reason)]->add();
  if (Action.Disposition == GateAction::Kind::ToCaller)
    BalancerSocket_->send({Head->Destination.Ip, Settings_.Packets.Port},
                          Bytes);
  else if (Action.Disposition == GateAction::Kind::ToBalancer)
    BalancerSocket_->send(Action.Balancer, Bytes);
  if (Action.ResponseTime)
    ResponseTimes_.record(*Action.ResponseTime);
  if (Action.ShowsOlderStart)
    Services_.log(LogClass::State, "upstream-older")
        .text("upstream", Upstream_.id())
        .text("flow", toString(Head->toCaller()));
  if (Gate_.hasReleased())
    sendReleased();
  if (Action.AnnounceHolder)
    sendControl({Action.Balancer.Ip, Settings_.PeerControl.Port},
                opaque::Located{Settings_.Name, Head->toCaller(),
                                opaque::Holding::Holds});
}

HttpResponse Agent::onRequest(const HttpRequest &Request) {
  const auto Call = platform::decodeUpstreamCall(Request);
  if (!Call)
    return emptyJsonResponse(HttpStatus::NotFound);
  if (const auto *Leave = std::get_if<platform::LeaveCall>(&*Call))
    return onLeave(Leave->Start);
  const auto &Beat = std::get<platform::HeartbeatCall>(*Call).Beat;
  if (Beat)
    return onHeartbeat(*Beat);
  Services_.log(LogClass::Notable, "heartbeat-unreadable")
      .text("path", pathOf(Request.Target));
  return emptyJsonResponse(HttpStatus::BadRequest);
}

HttpResponse Agent::onHeartbeat(const opaque::Heartbeat &Beat) {
  const TimePoint Now = Services_.now();
  const opaque::HeartbeatVerdict Verdict = Upstream_.onHeartbeat(Beat, Now);
  if (Verdict == opaque::HeartbeatVerdict::TakenNewStart)
    Gate_.forgetFlows(Now);
  else if (Verdict == opaque::HeartbeatVerdict::TakenRunning)
    Gate_.onUnseenStart(Now);
  sendReleased();
  const bool Accepted = Verdict == opaque::HeartbeatVerdict::TakenNewStart ||
                        Verdict == opaque::HeartbeatVerdict::TakenRunning ||
                        Verdict == opaque::HeartbeatVerdict::Taken;
  if (Accepted && (!Registration_.wanted() ||
                   Registration_.wanted()->Service != Gate_.service()))
    requestEntry();
  if (Verdict != opaque::HeartbeatVerdict::Taken)
    Services_.log(LogClass::State, "heartbeat")
        .text("upstream", Beat.Id)
        .text("service", Beat.Service)
        .text("verdict", name(Verdict))
        .number("started", Beat.Started)
        .number("sequence", Beat.Sequence)
        .age("cold_ms", Beat.ColdFor);
  pollRegistration(Now);
  updateListed();
  reportIntake(Now);
  flush();
  return emptyJsonResponse(HttpStatus::Ok);
}

void Agent::onManifest() {
  const TimePoint Now = Services_.now();
  if (Upstream_.onManifest() == opaque::HeartbeatVerdict::TakenNewStart)
    Gate_.forgetFlows(Now);
  sendReleased();
  reportIntake(Now);
}

void Agent::onUpstreamAbsent() {
  Services_.log(LogClass::State, "upstream-absent")
      .text("address", toString(Settings_.Upstream));
  Upstream_.onPortClosed();
  reportIntake(Services_.now());
  flush();
}

HttpResponse Agent::onLeave(const opaque::Incarnation &Start) {
  const TimePoint Now = Services_.now();
  const opaque::LeaveVerdict Verdict = Upstream_.onLeave(Start);
  Services_.log(LogClass::State, "upstream-left")
      .text("upstream", Start.Id)
      .number("started", Start.Born)
      .text("verdict", name(Verdict))
      .text("present", Upstream_.id())
      .number("present_started", Upstream_.start().Born);
  if (Verdict == opaque::LeaveVerdict::Left)
    removeEntry();
  pollRegistration(Now);
  reportIntake(Now);
  flush();
  return emptyJsonResponse(HttpStatus::Ok);
}

void Agent::onEvacuations() {
  Upstream_.onEvacuationsChanged();
  reportIntake(Services_.now());
}

opaque::Pong Agent::pong(Endpoint Balancer, uint64_t Number, TimePoint Now) {
  opaque::Pong Message;
  Message.Name = Settings_.Name;
  Message.Service = Gate_.service();
  Message.Number = Number;
  Message.Versions = configVersionsOf(config());
  Message.State = Upstream_.intake(Now);
  Message.ColdFor = Upstream_.coldFor(Now);
  Message.Slots = Upstream_.slots();
  Message.OpenFlows = Gate_.openFlows();
  Message.Busy = Gate_.busy(Now);
  Message.FailureShare = Gate_.failureShare();
  Message.Http = Settings_.Peers;
  Message.Rank = Balancers_.rankOf(Balancer, Now);
  Message.WorkTime = Gate_.workTime();
  Message.RequestRate = Gate_.requestRate(Now);
  return Message;
}

void Agent::reportIntake(TimePoint Now) {
  const opaque::Intake State = Upstream_.intake(Now);
  if (State == ReportedIntake_)
    return;
  Services_.log(LogClass::State, "intake")
      .text("state", name(State))
      .text("before", name(ReportedIntake_))
      .text("upstream", Upstream_.id())
      .number("cold_limit", Upstream_.coldLimit())
      .number("manifest", config().manifest().Version);
  ReportedIntake_ = State;
  for (Endpoint Balancer : Balancers_.controls())
    sendControl(Balancer, pong(Balancer, 0, Now));
}

void Agent::onControl(const opaque::ControlMessage &Message, Endpoint From,
                      TimePoint Now) {
  if (const auto *Search = std::get_if<opaque::Find>(&Message)) {
    if (const auto Verdict = Gate_.holding(Search->Flow, Now))
      sendControl(From,
                  opaque::Located{
                      Settings_.Name, Search->Flow, *Verdict, NewestEntry_,
                      std::max(NewestManifest_, config().manifest().Version),
                      Era_.at(Now)});
    return;
  }
  const auto *Ping = std::get_if<opaque::Ping>(&Message);
  if (!Ping || Ping->Name != Settings_.Name)
    return;
  Balancers_.onPing(From, Ping->Sender, Now);
  NewestEntry_ = std::max(NewestEntry_, Ping->NewestEntry);
  NewestManifest_ = std::max(NewestManifest_, Ping->Versions.ManifestVersion);
  if (Ping->MissingAsOf.isSet())
    Registration_.onMissing(Ping->MissingAsOf);
  if (Ping->ListedRevision.isSet() &&
      Ping->ListedRevision.Era >= std::max(Health_.era(), NewestEntry_.Era))
    Registration_.onSeenByBalancer(Ping->ListedEntry, Ping->ListedRevision);
  updateListed();
  reportIntake(Now);
  Config_.onPeerVersions(Ping->Versions, Ping->Http, Now);
  sendControl(From, pong(From, Ping->Number, Now));
}

void Agent::updateFailureState() {
  const double Share = Gate_.failureShare();
  FailingThousandths_.set(static_cast<int64_t>(Share * 1000));
  const bool Failing =
      Share > (Failing_ ? RecoveredThreshold : FailingThreshold);
  if (Failing == Failing_)
    return;
  Failing_ = Failing;
  Services_
      .log(LogClass::State, Failing ? "upstream-failing" : "upstream-mended")
      .text("upstream", Upstream_.id())
      .number("failed_share", Share);
}

void Agent::removeEntry() {
  if (EntryRemoved_)
    return;
  EntryRemoved_ = true;
  Registration_.setWanted(std::nullopt);
  // An earlier run of this agent may have left an entry in the store.
  if (!Registration_.isStored() && !Settings_.FirstStart)
    Registration_.markUnknown();
}

void Agent::pollRegistration(TimePoint Now) {
  using Call = opaque::Registration::Call;
  const auto Due = Registration_.next(Now);
  if (!Due)
    return;
  const auto Level = *Due == Call::Check ? platform::Consistency::Serializable
                                         : platform::Consistency::Linearizable;
  HttpRequest Request;
  switch (*Due) {
  case Call::Create:
    Request = platform::createCall(*Registration_.wanted());
    break;
  case Call::Read:
  case Call::Check:
    Request =
        platform::readCall(platform::ObjectKind::Agent, Settings_.Name, Level);
    break;
  case Call::Replace:
    Request = platform::replaceCall(*Registration_.wanted(),
                                    Registration_.revision().Number);
    break;
  case Call::Remove:
    Request = platform::removeCall(platform::ObjectKind::Agent, Settings_.Name,
                                   Registration_.revision().Number);
    break;
  }
  StoreCalls_.count(platform::ObjectKind::Agent, name(*Due), Level);
  // Some answers, such as that to a removal, name nothing by which a second
  // copy of an earlier one could be told from them. These calls are rare.
  StoreChannel_.replaceConnection();
  StoreChannel_.request(
      Request, StoreTimeout,
      [this, Sent = EntryCall{*Due, Settings_.Name, Registration_.wanted(),
                              Registration_.revision()}](const auto &Result) {
        onRegistrationAnswer(Sent, Result);
      });
}

void Agent::onRegistrationAnswer(
    const EntryCall &Sent,
    const tl::expected<HttpResponse, HttpFailure> &Result) {
  recordRegistrationAnswer(Sent, Result);
  updateListed();
  reportIntake(Services_.now());
  flush();
}

void Agent::recordRegistrationAnswer(
    const EntryCall &Sent,
    const tl::expected<HttpResponse, HttpFailure> &Result) {
  const TimePoint Now = Services_.now();
  if (!Result)
    return Registration_.onUnknown(Now);
  const int64_t Era = platform::storeEraOf(*Result);
  if (!Health_.onEra(platform::ObjectKind::Agent, Era))
    return Registration_.onUnknown(Now);
  Registration_.onEra(Era);
  const EntryAnswer Answer = readEntryAnswer(Sent, *Result);
  switch (Answer.Meaning) {
  case EntryAnswer::Kind::Stored:
    break;
  case EntryAnswer::Kind::Absent:
    return Registration_.onAbsent();
  case EntryAnswer::Kind::Refused:
    return Registration_.onRefused(Now);
  case EntryAnswer::Kind::Unknown:
    Services_.log(LogClass::State, "entry-answer-refused")
        .text("call", name(Sent.Call))
        .number("status", Result->Status)
        .number("known_revision", Sent.Known.Number)
        .number("era", Era);
    return Registration_.onUnknown(Now);
  }
  const int64_t Revision = Answer.Object.Revision;
  if (const auto Entry = platform::decodeAgent(Answer.Object))
    Registration_.onStored(*Entry, {Era, Revision});
  else
    Registration_.onForeign({Era, Revision}, Now);
  Services_.log(LogClass::State, "entry-stored")
      .number("revision", Revision)
      .number("era", Era)
      .number("status", Result->Status);
}

void Agent::updateListed() {
  const bool IsListed = Registration_.isListed();
  if (std::exchange(Listed_, IsListed) == IsListed)
    return;
  Upstream_.setListed(IsListed);
  Services_.log(LogClass::State, IsListed ? "entry-listed" : "entry-not-listed")
      .text("stored", toString(Registration_.revision()))
      .number("era", Health_.era())
      .number("settled", Registration_.isSettled());
}

void Agent::sendHello(TimePoint Now) {
  if (Registration_.isStored() && !Balancers_.controls().empty())
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
  sendReleased();
  for (size_t Rank = 0; Rank < scheduling::MaxPriorities; ++Rank)
    WaitingRequests_[Rank]->set(
        static_cast<int64_t>(Gate_.scheduler().waitingOf(Rank)));
  Era_.onEra(Health_.era(), Now);
  Registration_.onEra(Health_.era());
  updateListed();
  reportIntake(Now);
  Balancers_.expire(Now);
  OpenFlows_.set(static_cast<int64_t>(Gate_.openFlows()));
  BusyThousandths_.set(static_cast<int64_t>(Gate_.busy(Now) * 1000));
  updateFailureState();
  if (Upstream_.hasEnded())
    removeEntry();
  pollRegistration(Now);
  sendHello(Now);
  const bool Unregistered =
      !Registration_.wanted() && Registration_.isSettled();
  if (stopping() && (Unregistered || Now >= ExitAt_))
    finish();
}

void Agent::onStop(TimePoint Now) {
  Upstream_.onStop();
  reportIntake(Now);
  if (Upstream_.isGone())
    removeEntry();
  ExitAt_ = Now + stopTime();
}

Duration Agent::stopTime() const {
  if (Upstream_.isGone())
    return LeaveTimeout;
  if (!Upstream_.mayHaveLeft())
    return StopDelay;
  const auto UntilGone = std::chrono::duration_cast<Duration>(
      opaque::Upstream::LeavingHeartbeats * Settings_.HeartbeatInterval);
  return std::max(StopDelay, std::min(UntilGone + LeaveTimeout,
                                      Settings_.Grace - GraceMargin));
}

} // namespace dragonflystall::node
