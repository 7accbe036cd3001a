// The balancer process: sockets, pings to agents, and the list of agents from
// the store.
#include "node/balancer.h"

#include "node/whereanswer.h"
#include "platform/packetformat.h"

namespace dragonflystall::node {

namespace {

using opaque::SteerAction;

constexpr Duration PingInterval = 500ms;
/// Least time between two pings, when the configuration changes often.
constexpr Duration MinPingInterval = 200ms;
constexpr Duration RemoveTimeout = 2s;
/// After this time, no search that a read of the entries could confirm is left.
constexpr Duration ConfirmTimeout = opaque::Searches::SearchTimeout;
/// The wait of the watch by which the entries are read: the store answers at
/// once, with or without changes.
constexpr Duration ConfirmWait = 1ms;
/// Pauses between watches of the agents' entries. The first balancers learn of
/// a new agent soon; it is cold then, and the others need it later.
constexpr Duration PrimaryWatchPause = 500ms;
constexpr Duration WatchPause = 2s;
/// Flows in the cache of holders, 40 bytes each.
constexpr size_t CachedFlows = 20000;

} // namespace

Balancer::Balancer(const Settings &Initial, SettingsReader ReadSettings)
    : Process(Initial, std::move(ReadSettings), "balancer",
              {{Initial.Store, Initial.StoreHistory,
                platform::Consistency::Serializable},
               Initial.Seeds,
               /*AlwaysFetchFromSeeds=*/true,
               Initial.MaxFlowAge,
               Initial.FirstStart}),
      Agents_(Initial.Zone, Services_.Rng()),
      Steering_(config(), Agents_, CachedFlows, Services_.now(),
                Services_.Rng()),
      Reader_(Services_.now()), StoreCalls_(Services_),
      AgentWatcher_(
          Services_, Health_,
          {Initial.Store, Initial.StoreHistory,
           platform::Consistency::Serializable},
          platform::ObjectKind::Agent,
          {[this](const platform::Page &P, bool First) {
             onAgentPage(P, First);
           },
           [this] { onAgentsListed(); },
           [this](const platform::Changes &C) { onAgentChanges(C); }}),
      RemoveChannel_(Services_.Base.get(), Initial.Store),
      ConfirmChannel_(Services_.Base.get(), Initial.Store),
      HedgeTimer_(Services_.Base.get(), [this] { hedgeOpenings(); }),
      EntriesUnreadable_(Services_.Counts.counter(
          {"dragonflystall_agent_entries_unreadable_total",
           "Objects among the agents' entries that are none.", ""})),
      SearchesConfirmed_(Services_.Counts.counter(
          {"dragonflystall_searches_confirmed_total",
           "Searches for which the store was read successfully.", ""})),
      AgentsAlive_(Services_.Counts.gauge(
          {"dragonflystall_agents_alive", "Agents that answer pings.", ""})),
      AgentsTotal_(Services_.Counts.gauge(
          {"dragonflystall_agents", "Known agents.", ""})),
      CachedFlows_(Services_.Counts.gauge(
          {"dragonflystall_flows_cached", "Flows whose holder is known.", ""})),
      WaitingFlows_(Services_.Counts.gauge(
          {"dragonflystall_flows_waiting",
           "New flows that wait for room at an upstream.", ""})),
      AgentsEjected_(Services_.Counts.gauge(
          {"dragonflystall_agents_ejected",
           "Agents whose upstreams seem to fail requests quickly and get "
           "probes only.",
           ""})) {
  for (size_t I = 0; I < PacketsByReason_.size(); ++I)
    PacketsByReason_[I] = &Services_.Counts.counter(
        {"dragonflystall_packets_steered_total",
         "Packets by the reason of the steering decision.",
         fmt::format("reason=\"{}\"", opaque::SteerReasonNames[I])});
  CallerSocket_ = &bindUdpBatches(
      Settings_.Packets,
      [this](std::span<const Datagram> Batch) { onCallerBatch(Batch); });
  AgentSocket_ =
      &bindUdp(Settings_.Peers, [this](Endpoint From, std::string_view Bytes) {
        onReturnedDatagram(From, Bytes);
      });
  if (Settings_.Control)
    listenHttp(Settings_.Control);
  updateHedgeLimits();
  AgentWatcher_.poll(Services_.now());
}

void Balancer::onAgentPage(const platform::Page &Page, bool First) {
  if (First)
    ListedAgents_.clear();
  for (const platform::Object &Item : Page.Objects)
    if (auto Entry = readEntry(Item))
      ListedAgents_.push_back(
          {std::move(*Entry), {Health_.era(), Item.Revision}});
}

void Balancer::onAgentsListed() {
  const opaque::StoreRevision Revision = AgentWatcher_.revision();
  Agents_.listAll(ListedAgents_, Services_.now());
  Agents_.onListedAsOf(Revision);
  Services_.log(LogClass::State, "agents-listed")
      .number("count", ListedAgents_.size())
      .number("revision", Revision.Number)
      .number("era", Revision.Era);
  ListedAgents_.clear();
  AgentsKnown_ = true;
  Steering_.onAgentsListed(Revision, Services_.now());
  NextPing_ = {};
}

void Balancer::onAgentChanges(const platform::Changes &Changes) {
  for (const platform::Change &Event : Changes.Events)
    applyChange(Event);
  Agents_.onListedAsOf(AgentWatcher_.revision());
}

void Balancer::applyChange(const platform::Change &Event) {
  // The watch may deliver what a read of the entries has already brought.
  const opaque::Agent *Known = Agents_.find(Event.Item.Name);
  if (Known && Known->Revision.Era == Health_.era() &&
      Event.Item.Revision < Known->Revision.Number)
    return;
  if (Event.Removed)
    Agents_.unlist(Event.Item.Name);
  else
    onAgentObject(Event.Item);
}

void Balancer::confirmEntries(TimePoint Now) {
  if (ConfirmChannel_.busy() || !AgentWatcher_.listed())
    return;
  const auto Awaited = Steering_.beginRead(Now);
  if (!Awaited)
    return;
  const opaque::StoreRevision From = AgentWatcher_.revision();
  StoreCalls_.count(platform::ObjectKind::Agent, "confirm");
  // On a new connection, no late copy of an earlier answer can arrive.
  ConfirmChannel_.abandon();
  ConfirmChannel_.request(
      platform::watchCall(platform::ObjectKind::Agent, From.Number, ConfirmWait,
                          platform::Consistency::Linearizable),
      ConfirmTimeout, [this, From, Awaited = *Awaited](const auto &Result) {
        onEntriesAnswer(Result, From, Awaited);
      });
}

tl::expected<platform::Changes, std::string>
Balancer::readChanges(const tl::expected<HttpResponse, HttpFailure> &Result,
                      opaque::StoreRevision From) {
  if (!Result)
    return tl::unexpected(Result.error().Text);
  const int64_t Era = platform::storeEraOf(*Result);
  if (!Health_.onEra(platform::ObjectKind::Agent, Era) || Era != From.Era ||
      Era != AgentWatcher_.revision().Era)
    return tl::unexpected(std::string("the answer is of another era"));
  if (Result->Status == HttpStatus::Gone)
    AgentWatcher_.restart();
  if (Result->Status != HttpStatus::Ok)
    return tl::unexpected(fmt::format("HTTP status {}", Result->Status));
  auto Changes = platform::decodeChanges(Result->Body);
  if (!Changes || Changes->Revision < From.Number)
    return tl::unexpected(std::string("malformed or outdated changes"));
  return std::move(*Changes);
}

void Balancer::onEntriesAnswer(
    const tl::expected<HttpResponse, HttpFailure> &Result,
    opaque::StoreRevision From, const opaque::AwaitedRead &Awaited) {
  const TimePoint Now = Services_.now();
  const auto Changes = readChanges(Result, From);
  if (!Changes) {
    Steering_.onReadFailed(Now);
    Services_.log(LogClass::Notable, "entries-not-read")
        .text("cause", Changes.error())
        .number("searches", Awaited.Searches)
        .age("oldest_ms", Awaited.Oldest);
    return;
  }
  const uint64_t KnownBefore = Agents_.newestSerial();
  // Newer changes than those of this read may be known from the watch.
  for (const platform::Change &Event : Changes->Events)
    if (Event.Item.Revision > AgentWatcher_.revision().Number)
      applyChange(Event);
  Agents_.onListedAsOf({From.Era, Changes->Revision});
  SearchesConfirmed_.add(Awaited.Searches);
  Services_.log(LogClass::Notable, "entries-read")
      .number("searches", Awaited.Searches)
      .age("oldest_ms", Awaited.Oldest)
      .number("revision", Changes->Revision)
      .number("era", From.Era)
      .number("new_agents", Agents_.newestSerial() - KnownBefore);
  carryOut(Steering_.onAgentsRead(Now), Now);
  flush();
}

void Balancer::onManifest() {
  pingSoon();
  const TimePoint Now = Services_.now();
  carryOut(Steering_.onManifest(Now), Now);
  flush();
}

std::optional<opaque::AgentEntry>
Balancer::readEntry(const platform::Object &Listed) {
  auto Entry = platform::decodeAgent(Listed);
  if (!Entry) {
    EntriesUnreadable_.add();
    Services_.log(LogClass::Notable, "agent-entry-unreadable")
        .text("name", Listed.Name)
        .number("bytes", Listed.Content.size());
  }
  return Entry;
}

void Balancer::onAgentObject(const platform::Object &Listed) {
  const auto Entry = readEntry(Listed);
  if (!Entry) {
    // Nobody can read the agent's entry any more: the pings tell the agent.
    Agents_.unlist(Listed.Name);
    return;
  }
  if (!Agents_.find(Entry->Name))
    NextPing_ = {};
  Agents_.list(*Entry, {Health_.era(), Listed.Revision}, Services_.now());
  Services_.log(LogClass::State, "agent-listed")
      .text("agent", Entry->Name)
      .text("service", Entry->Service)
      .number("revision", Listed.Revision);
}

void Balancer::onCallerBatch(std::span<const Datagram> Batch) {
  BatchHeads_.clear();
  for (const Datagram &D : Batch) {
    BatchHeads_.push_back(readHead(D.Bytes));
    if (BatchHeads_.back())
      Steering_.prefetch(*BatchHeads_.back());
  }
  const TimePoint Now = Services_.now();
  LastCallerPacket_ = Now;
  for (size_t I = 0; I < Batch.size(); ++I) {
    const auto &Head = BatchHeads_[I];
    const std::string_view Bytes = Batch[I].Bytes;
    if (Head)
      carryOut(Steering_.fromCaller(*Head, Bytes, Now), *Head, Bytes, Now);
  }
  carryOut(Steering_.takeDelayed(), Now);
  scheduleHedges();
}

void Balancer::onReturnedDatagram(Endpoint From, std::string_view Bytes) {
  const auto Head = readHead(Bytes);
  if (!Head)
    return;
  const TimePoint Now = Services_.now();
  carryOut(Steering_.onReturned(*Head, Bytes, From, Now), *Head, Bytes, Now);
  carryOut(Steering_.takeDelayed(), Now);
  confirmEntries(Now);
}

void Balancer::carryOut(const SteerAction &Action,
                        const opaque::PacketHead &Head, std::string_view Bytes,
                        TimePoint Now) {
  PacketsByReason_[static_cast<size_t>(Action.Reason)]->add();
  const bool Queued = Action.Disposition == SteerAction::Kind::Ask &&
                      Action.QueriedAgents.empty();
  if (Action.Reason != opaque::SteerReason::Held && !Queued)
    logAction(Action, Head, Now);
  if (Action.Disposition == SteerAction::Kind::Reset) {
    const opaque::FlowId Flow = Head.fromCaller();
    CallerSocket_->send({Flow.Caller.Ip, Settings_.Packets.Port},
                        platform::encodeReset(Flow, Action.ResetSequence));
  }
  for (const opaque::Agent *Asked : Action.QueriedAgents)
    sendControl(Asked->Entry.Control, opaque::Find{Head.fromCaller()});
  if (Action.Disposition != SteerAction::Kind::Forward)
    return;
  const platform::RewrittenPacket Packet(Bytes, Action.Forwarding.encode(),
                                         /*Bounced=*/false);
  AgentSocket_->send(Action.Target->Entry.Packets, Packet.bytes());
}

void Balancer::carryOut(const std::vector<opaque::DelayedAction> &Actions,
                        TimePoint Now) {
  for (const opaque::DelayedAction &Late : Actions)
    carryOut(Late.Action, Late.Packet.Head, Late.Packet.Bytes, Now);
}

void Balancer::logAction(const SteerAction &Action,
                         const opaque::PacketHead &Head, TimePoint Now) {
  const bool IsLost =
      Action.Outcome || Action.Reason == opaque::SteerReason::AskedAll;
  const LogClass Class = IsLost ? LogClass::Lost
                         : Action.Reason == opaque::SteerReason::Placed
                             ? LogClass::Routine
                             : LogClass::Notable;
  auto Line = Services_.log(
      Class, Action.Disposition == SteerAction::Kind::Reset  ? "flow-reset"
             : Action.Disposition == SteerAction::Kind::Drop ? "packet-dropped"
             : Action.Disposition == SteerAction::Kind::Ask  ? "flow-searched"
                                                             : "flow-steered");
  Line.text("flow", toString(Head.fromCaller()))
      .text("reason", name(Action.Reason))
      .number("manifest", config().manifest().Version)
      .number("echo", Head.Echo)
      .number("queued", Steering_.queuedFlows());
  if (const auto &Outcome = Action.Outcome)
    Line.text("services", fmt::format("{}", fmt::join(Outcome->Services, ",")))
        .number("unanswered", Outcome->Unanswered)
        .number("offers", Outcome->Offers)
        .number("all_known", Outcome->KnowsAllAgents)
        .number("history_complete", Outcome->HistoryComplete)
        .number("widened", Outcome->Widened)
        .text("known_as_of", toString(Outcome->KnownAsOf))
        .text("reported_entry", toString(Outcome->ReportedEntry))
        .number("reported_manifest", Outcome->ReportedManifest);
  if (const auto &Wait = Action.Wait) {
    Line.number("priority", Wait->Priority)
        .age("left_ms", Wait->Left)
        .number("waiting", Wait->Waiting);
    if (Wait->RoomIn)
      Line.age("room_in_ms", *Wait->RoomIn);
  }
  if (!Action.Target)
    return;
  Line.text("agent", Action.Target->Entry.Name)
      .text("state", name(Action.Target->LastReport.State))
      .number("busy", Action.Target->LastReport.Busy)
      .number("failing", Action.Target->LastReport.FailureShare)
      .number("slowness", Agents_.slownessOf(*Action.Target))
      .number("sent_since", Action.Target->SynsSinceLastPong);
  if (Action.Target->hasAnswered())
    Line.age("report_age_ms", Now - Action.Target->LastPong);
}

void Balancer::onControl(const opaque::ControlMessage &Message, Endpoint,
                         TimePoint Now) {
  if (const auto *Pong = std::get_if<opaque::Pong>(&Message)) {
    onPong(*Pong, Now);
  } else if (const auto *Located = std::get_if<opaque::Located>(&Message)) {
    carryOut(Steering_.onLocated(*Located, Now), Now);
    confirmEntries(Now);
  } else if (const auto *Hello = std::get_if<opaque::Hello>(&Message)) {
    Agents_.addUnlisted(Hello->Entry, Now);
  }
}

void Balancer::onPong(const opaque::Pong &Pong, TimePoint Now) {
  const opaque::Agent *Known = Agents_.find(Pong.Name);
  if (!Known)
    return;
  const bool IsChanged = Known->LastReport.State != Pong.State;
  if (!Agents_.isAnswering(*Known, Now) || IsChanged)
    Services_.log(LogClass::State, "agent-state")
        .text("agent", Pong.Name)
        .text("state", name(Pong.State));
  Agents_.onPong(Pong, Now);
  Config_.onPeerVersions(Pong.Versions, Pong.Http, Now);
  // Later reports of the same state are answered by the regular pings.
  if (IsChanged && Pong.State == opaque::Intake::Unlisted && Known->listed())
    sendControl(Known->Entry.Control, pingTo(*Known));
}

void Balancer::onPeerAgents(const opaque::AgentList &Theirs) {
  for (const opaque::AgentEntry &Entry : Theirs.Entries)
    Agents_.addUnlisted(Entry, Services_.now());
  NextPing_ = {};
  AgentsKnown_ = AgentsKnown_ || !Theirs.Entries.empty();
}

opaque::AgentList Balancer::agentsForPeers() const {
  opaque::AgentList Ours;
  for (const auto &[Name, Agent] : Agents_.agents())
    Ours.Entries.push_back(Agent->Entry);
  Ours.IsComplete = Steering_.knowsAllAgents(Services_.now());
  return Ours;
}

HttpResponse Balancer::onRequest(const HttpRequest &Request) {
  if (Request.Method != HttpMethod::Get || pathOf(Request.Target) != WherePath)
    return Process::onRequest(Request);
  return answerWhere(Request, Steering_,
                     {Settings_.Name, Settings_.Zone, config().manifest(),
                      Settings_.ColdFactor, Settings_.ColdSlack},
                     Services_.now());
}

bool Balancer::ready() const { return config().hasManifest() && AgentsKnown_; }

void Balancer::pingSoon() {
  if (Reader_.isPrimary())
    NextPing_ = std::min(NextPing_, LastPing_ + MinPingInterval);
}

void Balancer::ping(TimePoint Now) {
  LastPing_ = Now;
  ++PingNumber_;
  size_t Alive = 0;
  for (const auto &[Name, Agent] : Agents_.agents()) {
    const bool WasSuspect = Agents_.isSuspect(*Agent, Now - PingInterval);
    Agents_.onPingSent(*Agent, Now, PingNumber_);
    sendControl(Agent->Entry.Control, pingTo(*Agent));
    Alive += Agents_.isAnswering(*Agent, Now);
    if (Agents_.isSuspect(*Agent, Now) && !WasSuspect)
      Services_.log(LogClass::State, "agent-suspected")
          .text("agent", Name)
          .age("silent_ms", opaque::Directory::silentFor(*Agent, Now));
  }
  for (const auto &[Name, Agent] : Agents_.agents())
    if (Agent->IsEjected != Agent->WasEjected)
      logEjection(*Agent, Now);
  AgentsAlive_.set(static_cast<int64_t>(Alive));
  AgentsTotal_.set(static_cast<int64_t>(Agents_.agents().size()));
  CachedFlows_.set(static_cast<int64_t>(Steering_.cachedFlows()));
  WaitingFlows_.set(static_cast<int64_t>(Steering_.queuedFlows()));
  AgentsEjected_.set(static_cast<int64_t>(Agents_.ejectedCount()));
  countHedges(Now);
}

void Balancer::logEjection(opaque::Agent &Member, TimePoint Now) {
  Member.WasEjected = Member.IsEjected;
  Services_
      .log(LogClass::State,
           Member.IsEjected ? "agent-ejected" : "agent-returned")
      .text("agent", Member.Entry.Name)
      .age("work_ms", Member.LastReport.WorkTime)
      .age("median_work_ms", Agents_.medianWorkOf(Member.Entry.Service))
      .number("busy", Member.LastReport.Busy)
      .age("report_age_ms", Now - Member.LastPong);
}

opaque::Ping Balancer::pingTo(const opaque::Agent &Target) const {
  opaque::Ping Message;
  Message.Name = Target.Entry.Name;
  Message.Number = PingNumber_;
  Message.Versions = configVersionsOf(config());
  if (!Target.listed() && AgentWatcher_.listed())
    Message.MissingAsOf = AgentWatcher_.revision();
  if (Target.listed() && Target.LastReport.State == opaque::Intake::Unlisted) {
    Message.ListedEntry = hashOf(Target.Entry);
    Message.ListedRevision = Target.Revision;
  }
  Message.Http = Settings_.Peers;
  Message.NewestEntry = Agents_.newestEntry();
  Message.Sender = {static_cast<uint32_t>(agentId(Settings_.Zone)),
                    !Health_.isLost(Services_.now())};
  return Message;
}

void Balancer::removeDead(TimePoint Now) {
  if (RemoveChannel_.busy() || !Health_.up() || !AgentWatcher_.listed())
    return;
  const auto Dead = Agents_.removable(Now);
  if (Dead.empty())
    return;
  // Any balancer may remove the entry; the random choice makes it unlikely that
  // several remove the same one at once.
  const auto &Entry = Dead[Services_.Rng() % Dead.size()]->Entry;
  const opaque::StoreRevision Revision = Agents_.find(Entry.Name)->Revision;
  // In another era the number may belong to another entry of the agent.
  if (Revision.Era != Health_.era())
    return;
  Services_.log(LogClass::State, "agent-removed")
      .text("agent", Entry.Name)
      .number("revision", Revision.Number);
  StoreCalls_.count(platform::ObjectKind::Agent, "remove");
  RemoveChannel_.request(
      platform::removeCall(platform::ObjectKind::Agent, Entry.Name,
                           Revision.Number),
      RemoveTimeout,
      [this](const tl::expected<HttpResponse, HttpFailure> &Result) {
        if (!Result)
          Services_.log(LogClass::Notable, "agent-remove-unanswered")
              .text("cause", Result.error().Text);
        else if (!Result->succeeded())
          Services_.log(LogClass::Notable, "agent-remove-refused")
              .number("status", Result->Status);
      });
}

void Balancer::onTick(TimePoint Now) {
  AgentWatcher_.poll(Now);
  if (Now >= NextPing_) {
    NextPing_ = Now + PingInterval;
    ping(Now);
    Agents_.expire(Now);
    updateReading(Now);
    if (Services_.Rng() % 8 == 0)
      removeDead(Now);
  }
  carryOut(Steering_.tick(Now), Now);
  scheduleHedges();
  confirmEntries(Now);
  if (stopping() && mayExit(Now))
    finish();
}

void Balancer::updateReading(TimePoint Now) {
  const bool WasPrimary = Reader_.isPrimary();
  Reader_.update(Agents_.greatestRank(Now), Now);
  const bool IsPrimary = Reader_.isPrimary();
  const auto Level = IsPrimary ? platform::Consistency::Linearizable
                               : platform::Consistency::Serializable;
  Config_.setConsistency(Level);
  AgentWatcher_.setConsistency(Level);
  AgentWatcher_.setPause(IsPrimary ? PrimaryWatchPause : WatchPause);
  if (IsPrimary != WasPrimary)
    Services_.log(LogClass::State, "store-reading")
        .text("consistency", name(Level));
}

bool Balancer::mayExit(TimePoint Now) const {
  const opaque::Shutdown State = {Now - StopRequestedAt_,
                                  Now - LastCallerPacket_,
                                  Steering_.heldFlows(), Settings_.Grace};
  return State.mayExit();
}

} // namespace dragonflystall::node
