// The frame of a process: event loop, sockets, signals, settings and the
// interface for peers and operators, which balancer and agent share.
#ifndef DRAGONFLYSTALL_SRC_NODE_PROCESS_H
#define DRAGONFLYSTALL_SRC_NODE_PROCESS_H

#include "node/configsource.h"
#include "node/settings.h"
#include "shell/udpsocket.h"

#include <deque>

namespace dragonflystall::node {

using SettingsReader = std::function<tl::expected<Settings, std::string>()>;

/// Where Prometheus fetches the metrics, beside the port for peers.
constexpr uint16_t MetricsPort = 9464;

class Process {
public:
  /// Throws std::runtime_error when an address can't be bound.
  Process(const Settings &Initial, SettingsReader Read, std::string_view Role,
          ConfigSources From);
  virtual ~Process() = default;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Serves until it is told to stop.
  void run();

protected:
  /// Every TickInterval.
  static constexpr Duration TickInterval = 100ms;
  virtual void onTick(TimePoint Now) = 0;
  virtual void onControl(const opaque::ControlMessage &Message, Endpoint From,
                         TimePoint Now) = 0;
  virtual void onManifest() {}
  virtual void onEvacuations() {}
  virtual void onPeerAgents(const std::vector<opaque::AgentEntry> &) {}
  /// Told to stop: calls finish() when it is done.
  virtual void onStop(TimePoint Now) = 0;
  virtual bool ready() const = 0;
  virtual std::vector<opaque::AgentEntry> agentsForPeers() const { return {}; }
  /// An HTTP request that is none of those that every process answers.
  virtual HttpResponse onRequest(const HttpRequest &Request);

  /// A bound socket whose datagrams go to Each; throws std::runtime_error.
  UdpSocket &bindUdp(Endpoint Local, UdpSocket::Receiver Each);
  /// The same, a batch at a time.
  UdpSocket &bindUdpBatches(Endpoint Local, UdpSocket::BatchReceiver Each);
  /// Throws std::runtime_error.
  void listenHttp(Endpoint Local);
  /// std::nullopt for a datagram that is no packet, which is counted.
  std::optional<opaque::PacketHead> readHead(std::string_view Bytes);
  void sendControl(Endpoint To, const opaque::ControlMessage &Message);
  void flush();
  void finish();
  bool stopping() const { return Stopping_; }
  const opaque::Configuration &config() const { return Config_.config(); }

  Services Shared_;
  Settings Settings_;
  StoreHealth Health_;
  ConfigSource Config_;

private:
  void tick();
  void reload(std::string_view Cause);
  void stop();
  HttpResponse answer(const HttpRequest &Request);
  void onControlBytes(Endpoint From, std::string_view Bytes);

  SettingsReader Read_;
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
  Gauge &StoreCalls_;
  Gauge &LogLeftOut_;
  Gauge &DatagramsDropped_;
};

} // namespace dragonflystall::node

#endif
