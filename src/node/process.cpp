// The frame of a process.
#include "node/process.h"

#include "platform/packetformat.h"

#include <csignal>
#include <stdexcept>

namespace dragonflystall::node {

namespace {

/// The settings file may change without a signal.
constexpr Duration SettingsCheckInterval = 2s;

} // namespace

Process::Process(const Settings &Initial, SettingsReader Read,
                 std::string_view Role, ConfigSources From)
    : Shared_(Initial.Name), Settings_(Initial), Health_(Shared_),
      Config_(Shared_, Health_, std::move(From),
              {[this] { onManifest(); }, [this] { onEvacuations(); },
               [this](const auto &Agents) { onPeerAgents(Agents); }}),
      Read_(std::move(Read)),
      Http_(Shared_.Base.get(),
            [this](const HttpRequest &Request) { return answer(Request); }),
      Ticker_(Shared_.Base.get(), TickInterval, [this] { tick(); }),
      Role_(Role), PacketMalformed_(Shared_.Counts.counter(
                       {"dragonflystall_packets_malformed",
                        "Datagrams that are no packet.", ""})),
      ControlMalformed_(Shared_.Counts.counter(
          {"dragonflystall_control_malformed_total",
           "Control messages that could not be read.", ""})),
      ManifestVersion_(Shared_.Counts.gauge(
          {"dragonflystall_manifest_version", "The manifest in force.", ""})),
      StoreUp_(Shared_.Counts.gauge(
          {"dragonflystall_store_up", "Whether the store answers.", ""})),
      StoreCalls_(Shared_.Counts.gauge(
          {"dragonflystall_store_reads", "Lists and watches so far.", ""})),
      LogLeftOut_(Shared_.Counts.gauge(
          {"dragonflystall_log_left_out", "Log lines left out.", ""})),
      DatagramsDropped_(Shared_.Counts.gauge(
          {"dragonflystall_datagrams_dropped",
           "Datagrams that were too long or that the system refused.", ""})) {
  Control_ = &bindUdp(Settings_.PeerControl,
                      [this](Endpoint From, std::string_view Bytes) {
                        onControlBytes(From, Bytes);
                      });
  listenHttp(Settings_.Peers);
  listenHttp(Settings_.Ready);
  listenHttp({Settings_.Packets.Ip, MetricsPort});
  event_base *Base = Shared_.Base.get();
  Signals_.emplace_back(Base, SIGTERM, [this] { stop(); });
  Signals_.emplace_back(Base, SIGINT, [this] { stop(); });
  Signals_.emplace_back(Base, SIGHUP, [this] { reload("signal"); });
  std::signal(SIGPIPE, SIG_IGN);
}

void Process::run() {
  Shared_.log(LogClass::State, "start")
      .text("role", Role_)
      .text("zone", Settings_.Zone)
      .text("packets", toString(Settings_.Packets));
  Config_.poll(Shared_.now());
  event_base_dispatch(Shared_.Base.get());
  Shared_.log(LogClass::State, "stopped");
}

UdpSocket &Process::bindUdp(Endpoint Local, UdpSocket::Receiver Each) {
  return bindUdpBatches(
      Local, [Each = std::move(Each)](std::span<const Datagram> Batch) {
        for (const Datagram &D : Batch)
          Each(D.From, D.Bytes);
      });
}

UdpSocket &Process::bindUdpBatches(Endpoint Local,
                                   UdpSocket::BatchReceiver Each) {
  UdpSocket &Result = *Sockets_.emplace_back(UdpSocket::bindOrThrow(Local));
  SocketWatches_.emplace_back(Shared_.Base.get(), Result.descriptor(),
                              [this, &Result, Each = std::move(Each)] {
                                Result.receiveBatches(Each);
                                flush();
                              });
  return Result;
}

void Process::listenHttp(Endpoint Local) {
  if (!Http_.listen(Local))
    throw std::runtime_error(toString(Local) + ": cannot listen");
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
  const TimePoint Now = Shared_.now();
  Shared_.Log.tick(Now);
  Config_.poll(Now);
  if (Now >= NextSettingsCheck_) {
    NextSettingsCheck_ = Now + SettingsCheckInterval;
    reload("check");
  }
  onTick(Now);
  flush();
}

void Process::reload(std::string_view Cause) {
  auto Fresh = Read_();
  if (!Fresh) {
    Shared_.log(LogClass::State, "reload-refused")
        .text("cause", Cause)
        .text("error", Fresh.error());
    return;
  }
  if (*Fresh == Settings_)
    return;
  Settings_ = std::move(*Fresh);
  Config_.setSeeds(Settings_.Seeds);
  Shared_.log(LogClass::State, "reload").text("cause", Cause);
}

void Process::stop() {
  if (Stopping_)
    return;
  Stopping_ = true;
  Shared_.log(LogClass::State, "stopping");
  onStop(Shared_.now());
  flush();
}

void Process::finish() { event_base_loopbreak(Shared_.Base.get()); }

void Process::onControlBytes(Endpoint From, std::string_view Bytes) {
  if (const auto Message = opaque::decodeControl(Bytes))
    onControl(*Message, From, Shared_.now());
  else
    ControlMalformed_.add();
}

HttpResponse Process::onRequest(const HttpRequest &) {
  return emptyAnswer(HttpStatus::NotFound);
}

HttpResponse Process::answer(const HttpRequest &Request) {
  const std::string Path = pathOf(Request.Target);
  if (Path == "/ready")
    return emptyAnswer(ready() && !Stopping_ ? HttpStatus::Ok
                                             : HttpStatus::Unavailable);
  if (Path == "/state")
    return jsonAnswer(
        HttpStatus::Ok,
        platform::encodePeerState({Config_.manifestContent(),
                                   config().evacuations(), agentsForPeers()}));
  if (Path == "/metrics") {
    ManifestVersion_.set(config().manifest().Version);
    StoreUp_.set(Health_.up());
    StoreCalls_.set(static_cast<int64_t>(Health_.calls()));
    LogLeftOut_.set(static_cast<int64_t>(Shared_.Log.leftOut()));
    int64_t Dropped = 0;
    for (const auto &Socket : Sockets_)
      Dropped += static_cast<int64_t>(Socket->dropped());
    DatagramsDropped_.set(Dropped);
    return {HttpStatus::Ok, Shared_.Counts.prometheusText(),
            "text/plain; version=0.0.4"};
  }
  return onRequest(Request);
}

} // namespace dragonflystall::node
