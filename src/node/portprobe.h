// Finds out whether a process listens on a TCP port of the local host.
#ifndef DRAGONFLYSTALL_SRC_NODE_PORTPROBE_H
#define DRAGONFLYSTALL_SRC_NODE_PORTPROBE_H

#include "node/services.h"
#include "shell/descriptor.h"

namespace dragonflystall::node {

/// Connects once and closes the connection without sending anything.
class PortProbe {
public:
  /// Called from the event loop if the connection is refused, which shows that
  /// no process listens; never called otherwise.
  using Refused = std::function<void()>;

  PortProbe(event_base *Base, Endpoint Address, Refused OnRefused);
  PortProbe(const PortProbe &) = delete;
  PortProbe &operator=(const PortProbe &) = delete;

private:
  static void onDone(evutil_socket_t, short, void *Self);

  Descriptor Socket_;
  Refused OnRefused_;
  EventPtr Event_;
};

} // namespace dragonflystall::node

#endif
