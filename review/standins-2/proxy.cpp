// Relays bytes with libevent's buffered sockets.
#include "proxy.h"

#include "shell/socketaddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>

namespace review {

Proxy::Proxy(node::Services &Shared, Endpoint Listen, Endpoint Server)
    : Shared_(Shared), Server_(Server) {
  const sockaddr_in Address = toSockaddr(Listen);
  Listener_ = evconnlistener_new_bind(
      Shared.Base.get(), &Proxy::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      /*backlog=*/-1, reinterpret_cast<const sockaddr *>(&Address),
      sizeof(Address));
  if (!Listener_)
    throw std::runtime_error(toString(Listen) + ": cannot listen");
}

Proxy::~Proxy() {
  while (!Pairs_.empty())
    close(Pairs_.front());
  evconnlistener_free(Listener_);
}

size_t Proxy::silenceOpenConnections() {
  for (Pair &P : Pairs_)
    P.Silent = true;
  return Pairs_.size();
}

void Proxy::onAccept(evconnlistener *, int Socket, sockaddr *, int,
                     void *Self) {
  auto &Owner = *static_cast<Proxy *>(Self);
  event_base *Base = Owner.Shared_.Base.get();
  Pair &P = Owner.Pairs_.emplace_back();
  P.Owner = &Owner;
  P.Client = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  P.Server = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent *Side : {P.Client, P.Server}) {
    bufferevent_setcb(Side, &Proxy::onRead, nullptr, &Proxy::onEvent, &P);
    bufferevent_enable(Side, EV_READ | EV_WRITE);
  }
  sockaddr_in Address = toSockaddr(Owner.Server_);
  if (bufferevent_socket_connect(P.Server,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    Owner.close(P);
}

void Proxy::onRead(bufferevent *From, void *Connection) {
  auto &P = *static_cast<Pair *>(Connection);
  evbuffer *Input = bufferevent_get_input(From);
  if (P.Silent)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(From == P.Client ? P.Server : P.Client, Input);
}

void Proxy::onEvent(bufferevent *, short Events, void *Connection) {
  auto &P = *static_cast<Pair *>(Connection);
  // Not even the end of a silent connection passes.
  if (!(Events & BEV_EVENT_CONNECTED) && !P.Silent)
    P.Owner->close(P);
}

void Proxy::close(Pair &Closed) {
  bufferevent_free(Closed.Client);
  bufferevent_free(Closed.Server);
  Pairs_.remove_if([&Closed](const Pair &P) { return &P == &Closed; });
}

} // namespace review
