// A TCP relay on loopback that can delay bytes, block one or both directions
// and reset connections.
#ifndef DRAGONFLYSTALL_SOAK_RELAY_H
#define DRAGONFLYSTALL_SOAK_RELAY_H

#include "node/services.h"

#include <deque>
#include <list>

struct evconnlistener;
struct bufferevent;

namespace dragonflystall::soak {

/// Treatment of open and new connections by a relay.
enum class RelayMode : uint8_t {
  Pass,
  Delay,          ///< Bytes are delayed in both directions.
  Silent,         ///< No bytes are forwarded; connections stay open.
  SilentToCaller, ///< Bytes from the server are not forwarded.
  Reset,          ///< Open connections are reset, new ones on accept.
};
constexpr std::array<std::string_view, 5> RelayModeNames = {
    "pass", "delay", "silent", "silent-to-caller", "reset"};
constexpr std::string_view name(RelayMode Mode) {
  return RelayModeNames[static_cast<size_t>(Mode)];
}

class Relay {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  Relay(node::Services &Shared, Endpoint Listen, Endpoint Server);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  Endpoint address() const { return Listen_; }
  void setMode(RelayMode Mode);
  RelayMode mode() const { return Mode_; }
  /// Must be called regularly; forwards delayed bytes that are due.
  void tick(TimePoint Now);

private:
  static constexpr Duration DelayLength = 300ms;

  /// A relayed connection: its two sockets and the bytes queued for each.
  struct ConnectionPair {
    Relay *Owner;
    bufferevent *Caller;
    bufferevent *Server;
    struct Chunk {
      TimePoint Due;
      std::string Bytes;
    };
    std::deque<Chunk> ToServer;
    std::deque<Chunk> ToCaller;
  };

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *From, void *Connection);
  static void onEvent(bufferevent *From, short Events, void *Connection);
  void forward(ConnectionPair &Pair, TimePoint Now);
  void close(ConnectionPair &Pair, bool Reset);

  node::Services &Shared_;
  Endpoint Listen_;
  Endpoint Server_;
  evconnlistener *Listener_;
  std::list<ConnectionPair> Pairs_;
  RelayMode Mode_ = RelayMode::Pass;
};

} // namespace dragonflystall::soak

#endif
