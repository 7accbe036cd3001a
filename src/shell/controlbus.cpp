// The control bus on ZeroMQ. Each peer has a separate DEALER socket, so that an
// unresponsive peer does not delay messages to other peers. Replies arrive at
// the requester's ROUTER socket.
#include "controlbus.h"

#include <control.pb.h>
#include <map>
#include <utility>
#include <zmq.hpp>

namespace dragonflystall {

namespace {

using std::chrono::milliseconds;

/// Messages queued for one peer. Further messages are dropped, because they
/// would be outdated by the time the peer is reachable again.
constexpr int SendQueueLimit = 256;
constexpr int ReceiveQueueLimit = 1024;
/// The body of a spilled request and a settings object are both smaller.
constexpr int64_t MaxMessageBytes = 4 << 20;
/// ZeroMQ message property with the TCP peer's IP address.
constexpr const char *PeerAddressProperty = "Peer-Address";
constexpr size_t MaxPeers = 512;
constexpr Duration IdleTimeout = 60s;
/// A connection without an answer to its heartbeats is closed and reopened.
constexpr milliseconds HeartbeatInterval = 2s;
constexpr milliseconds HeartbeatTimeout = 4s;
constexpr milliseconds ConnectTimeout = 2s;
constexpr milliseconds ReconnectInterval = 100ms;
/// Kept short because a restarted agent places no flows before its peers have
/// answered.
constexpr milliseconds ReconnectIntervalMax = 300ms;

int toInt(milliseconds Value) { return static_cast<int>(Value.count()); }

void setCommonOptions(zmq::socket_t &Socket) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, SendQueueLimit);
  Socket.set(zmq::sockopt::rcvhwm, ReceiveQueueLimit);
  Socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
  Socket.set(zmq::sockopt::heartbeat_ivl, toInt(HeartbeatInterval));
  Socket.set(zmq::sockopt::heartbeat_timeout, toInt(HeartbeatTimeout));
  Socket.set(zmq::sockopt::heartbeat_ttl, toInt(HeartbeatTimeout));
  Socket.set(zmq::sockopt::handshake_ivl, toInt(ConnectTimeout));
}

uint32_t peerIp(zmq::message_t &Message) {
  const char *Text = nullptr;
  try {
    Text = Message.gets(PeerAddressProperty);
  } catch (const zmq::error_t &) {
    return 0;
  }
  const auto Address = parseEndpoint(std::string(Text) + ":1");
  return Address ? Address->Ip : 0;
}

struct PeerSocket {
  zmq::socket_t Socket;
  /// Whether a message was sent since the last tick(). The connection is
  /// closed after IdleTimeout without use.
  bool Used = true;
  TimePoint LastUsed{};
};

} // namespace

struct ControlBus::State {
  Endpoint Local;
  zmq::context_t Context{/*io_threads=*/1};
  zmq::socket_t Router{Context, zmq::socket_type::router};
  /// By control address.
  std::map<Endpoint, PeerSocket> Peers;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  uint64_t Dropped = 0;
  uint64_t Malformed = 0;

  PeerSocket *connect(Endpoint To);
  void deliver(zmq::message_t &Body, const Receiver &OnMessage);
};

ControlBus::ControlBus() : State_(std::make_unique<State>()) {}
ControlBus::~ControlBus() = default;

tl::expected<std::unique_ptr<ControlBus>, std::string>
ControlBus::bind(Endpoint Local) {
  std::unique_ptr<ControlBus> Result(new ControlBus);
  State &S = *Result->State_;
  S.Local = Local;
  try {
    setCommonOptions(S.Router);
    S.Router.bind("tcp://" + toString(Local));
  } catch (const zmq::error_t &Error) {
    return tl::unexpected(std::string(Error.what()));
  }
  return Result;
}

int ControlBus::descriptor() const {
  return State_->Router.get(zmq::sockopt::fd);
}

void ControlBus::State::deliver(zmq::message_t &Body,
                                const Receiver &OnMessage) {
  auto Value = std::make_shared<wire::ControlMessage>();
  if (!Value->ParseFromArray(Body.data(), static_cast<int>(Body.size()))) {
    ++Malformed;
    return;
  }
  BytesReceived += Body.size();
  OnMessage(peerIp(Body), std::move(Value));
}

// The descriptor is edge-triggered: it may not become readable again unless all
// queued messages are read.
void ControlBus::receive(const Receiver &OnMessage) {
  State &S = *State_;
  zmq::message_t Part;
  while (S.Router.recv(Part, zmq::recv_flags::dontwait)) {
    size_t Parts = 1; // The first part is the routing id of the connection.
    while (Part.more() && S.Router.recv(Part, zmq::recv_flags::dontwait))
      ++Parts;
    if (Parts == 2)
      S.deliver(Part, OnMessage);
    else
      ++S.Malformed;
  }
}

// Connections are bound to the local control address, because receivers check a
// sender's address against the settings.
PeerSocket *ControlBus::State::connect(Endpoint To) {
  auto It = Peers.find(To);
  if (It != Peers.end())
    return &It->second;
  if (Peers.size() >= MaxPeers)
    return nullptr;
  zmq::socket_t Socket(Context, zmq::socket_type::dealer);
  setCommonOptions(Socket);
  Socket.set(zmq::sockopt::immediate, false);
  Socket.set(zmq::sockopt::connect_timeout, toInt(ConnectTimeout));
  Socket.set(zmq::sockopt::reconnect_ivl, toInt(ReconnectInterval));
  Socket.set(zmq::sockopt::reconnect_ivl_max, toInt(ReconnectIntervalMax));
  Socket.connect("tcp://" + ipText(Local.Ip) + ":0;" + toString(To));
  return &Peers.emplace(To, PeerSocket{std::move(Socket)}).first->second;
}

void ControlBus::send(Endpoint To, const wire::ControlMessage &Value) {
  State &S = *State_;
  try {
    PeerSocket *Receiver = S.connect(To);
    zmq::message_t Body(Value.ByteSizeLong());
    Value.SerializeWithCachedSizesToArray(Body.data<uint8_t>());
    const size_t Bytes = Body.size();
    if (Receiver && Receiver->Socket.send(Body, zmq::send_flags::dontwait)) {
      Receiver->Used = true;
      S.BytesSent += Bytes;
      return;
    }
  } catch (const zmq::error_t &) {
    // The address cannot be connected to; the message is counted as dropped.
  }
  ++S.Dropped;
}

void ControlBus::replace(Endpoint Peer) { State_->Peers.erase(Peer); }

void ControlBus::closeUnless(
    const std::function<bool(Endpoint Peer)> &IsWanted) {
  for (auto It = State_->Peers.begin(); It != State_->Peers.end();)
    It = IsWanted(It->first) ? std::next(It) : State_->Peers.erase(It);
}

void ControlBus::tick(TimePoint Now) {
  for (auto It = State_->Peers.begin(); It != State_->Peers.end();) {
    PeerSocket &Peer = It->second;
    if (std::exchange(Peer.Used, false))
      Peer.LastUsed = Now;
    const bool Idle = Now - Peer.LastUsed > IdleTimeout;
    It = Idle ? State_->Peers.erase(It) : std::next(It);
  }
}

uint64_t ControlBus::bytesSent() const { return State_->BytesSent; }
uint64_t ControlBus::bytesReceived() const { return State_->BytesReceived; }
uint64_t ControlBus::dropped() const { return State_->Dropped; }
uint64_t ControlBus::malformed() const { return State_->Malformed; }

} // namespace dragonflystall
