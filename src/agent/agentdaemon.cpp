// Passes events to AgentCore and carries out the resulting actions.
#include "agentdaemon.h"

#include "observe/statusmetrics.h"
#include "requests/hedgemetrics.h"
#include "shell/entropy.h"
#include "wire/coap.h"
#include "wire/framing.h"

#include <nlohmann/json.hpp>

namespace dragonflystall {

namespace {

constexpr Duration StatusPeriod = 200ms;
// After the last flow is handed over, the agent still forwards packets that
// were in flight at that time.
constexpr Duration ExitDelay = 1s;

AgentIdentity identityOf(const HostSettings &Host) {
  AgentIdentity Identity;
  Identity.Team = Host.Team;
  Identity.Service = Host.Service;
  Identity.Self.Agent = {agentId(Host.Name), Incarnation{randomBits()}};
  Identity.Self.Name = Host.Name;
  Identity.Self.Zone = Host.Zone;
  Identity.Self.Data = Host.Data;
  Identity.Self.Control = Host.Control;
  Identity.Self.Slots = Host.Slots;
  Identity.Self.Connections = Host.Connections;
  return Identity;
}

} // namespace

AgentDaemon::AgentDaemon(const HostSettings &Host)
    : Host_(Host), Identity_(identityOf(Host)),
      Timeline_(Host.Name, TimelineCapacity), Core_(Identity_, randomBits()),
      Peers_(Host, Identity_.Self.Agent, randomBits(), Timeline_,
             makePeerListener()) {}

AgentDaemon::~AgentDaemon() = default;

Peering::Listener AgentDaemon::makePeerListener() {
  Peering::Listener Listener;
  Listener.OnSettings = [this](const SettingsPtr &Value) {
    handle(SettingsUpdate{Value});
  };
  Listener.OnEvent = [this](const Event &Action) { carryOut(Action); };
  Listener.OnMessage =
      [this](const std::shared_ptr<const wire::ControlMessage> &Value) {
        handle(PeerMessage{Value});
      };
  return Listener;
}

tl::expected<void, std::string> AgentDaemon::start() {
  Loop_.onStopSignal([this] { handle(StopRequested{}); });
  auto Data = UdpSocket::bind(Host_.Data);
  if (!Data)
    return tl::unexpected("data port: " + Data.error());
  Data_ = std::move(*Data);
  if (auto Started = Peers_.start(Host_.Control); !Started)
    return Started;
  AdminHandlers Handlers;
  Handlers.Ready = [this] {
    const std::lock_guard Lock(PublishedMutex_);
    return Ready_;
  };
  Handlers.StatusJson = [this] {
    const std::lock_guard Lock(PublishedMutex_);
    return PublishedStatus_;
  };
  Handlers.MetricsText = [this] {
    const std::lock_guard Lock(PublishedMutex_);
    return PublishedMetrics_;
  };
  Handlers.TimelineJson = [this](uint64_t Since) {
    return Timeline_.snapshotJson(Since);
  };
  auto Admin = AdminServer::start(Host_.Admin, std::move(Handlers));
  if (!Admin)
    return tl::unexpected("admin port: " + Admin.error());
  Admin_ = std::move(*Admin);
  startUpstream();
  startPlatform();
  return {};
}

void AgentDaemon::startUpstream() {
  UpstreamClient::Listener Listener;
  Listener.OnAnswer = [this](UpstreamAnswer Answer) {
    Loop_.post([this, Answer = std::move(Answer)] { handle(Answer); });
  };
  Listener.OnHint = [this](UpstreamHint Hint) {
    Loop_.post([this, Hint] { handle(Hint); });
  };
  Upstream_ = std::make_unique<UpstreamClient>(Host_.Upstream, Host_.Slots,
                                               std::move(Listener));
}

void AgentDaemon::startPlatform() {
  PlatformLink::Listener Listener;
  Listener.Post = [this](std::function<void()> Task) {
    Loop_.post(std::move(Task));
  };
  Listener.OnSettings = [this](const std::vector<StoredObject> &Objects) {
    Peers_.merge(Objects);
  };
  Listener.OnRoster = [this](Roster Value) {
    handle(RosterUpdate{std::move(Value)});
  };
  Listener.OnRosterWritten = [this](const RosterWritten &Result) {
    handle(Result);
  };
  Listener.OnEvent = [this](const Event &Action) { carryOut(Action); };
  Link_ = std::make_unique<PlatformLink>(Host_.Platform, Host_.Name,
                                         std::move(Listener));
  Link_->watchRoster(Host_.Team, Host_.Service, 0);
}

void AgentDaemon::run() {
  Loop_.watch(Data_->descriptor(), [this] {
    Data_->receive([this](Endpoint From, std::string_view Bytes) {
      onDatagram(From, Bytes);
    });
  });
  Peers_.watch(Loop_);
  Loop_.every(TickPeriod, [this] { handle(Tick{}); });
  Loop_.onAlarm([this] { onHedgeAlarm(); });
  Loop_.every(GossipPeriod, [this] { gossip(); });
  Loop_.every(StatusPeriod, [this] { publishStatus(); });
  Loop_.afterRound([this] { Data_->flush(); });
  Event Started;
  Started.Kind = EventKind::Started;
  Started.Value = static_cast<uint64_t>(Identity_.Self.Agent.Start);
  carryOut(Started);
  Loop_.run();
}

void AgentDaemon::handle(const AgentEvent &Input) {
  AgentActions Actions;
  Core_.handle(Input, Clock_.now(), Actions);
  carryOutAll(Actions);
}

void AgentDaemon::onHedgeAlarm() {
  HedgeAlarm_.reset();
  AgentActions Actions;
  Core_.sweepHedges(Clock_.now(), Actions);
  carryOutAll(Actions);
}

void AgentDaemon::carryOutAll(const AgentActions &Actions) {
  for (const AgentAction &Action : Actions)
    std::visit([this](const auto &Value) { carryOut(Value); }, Action);
  setHedgeAlarm();
}

// Ticks are too far apart for the delays of fast requests.
void AgentDaemon::setHedgeAlarm() {
  const TimePoint Now = Clock_.now();
  const auto Next = Core_.requests().nextHedgeAt(Now);
  if (!Next || (HedgeAlarm_ && *HedgeAlarm_ <= *Next))
    return;
  HedgeAlarm_ = Next;
  Loop_.setAlarm(*Next - Now);
}

void AgentDaemon::carryOut(const SendDatagram &Action) {
  if (!Peers_.allows(Action.To.Ip))
    return;
  wire::encodeHeader(Action.Header, HeaderBuffer_);
  Data_->send(Action.To, HeaderBuffer_, Action.Payload);
}

void AgentDaemon::carryOut(const SendMessage &Action) {
  if (!Peers_.allows(Action.To.Ip))
    return;
  wire::encodeHeader(Action.Header, HeaderBuffer_);
  Data_->send(Action.To, HeaderBuffer_, wire::encodeCoap(Action.Value));
}

void AgentDaemon::carryOut(const SendPeer &Action) {
  Peers_.send(Action.To, *Action.Value);
}

void AgentDaemon::carryOut(const RunUpstream &Action) {
  Upstream_->run(Action);
}

void AgentDaemon::carryOut(const CancelUpstream &Action) {
  Upstream_->cancel(Action.Run);
}

void AgentDaemon::carryOut(const UpdateRoster &Action) {
  Link_->updateRoster(Action);
}

void AgentDaemon::carryOut(const FetchRoster &Action) {
  Link_->watchRoster(Host_.Team, Host_.Service, Action.KnownVersion);
}

void AgentDaemon::carryOut(const StopComplete & /*Action*/) {
  Loop_.every(ExitDelay, [this] { Loop_.stop(); });
}

void AgentDaemon::carryOut(const Event &Action) {
  Timeline_.record(Clock_.wallTime(), Action);
}

void AgentDaemon::onDatagram(Endpoint From, std::string_view Bytes) {
  if (!Peers_.allows(From.Ip)) {
    ++Drops_.ForeignAddress;
    return;
  }
  auto Frame = wire::parseFrame(Bytes);
  if (!Frame) {
    ++Drops_.Malformed;
    return;
  }
  if (Frame->Header.Kind == PacketKind::Probe) {
    PacketHeader Reply = Frame->Header;
    Reply.Kind = PacketKind::ProbeReply;
    Reply.Holder = Identity_.Self.Agent.Id;
    carryOut(SendDatagram{From, Reply, {}});
    return;
  }
  auto Decoded = wire::decodeCoap(Frame->Payload);
  if (!Decoded) {
    ++Drops_.Malformed;
    return;
  }
  handle(AgentPacket{From, Frame->Header, std::string(Frame->Payload),
                     std::move(*Decoded)});
}

void AgentDaemon::gossip() {
  std::vector<Endpoint> Peers = Host_.Peers;
  for (const PeerView &Peer : Core_.flows().peers())
    Peers.push_back(Peer.Control);
  Peers_.gossip(Peers, Clock_.now());
}

void AgentDaemon::publishStatus() {
  std::string Status = statusJson();
  std::string Metrics = Timeline_.metricsText() + statusMetrics(Status) +
                        hedgeMetricsText(Host_.Team + "/" + Host_.Service,
                                         Core_.requests().hedges(Clock_.now()));
  const std::lock_guard Lock(PublishedMutex_);
  PublishedStatus_ = std::move(Status);
  PublishedMetrics_ = std::move(Metrics);
  Ready_ = Core_.flows().roster().find(Identity_.Self.Agent.Id) != nullptr &&
           !Core_.leaving();
}

std::string AgentDaemon::statusJson() const {
  const RequestLoad Load = Core_.requests().load();
  nlohmann::json Status = {
      {"name", Host_.Name},
      {"role", "agent"},
      {"zone", Host_.Zone},
      {"team", Host_.Team},
      {"service", Host_.Service},
      {"incarnation", static_cast<uint64_t>(Identity_.Self.Agent.Start)},
      {"settings_version", Peers_.view().current()->Version},
      {"settings_seen", Peers_.view().version()},
      {"roster_version", Core_.flows().roster().Version},
      {"flows", Core_.flows().size()},
      {"running", Load.Running},
      {"queued", Load.Queued},
      {"limit", Load.Limit},
      {"in_progress", Core_.requests().inProgress()},
      {"leaving", Core_.leaving()},
      {"platform_down", Link_->isDown()},
      {"platform_calls", Link_->calls()},
      {"control_bytes_sent", Peers_.bus().bytesSent()},
      {"control_bytes_received", Peers_.bus().bytesReceived()},
      {"dropped_malformed", Drops_.Malformed},
      {"dropped_stranger", Drops_.ForeignAddress + Peers_.foreignMessages()},
      {"dropped_by_kernel", Data_->dropped()},
      {"refused_settings", Peers_.view().refused()}};
  return Status.dump();
}

} // namespace dragonflystall
