// Control messages between our processes over ZeroMQ: a ROUTER that receives
// and a DEALER for each peer that was sent to. Connections that stay silent
// are replaced; idle ones are closed.
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
  /// FromIp is the TCP peer's address, for the check against the settings.
  using Receiver = std::function<void(
      uint32_t FromIp, std::shared_ptr<const wire::ControlMessage> Value)>;

  /// Binds the ROUTER; the error is the system's text.
  static tl::expected<std::unique_ptr<ControlBus>, std::string>
  bind(Endpoint Local);
  ~ControlBus();
  ControlBus(const ControlBus &) = delete;
  ControlBus &operator=(const ControlBus &) = delete;

  /// Becomes readable when receive() may have work.
  int descriptor() const;
  void receive(const Receiver &Each);
  /// Never blocks; a peer's full queue drops the message and counts it.
  void send(Endpoint To, const wire::ControlMessage &Value);
  /// The peer was not heard for too long: drop the connection to it, so that
  /// the next send makes a new one.
  void replace(Endpoint Peer);
  /// Closes the connections to all other peers, within milliseconds: not even
  /// a heartbeat goes to a zone that is out.
  void closeUnless(const std::function<bool(Endpoint Peer)> &Wanted);
  /// Closes connections that were not used for a minute.
  void tick(TimePoint Now);
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;
  /// Messages that found a full queue or an impossible address.
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
