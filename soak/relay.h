// A TCP relay on loopback that delays, silences, cuts one way or resets what
// passes through it.
#ifndef DRAGONFLYSTALL_SOAK_RELAY_H
#define DRAGONFLYSTALL_SOAK_RELAY_H

#include "node/services.h"

#include <deque>
#include <list>

struct evconnlistener;
struct bufferevent;

namespace dragonflystall::soak {

/// What a relay does to connections, those that are open as those that come.
enum class RelayMode : uint8_t {
  Pass,
  Delay,          ///< Bytes of both directions come late.
  Silent,         ///< Nothing passes; connections stay open.
  SilentToCaller, ///< What the server sends does not pass.
  Reset,          ///< Connections are reset, new ones at once.
};
constexpr std::array<std::string_view, 5> RelayModeNames = {
    "pass", "delay", "silent", "silent-to-caller", "reset"};
constexpr std::string_view name(RelayMode M) {
  return RelayModeNames[static_cast<size_t>(M)];
}

class Relay {
public:
  /// Throws std::runtime_error when the address can't be bound.
  Relay(node::Services &Shared, Endpoint Listen, Endpoint Server);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  Endpoint address() const { return Listen_; }
  void setMode(RelayMode Mode);
  RelayMode mode() const { return Mode_; }
  /// Call regularly: passes on what was delayed long enough.
  void tick(TimePoint Now);

private:
  static constexpr Duration DelayLength = 300ms;

  /// Two connections, and what waits to be written to each.
  struct Pair {
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
  static void onEvent(bufferevent *From, short What, void *Connection);
  void pass(Pair &P, TimePoint Now);
  void close(Pair &P, bool Reset);

  node::Services &Shared_;
  Endpoint Listen_;
  Endpoint Server_;
  evconnlistener *Listener_;
  std::list<Pair> Pairs_;
  RelayMode Mode_ = RelayMode::Pass;
};

} // namespace dragonflystall::soak

#endif
