// The relay over libevent's buffered sockets.
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

/// Makes the close of a socket a reset.
void resetOnClose(int Socket) {
  const linger Now = {1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
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
    throw std::runtime_error(toString(Listen) + ": cannot listen");
}

Relay::~Relay() {
  while (!Pairs_.empty())
    close(Pairs_.front(), /*Reset=*/true);
  evconnlistener_free(Listener_);
}

void Relay::onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
                     void *Self) {
  auto &R = *static_cast<Relay *>(Self);
  if (R.Mode_ == RelayMode::Reset) {
    resetOnClose(Socket);
    evutil_closesocket(Socket);
    return;
  }
  event_base *Base = R.Shared_.Base.get();
  Pair &P = R.Pairs_.emplace_back();
  P.Owner = &R;
  P.Caller = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  P.Server = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in Address = toSockaddr(R.Server_);
  for (bufferevent *End : {P.Caller, P.Server}) {
    bufferevent_setcb(End, &Relay::onRead, nullptr, &Relay::onEvent, &P);
    bufferevent_enable(End, EV_READ | EV_WRITE);
  }
  if (bufferevent_socket_connect(P.Server,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    R.close(P, /*Reset=*/true);
}

void Relay::onRead(bufferevent *From, void *Connection) {
  auto &P = *static_cast<Pair *>(Connection);
  evbuffer *Input = bufferevent_get_input(From);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  const TimePoint Now = P.Owner->Shared_.now();
  const bool Late = P.Owner->Mode_ == RelayMode::Delay;
  auto &Queue = From == P.Caller ? P.ToServer : P.ToCaller;
  Queue.push_back({Late ? Now + DelayLength : Now, std::move(Bytes)});
  P.Owner->pass(P, Now);
}

void Relay::onEvent(bufferevent *, short What, void *Connection) {
  if (What & BEV_EVENT_CONNECTED)
    return;
  auto &P = *static_cast<Pair *>(Connection);
  // One that is silent hides also that the other end is gone.
  if (P.Owner->Mode_ != RelayMode::Silent)
    P.Owner->close(P, What & BEV_EVENT_ERROR);
}

void Relay::pass(Pair &P, TimePoint Now) {
  const auto Drain = [Now](std::deque<Pair::Chunk> &Queue, bufferevent *To) {
    for (; !Queue.empty() && Queue.front().Due <= Now; Queue.pop_front())
      bufferevent_write(To, Queue.front().Bytes.data(),
                        Queue.front().Bytes.size());
  };
  if (Mode_ == RelayMode::Silent)
    return;
  Drain(P.ToServer, P.Server);
  if (Mode_ != RelayMode::SilentToCaller)
    Drain(P.ToCaller, P.Caller);
}

void Relay::close(Pair &P, bool Reset) {
  for (bufferevent *End : {P.Caller, P.Server}) {
    if (Reset && bufferevent_getfd(End) >= 0)
      resetOnClose(bufferevent_getfd(End));
    bufferevent_free(End);
  }
  std::erase_if(Pairs_, [&P](const Pair &Other) { return &Other == &P; });
}

void Relay::setMode(RelayMode Mode) {
  const bool Cut = Mode == RelayMode::Reset || Mode_ == RelayMode::Silent ||
                   Mode_ == RelayMode::SilentToCaller;
  Mode_ = Mode;
  // A connection on which bytes were lost is of no use any more.
  while (Cut && !Pairs_.empty())
    close(Pairs_.front(), /*Reset=*/true);
}

void Relay::tick(TimePoint Now) {
  for (Pair &P : Pairs_)
    pass(P, Now);
}

} // namespace dragonflystall::soak
