// Start-up and shutdown of a balancer, and its exchange of settings and rosters
// with peers and the platform.
#include "balancerdaemon.h"

#include "shell/entropy.h"
#include "steering/balancerstatus.h"
#include "wire/convert.h"

#include <algorithm>
#include <future>

namespace dragonflystall {

namespace {

/// How long a request on the admin port waits for the event loop.
constexpr Duration RenderTimeout = 1s;
/// A stopping balancer keeps forwarding until no packet has arrived for this
/// long, so that answers to requests it forwarded still reach their callers.
constexpr Duration StopIdleTime = 1s;
constexpr Duration StopTimeout = 10s;

} // namespace

BalancerDaemon::BalancerDaemon(const HostSettings &Host)
    : Host_(Host), Self_{agentId(Host.Name), Incarnation{randomBits()}},
      Random_(randomBits()), Timeline_(Host.Name, TimelineCapacity),
      Forwarder_(
          Loop_, BalancerIdentity{Host.Zone, Host.Data},
          {[this](const FetchRoster &Request) { onFetchRoster(Request); },
           [this](const Event &NewEvent) { record(NewEvent); }}),
      Peers_(Host, Self_, randomBits(), Timeline_, peerListener()) {}

BalancerDaemon::~BalancerDaemon() = default;

Peering::Listener BalancerDaemon::peerListener() {
  Peering::Listener Listener;
  Listener.OnSettings = [this](const SettingsPtr &Value) { onSettings(Value); };
  Listener.OnEvent = [this](const Event &NewEvent) { record(NewEvent); };
  Listener.OnMessage =
      [this](const std::shared_ptr<const wire::ControlMessage> &Value) {
        onControl(*Value);
      };
  return Listener;
}

tl::expected<void, std::string> BalancerDaemon::start() {
  Loop_.onStopSignal([this] { onStop(); });
  if (auto Started = Peers_.start(Host_.Control); !Started)
    return Started;
  if (auto Opened = openForwarder(); !Opened)
    return Opened;
  if (auto Started = startAdmin(); !Started)
    return Started;
  startPlatform();
  return {};
}

tl::expected<void, std::string> BalancerDaemon::openForwarder() {
  if (auto Opened = Forwarder_.bindDataAddress(); !Opened)
    return tl::unexpected("data port: " + Opened.error());
  if (Host_.Mode != EntryMode::Proxy)
    return {};
  if (auto Opened = Forwarder_.callerSockets().bindProxyAddress(Host_.Entry);
      !Opened)
    return tl::unexpected("entry port: " + Opened.error());
  return {};
}

tl::expected<void, std::string> BalancerDaemon::startAdmin() {
  AdminHandlers Handlers;
  Handlers.Ready = [this] { return Ready_.load(); };
  Handlers.StatusJson = [this] {
    return renderOnLoop(
        [this] { return statusJson(status(), Forwarder_.core()); });
  };
  Handlers.MetricsText = [this] {
    return renderOnLoop(
        [this] { return metricsText(status(), Forwarder_.core()); });
  };
  Handlers.TimelineJson = [this](uint64_t Since) {
    return Timeline_.snapshotJson(Since);
  };
  auto Admin = AdminServer::start(Host_.Admin, std::move(Handlers));
  if (!Admin)
    return tl::unexpected("admin port: " + Admin.error());
  Admin_ = std::move(*Admin);
  return {};
}

void BalancerDaemon::startPlatform() {
  PlatformLink::Listener Listener;
  Listener.Post = [this](std::function<void()> Task) {
    Loop_.post(std::move(Task));
  };
  Listener.OnSettings = [this](const std::vector<StoredObject> &Objects) {
    Peers_.merge(Objects);
  };
  Listener.OnRoster = [this](Roster Value) {
    Forwarder_.handle(RosterUpdate{std::move(Value)});
  };
  Listener.OnRosterWritten = [](const RosterWritten &) {};
  Listener.OnEvent = [this](const Event &NewEvent) { record(NewEvent); };
  Link_ = std::make_unique<PlatformLink>(Host_.Platform, Host_.Name,
                                         std::move(Listener));
}

void BalancerDaemon::run() {
  Peers_.watch(Loop_);
  Loop_.every(TickPeriod, [this] { onTick(); });
  Loop_.every(GossipPeriod,
              [this] { Peers_.gossip(gossipPeers(), Clock_.now()); });
  Event Started;
  Started.Kind = EventKind::Started;
  Started.Value = static_cast<uint64_t>(Self_.Start);
  record(Started);
  Loop_.run();
}

// Asks both the platform and peers: peers can supply a roster while the
// platform is down, and often have a new one before the platform delivers it.
void BalancerDaemon::onFetchRoster(const FetchRoster &Request) {
  const ServiceSettings *Service =
      Peers_.view().current()->service(Request.Service);
  if (!Service)
    return;
  Link_->watchRoster(Service->Team, Service->Name, Request.KnownVersion);
  const Roster *CurrentRoster = Forwarder_.core().roster(Request.Service);
  wire::ControlMessage Message = envelope(Request.Service);
  Message.mutable_roster_pull()->set_service(
      static_cast<uint64_t>(Request.Service));
  Message.mutable_roster_pull()->set_known_version(
      CurrentRoster ? CurrentRoster->Version : 0);
  if (CurrentRoster && !CurrentRoster->Agents.empty()) {
    Peers_.send(
        CurrentRoster->Agents[Random_() % CurrentRoster->Agents.size()].Control,
        Message);
    return;
  }
  for (Endpoint Peer : Host_.Peers)
    Peers_.send(Peer, Message);
}

void BalancerDaemon::record(const Event &NewEvent) {
  Timeline_.record(Clock_.wallTime(), NewEvent);
}

void BalancerDaemon::onControl(const wire::ControlMessage &Message) {
  if (Message.has_roster_pull()) {
    onRosterPull(Message);
    return;
  }
  if (!Message.has_roster_push())
    return;
  if (auto PushedRoster = wire::fromWire(Message.roster_push().roster()))
    Forwarder_.handle(RosterUpdate{std::move(*PushedRoster)});
}

void BalancerDaemon::onRosterPull(const wire::ControlMessage &Message) {
  const ServiceId Service{Message.roster_pull().service()};
  const Roster *CurrentRoster = Forwarder_.core().roster(Service);
  const auto To = wire::fromWire(Message.reply_to());
  if (!CurrentRoster || !To ||
      CurrentRoster->Version <= Message.roster_pull().known_version())
    return;
  wire::ControlMessage Answer = envelope(Service);
  *Answer.mutable_roster_push()->mutable_roster() =
      wire::toWire(*CurrentRoster);
  Peers_.send(*To, Answer);
}

wire::ControlMessage BalancerDaemon::envelope(ServiceId Service) const {
  wire::ControlMessage Message;
  *Message.mutable_sender() = wire::toWire(Self_);
  *Message.mutable_reply_to() = wire::toWire(Host_.Control);
  Message.set_service(static_cast<uint64_t>(Service));
  if (const Roster *CurrentRoster = Forwarder_.core().roster(Service))
    Message.set_roster_version(CurrentRoster->Version);
  return Message;
}

void BalancerDaemon::onSettings(const SettingsPtr &NewSettings) {
  if (Host_.Mode == EntryMode::Direct)
    Forwarder_.callerSockets().bindServiceAddresses(*NewSettings);
  Forwarder_.handle(SettingsUpdate{NewSettings});
}

// The configured peers, and one agent more than there are configured peers, so
// that gossip reaches both balancers and agents.
std::vector<Endpoint> BalancerDaemon::gossipPeers() {
  std::vector<Endpoint> Peers = Host_.Peers;
  std::erase(Peers, Host_.Control);
  for (size_t I = 0; I <= Host_.Peers.size(); ++I)
    if (auto Picked = Forwarder_.core().pickPeer(Random_()))
      Peers.push_back(*Picked);
  return Peers;
}

void BalancerDaemon::onStop() {
  if (StoppingSince_) {
    Loop_.stop(); // A second signal stops the balancer immediately.
    return;
  }
  StoppingSince_ = Clock_.now();
  Event Stopping;
  Stopping.Kind = EventKind::Stopping;
  record(Stopping);
  Ready_ = false;
}

void BalancerDaemon::onTick() {
  Forwarder_.handle(Tick{});
  Ready_ = Forwarder_.core().ready() && !StoppingSince_;
  if (!StoppingSince_)
    return;
  const TimePoint Now = Clock_.now();
  const TimePoint LastActivity =
      std::max(Forwarder_.lastPacketTime(), *StoppingSince_);
  if (Now - LastActivity >= StopIdleTime ||
      Now - *StoppingSince_ >= StopTimeout)
    Loop_.stop();
}

// Rendering the status takes time, so it is done only on request.
std::string BalancerDaemon::renderOnLoop(std::function<std::string()> Render) {
  auto Task =
      std::make_shared<std::packaged_task<std::string()>>(std::move(Render));
  std::future<std::string> Result = Task->get_future();
  Loop_.post([Task] { (*Task)(); });
  if (Result.wait_for(RenderTimeout) != std::future_status::ready)
    return {};
  return Result.get();
}

BalancerStatus BalancerDaemon::status() const {
  BalancerStatus Status;
  Status.Name = Host_.Name;
  Status.Zone = Host_.Zone;
  Status.Stopping = StoppingSince_.has_value();
  Status.SettingsSeen = Peers_.view().version();
  Status.RefusedSettings = Peers_.view().refused();
  Status.PlatformDown = Link_->isDown();
  Status.PlatformCalls = Link_->calls();
  Status.ControlBytesSent = Peers_.bus().bytesSent();
  Status.ControlBytesReceived = Peers_.bus().bytesReceived();
  Status.ControlDropped = Peers_.bus().dropped();
  Status.MalformedPackets = Forwarder_.malformed();
  Status.MalformedMessages = Peers_.bus().malformed();
  Status.ForeignMessages = Peers_.foreignMessages();
  Status.UnsentPackets = Forwarder_.unsent();
  return Status;
}

} // namespace dragonflystall
