// A single non-blocking connect.
#include "node/portprobe.h"

#include "shell/socketaddress.h"

#include <cerrno>
#include <sys/socket.h>

namespace dragonflystall::node {

namespace {

/// A connection that is neither accepted nor refused within this time tells
/// nothing.
constexpr timeval ConnectTimeout = {1, 0};

} // namespace

PortProbe::PortProbe(event_base *Base, Endpoint Address, Refused OnRefused)
    : Socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      OnRefused_(std::move(OnRefused)) {
  if (!Socket_)
    return;
  const sockaddr_in Target = toSockaddr(Address);
  // The result of connect() is read from the socket's error, in onDone().
  static_cast<void>(::connect(Socket_.get(),
                              reinterpret_cast<const sockaddr *>(&Target),
                              sizeof Target));
  Event_.reset(event_new(Base, Socket_.get(), EV_WRITE, &onDone, this));
  event_add(Event_.get(), &ConnectTimeout);
}

void PortProbe::onDone(evutil_socket_t, short What, void *Self) {
  auto &Probe = *static_cast<PortProbe *>(Self);
  int Error = 0;
  socklen_t Size = sizeof Error;
  const bool IsRead = ::getsockopt(Probe.Socket_.get(), SOL_SOCKET, SO_ERROR,
                                   &Error, &Size) == 0;
  Probe.Socket_ = Descriptor();
  if ((What & EV_WRITE) && IsRead && Error == ECONNREFUSED)
    Probe.OnRefused_();
}

} // namespace dragonflystall::node
