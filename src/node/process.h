// The base of the balancer and agent processes: event loop, sockets, signals,
// settings and the HTTP interface for peers and operators.
#ifndef DRAGONFLYSTALL_SRC_NODE_PROCESS_H
#define DRAGONFLYSTALL_SRC_NODE_PROCESS_H

#include "node/configsource.h"
#include "node/settings.h"
#include "shell/udpsocket.h"

#include <deque>

namespace dragonflystall::node {

using SettingsReader = std::function<tl::expected<Settings, std::string>()>;

/// TCP port of the packets' address where Prometheus fetches the metrics. The
/// HTTP port for peers serves them, too.
constexpr uint16_t MetricsPort = 9464;

class Process {
public:
  /// Throws std::runtime_error when an address can't be bound.
  Process(const Settings &Initial, SettingsReader ReadSettings,
          std::string_view Role, ConfigSources Sources);
  virtual ~Process() = default;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Serves until SIGTERM or SIGINT, then until the process has finished its
  /// shutdown.
  void run();

protected:
  static constexpr Duration TickInterval = 100ms;
  /// Called every TickInterval.
  virtual void onTick(TimePoint Now) = 0;
  virtual void onControl(const opaque::ControlMessage &Message, Endpoint From,
                         TimePoint Now) = 0;
  virtual void onManifest() {}
  /// Settings_ has changed.
  virtual void onSettings() {}
  virtual void onEvacuations() {}
  virtual void onPeerAgents(const opaque::AgentList &) {}
  /// Begins the shutdown. The process calls finish() at the end of it.
  virtual void onStop(TimePoint Now) = 0;
  virtual bool ready() const = 0;
  virtual opaque::AgentList agentsForPeers() const { return {}; }
  /// Answers an HTTP request other than those that every process answers
  /// (/ready, /state and /metrics).
  virtual HttpResponse onRequest(const HttpRequest &Request);

  /// Binds a socket and calls OnDatagram for each received datagram. Throws
  /// std::runtime_error when the address can't be bound.
  UdpSocket &bindUdp(Endpoint Local, UdpSocket::Receiver OnDatagram);
  /// The same, with one call of OnBatch for each batch of datagrams.
  UdpSocket &bindUdpBatches(Endpoint Local, UdpSocket::BatchReceiver OnBatch);
  /// Throws std::runtime_error when the address can't be bound.
  void listenHttp(Endpoint Local);
  /// std::nullopt for a malformed packet, which is counted.
  std::optional<opaque::PacketHead> readHead(std::string_view Bytes);
  void sendControl(Endpoint To, const opaque::ControlMessage &Message);
  void flush();
  void finish();
  bool stopping() const { return Stopping_; }
  const opaque::Configuration &config() const { return Config_.config(); }

  Services Services_;
  Settings Settings_;
  StoreHealth Health_;
  ConfigSource Config_;

private:
  void tick();
  void reload(std::string_view Cause);
  void stop();
  HttpResponse answer(const HttpRequest &Request);
  std::string stateForPeer(PeerStateParts Parts) const;
  void onControlBytes(Endpoint From, std::string_view Bytes);

  SettingsReader ReadSettings_;
  HttpServer Http_;
  std::deque<std::unique_ptr<UdpSocket>> Sockets_;
  std::deque<ReadWatch> SocketWatches_;
  UdpSocket *Control_ = nullptr;
  std::deque<SignalWatch> Signals_;
  Ticker Ticker_;
  TimePoint NextSettingsCheck_{};
  bool Stopping_ = false;
  std::string Role_;
  Counter &PacketMalformed_;
  Counter &ControlMalformed_;
  Gauge &ManifestVersion_;
  Gauge &StoreUp_;
  Gauge &StoreEra_;
  Gauge &LogLeftOut_;
  Gauge &DatagramsDropped_;
};

} // namespace dragonflystall::node

#endif
