// Implements the relay with libevent's buffered sockets.
#include "soak/relay.h"

#include "shell/socketaddress.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>

namespace dragonflystall::soak {

namespace {

/// Makes the socket send a reset when it is closed.
void resetOnClose(int Socket) {
  const linger Abort = {1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
}

} // namespace

Relay::Relay(node::Services &Shared, Endpoint Listen, Endpoint Server)
    : Shared_(Shared), Listen_(Listen), Server_(Server) {
  const sockaddr_in Address = toSockaddr(Listen);
  Listener_ = evconnlistener_new_bind(
      Shared.Base.get(), &Relay::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      /*backlog=*/-1, reinterpret_cast<const sockaddr *>(&Address),
      sizeof(Address));
  if (!Listener_)
    throw std::runtime_error(toString(Listen) +
                             ": cannot bind the relay's address");
}

Relay::~Relay() {
  while (!Pairs_.empty())
    close(Pairs_.front(), /*Reset=*/true);
  evconnlistener_free(Listener_);
}

void Relay::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
                     void *Self) {
  auto &Owner = *static_cast<Relay *>(Self);
  if (Owner.Mode_ == RelayMode::Reset) {
    resetOnClose(Socket);
    evutil_closesocket(Socket);
    return;
  }
  event_base *Base = Owner.Shared_.Base.get();
  ConnectionPair &Pair = Owner.Pairs_.emplace_back();
  Pair.Owner = &Owner;
  Pair.Caller = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  Pair.Server = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in Address = toSockaddr(Owner.Server_);
  for (bufferevent *Side : {Pair.Caller, Pair.Server}) {
    bufferevent_setcb(Side, &Relay::onRead, nullptr, &Relay::onEvent, &Pair);
    bufferevent_enable(Side, EV_READ | EV_WRITE);
  }
  if (bufferevent_socket_connect(Pair.Server,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    Owner.close(Pair, /*Reset=*/true);
}

void Relay::onRead(bufferevent *From, void *Connection) {
  auto &Pair = *static_cast<ConnectionPair *>(Connection);
  evbuffer *Input = bufferevent_get_input(From);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  const TimePoint Now = Pair.Owner->Shared_.now();
  const bool IsDelayed = Pair.Owner->Mode_ == RelayMode::Delay;
  auto &Queue = From == Pair.Caller ? Pair.ToServer : Pair.ToCaller;
  Queue.push_back({IsDelayed ? Now + DelayLength : Now, std::move(Bytes)});
  Pair.Owner->forward(Pair, Now);
}

void Relay::onEvent(bufferevent *, short Events, void *Connection) {
  if (Events & BEV_EVENT_CONNECTED)
    return;
  auto &Pair = *static_cast<ConnectionPair *>(Connection);
  // A silent relay does not forward the end of a connection either.
  if (Pair.Owner->Mode_ != RelayMode::Silent)
    Pair.Owner->close(Pair, Events & BEV_EVENT_ERROR);
}

void Relay::forward(ConnectionPair &Pair, TimePoint Now) {
  const auto WriteDue = [Now](std::deque<ConnectionPair::Chunk> &Queue,
                              bufferevent *To) {
    for (; !Queue.empty() && Queue.front().Due <= Now; Queue.pop_front())
      bufferevent_write(To, Queue.front().Bytes.data(),
                        Queue.front().Bytes.size());
  };
  if (Mode_ == RelayMode::Silent)
    return;
  WriteDue(Pair.ToServer, Pair.Server);
  if (Mode_ != RelayMode::SilentToCaller)
    WriteDue(Pair.ToCaller, Pair.Caller);
}

void Relay::close(ConnectionPair &Pair, bool Reset) {
  for (bufferevent *Side : {Pair.Caller, Pair.Server}) {
    if (Reset && bufferevent_getfd(Side) >= 0)
      resetOnClose(bufferevent_getfd(Side));
    bufferevent_free(Side);
  }
  std::erase_if(
      Pairs_, [&Pair](const ConnectionPair &Other) { return &Other == &Pair; });
}

void Relay::setMode(RelayMode Mode) {
  const bool Cut = Mode == RelayMode::Reset || Mode_ == RelayMode::Silent ||
                   Mode_ == RelayMode::SilentToCaller;
  Mode_ = Mode;
  // Resets all connections in the Reset mode and after bytes were blocked: a
  // connection on which bytes were lost cannot be used any more.
  while (Cut && !Pairs_.empty())
    close(Pairs_.front(), /*Reset=*/true);
}

void Relay::tick(TimePoint Now) {
  for (ConnectionPair &Pair : Pairs_)
    forward(Pair, Now);
}

} // namespace dragonflystall::soak
