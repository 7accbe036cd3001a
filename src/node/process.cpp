// Event loop, sockets, signals, settings and HTTP interface of a process.
#include "node/process.h"

#include "platform/packetformat.h"

#include <csignal>
#include <stdexcept>

namespace dragonflystall::node {

namespace {

/// How often the settings file is read again, since it may change without a
/// SIGHUP.
constexpr Duration SettingsCheckInterval = 2s;

} // namespace

Process::Process(const Settings &Initial, SettingsReader ReadSettings,
                 std::string_view Role, ConfigSources Sources)
    : Services_(Initial.Name), Settings_(Initial), Health_(Services_),
      Config_(Services_, Health_, std::move(Sources),
              {[this] { onManifest(); }, [this] { onEvacuations(); },
               [this](const auto &Agents) { onPeerAgents(Agents); }}),
      ReadSettings_(std::move(ReadSettings)),
      Http_(Services_.Base.get(),
            [this](const HttpRequest &Request) { return answer(Request); }),
      Ticker_(Services_.Base.get(), TickInterval, [this] { tick(); }),
      Role_(Role), PacketMalformed_(Services_.Counts.counter(
                       {"dragonflystall_packets_malformed",
                        "Datagrams that are not valid packets.", ""})),
      ControlMalformed_(
          Services_.Counts.counter({"dragonflystall_control_malformed_total",
                                    "Malformed control messages.", ""})),
      ManifestVersion_(
          Services_.Counts.gauge({"dragonflystall_manifest_version",
                                  "Version of the manifest in force.", ""})),
      StoreUp_(
          Services_.Counts.gauge({"dragonflystall_store_up",
                                  "Whether the store answers: 1 or 0.", ""})),
      StoreEra_(Services_.Counts.gauge(
          {"dragonflystall_store_era",
           "Era of the store: one more each time it returns from a copy.",
           ""})),
      LogLeftOut_(Services_.Counts.gauge(
          {"dragonflystall_log_left_out",
           "Log lines dropped by the rate limit or a full pipe.", ""})),
      DatagramsDropped_(Services_.Counts.gauge(
          {"dragonflystall_datagrams_dropped",
           "Datagrams that were too long or that the kernel refused.", ""})) {
  Control_ = &bindUdp(Settings_.PeerControl,
                      [this](Endpoint From, std::string_view Bytes) {
                        onControlBytes(From, Bytes);
                      });
  listenHttp(Settings_.Peers);
  listenHttp(Settings_.Ready);
  listenHttp({Settings_.Packets.Ip, MetricsPort});
  event_base *Base = Services_.Base.get();
  Signals_.emplace_back(Base, SIGTERM, [this] { stop(); });
  Signals_.emplace_back(Base, SIGINT, [this] { stop(); });
  Signals_.emplace_back(Base, SIGHUP, [this] { reload("signal"); });
  std::signal(SIGPIPE, SIG_IGN);
}

void Process::run() {
  Services_.log(LogClass::State, "start")
      .text("role", Role_)
      .text("zone", Settings_.Zone)
      .text("packets", toString(Settings_.Packets))
      .number("first_start", Settings_.FirstStart);
  Config_.poll(Services_.now());
  event_base_dispatch(Services_.Base.get());
  Services_.log(LogClass::State, "stopped");
}

UdpSocket &Process::bindUdp(Endpoint Local, UdpSocket::Receiver OnDatagram) {
  return bindUdpBatches(Local, [OnDatagram = std::move(OnDatagram)](
                                   std::span<const Datagram> Batch) {
    for (const Datagram &D : Batch)
      OnDatagram(D.From, D.Bytes);
  });
}

UdpSocket &Process::bindUdpBatches(Endpoint Local,
                                   UdpSocket::BatchReceiver OnBatch) {
  UdpSocket &Result = *Sockets_.emplace_back(UdpSocket::bindOrThrow(Local));
  SocketWatches_.emplace_back(Services_.Base.get(), Result.descriptor(),
                              [this, &Result, OnBatch = std::move(OnBatch)] {
                                Result.receiveBatches(OnBatch);
                                flush();
                              });
  return Result;
}

void Process::listenHttp(Endpoint Local) {
  if (!Http_.listen(Local))
    throw std::runtime_error(toString(Local) + ": cannot listen for HTTP");
}

std::optional<opaque::PacketHead> Process::readHead(std::string_view Bytes) {
  auto Head = platform::decodeHead(Bytes);
  if (!Head)
    PacketMalformed_.add();
  return Head;
}

void Process::sendControl(Endpoint To, const opaque::ControlMessage &Message) {
  Control_->send(To, opaque::encode(Message));
}

void Process::flush() {
  for (const auto &Socket : Sockets_)
    Socket->flush();
}

void Process::tick() {
  const TimePoint Now = Services_.now();
  Services_.Log.tick(Now);
  Config_.poll(Now);
  if (Now >= NextSettingsCheck_) {
    NextSettingsCheck_ = Now + SettingsCheckInterval;
    reload("check");
  }
  onTick(Now);
  flush();
}

void Process::reload(std::string_view Cause) {
  auto Reloaded = ReadSettings_();
  if (!Reloaded) {
    Services_.log(LogClass::State, "reload-refused")
        .text("cause", Cause)
        .text("error", Reloaded.error());
    return;
  }
  if (*Reloaded == Settings_)
    return;
  Settings_ = std::move(*Reloaded);
  Config_.setSeeds(Settings_.Seeds);
  Services_.log(LogClass::State, "reload").text("cause", Cause);
  onSettings();
}

void Process::stop() {
  if (Stopping_)
    return;
  Stopping_ = true;
  Services_.log(LogClass::State, "stopping");
  onStop(Services_.now());
  flush();
}

void Process::finish() { event_base_loopbreak(Services_.Base.get()); }

void Process::onControlBytes(Endpoint From, std::string_view Bytes) {
  if (const auto Message = opaque::decodeControl(Bytes))
    onControl(*Message, From, Services_.now());
  else
    ControlMalformed_.add();
}

HttpResponse Process::onRequest(const HttpRequest &) {
  return emptyJsonResponse(HttpStatus::NotFound);
}

std::string Process::stateForPeer(PeerStateParts Parts) const {
  const TimePoint Now = Services_.now();
  PeerState State;
  State.ManifestContent = Config_.manifestContent();
  State.Evacuations = config().evacuations().state(Now);
  State.History = config().history().state(Now);
  if (Parts == PeerStateParts::All)
    State.Agents = agentsForPeers();
  return encodePeerState(State);
}

HttpResponse Process::answer(const HttpRequest &Request) {
  const std::string Path = pathOf(Request.Target);
  if (Path == "/ready")
    return emptyJsonResponse(ready() && !Stopping_ ? HttpStatus::Ok
                                                   : HttpStatus::Unavailable);
  if (Path == PeerStatePath)
    return jsonResponse(HttpStatus::Ok, stateForPeer(partsOf(Request)));
  if (Path == "/metrics") {
    ManifestVersion_.set(config().manifest().Version);
    StoreUp_.set(Health_.up());
    StoreEra_.set(Health_.era());
    LogLeftOut_.set(static_cast<int64_t>(Services_.Log.droppedLines()));
    int64_t Dropped = 0;
    for (const auto &Socket : Sockets_)
      Dropped += static_cast<int64_t>(Socket->dropped());
    DatagramsDropped_.set(Dropped);
    return {HttpStatus::Ok, Services_.Counts.prometheusText(),
            "text/plain; version=0.0.4"};
  }
  return onRequest(Request);
}

} // namespace dragonflystall::node
