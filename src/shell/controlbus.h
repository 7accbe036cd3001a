// Control messages between agents and balancers over ZeroMQ: one ROUTER socket
// that receives, and one DEALER socket for each peer that messages were sent
// to. Connections without heartbeat answers are replaced; idle ones are closed.
#ifndef DRAGONFLYSTALL_SRC_SHELL_CONTROLBUS_H
#define DRAGONFLYSTALL_SRC_SHELL_CONTROLBUS_H

#include "dragonflystall/types.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall::wire {
class ControlMessage;
} // namespace dragonflystall::wire

namespace dragonflystall {

class ControlBus {
public:
  /// FromIp is the TCP peer's address; the receiver checks it against the
  /// settings.
  using Receiver = std::function<void(
      uint32_t FromIp, std::shared_ptr<const wire::ControlMessage> Value)>;

  /// Binds the ROUTER; the error is the operating system's message.
  static tl::expected<std::unique_ptr<ControlBus>, std::string>
  bind(Endpoint Local);
  ~ControlBus();
  ControlBus(const ControlBus &) = delete;
  ControlBus &operator=(const ControlBus &) = delete;

  /// Becomes readable when messages may be available to receive().
  int descriptor() const;
  void receive(const Receiver &OnMessage);
  /// Never blocks. If the peer's queue is full, the message is dropped and
  /// counted.
  void send(Endpoint To, const wire::ControlMessage &Value);
  /// Closes the connection to a peer that has not sent anything for too long;
  /// the next send opens a new one.
  void replace(Endpoint Peer);
  /// Closes the connections to all peers for which IsWanted returns false,
  /// within milliseconds, so that not even a heartbeat is sent to an evacuated
  /// zone.
  void closeUnless(const std::function<bool(Endpoint Peer)> &IsWanted);
  /// Closes connections that have not been used for 60 s.
  void tick(TimePoint Now);
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;
  /// Messages dropped because the peer's queue was full or its address could
  /// not be connected to.
  uint64_t dropped() const;
  /// Messages that could not be parsed.
  uint64_t malformed() const;

private:
  ControlBus();
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
