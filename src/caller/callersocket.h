// A caller's UDP socket, connected to the service's address. One socket is one
// flow.
#ifndef DRAGONFLYSTALL_SRC_CALLER_CALLERSOCKET_H
#define DRAGONFLYSTALL_SRC_CALLER_CALLERSOCKET_H

#include "dragonflystall/message.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dragonflystall {

class CallerSocket {
public:
  /// The operating system chooses the port or address of Local if it is 0. The
  /// error is the operating system's message.
  static tl::expected<CallerSocket, std::string> connect(Endpoint Local,
                                                         Endpoint Service);
  CallerSocket(CallerSocket &&Other) noexcept;
  CallerSocket &operator=(CallerSocket &&Other) = delete;
  ~CallerSocket();

  int descriptor() const { return Descriptor_; }
  Endpoint local() const;
  /// Errors are ignored: a datagram that the operating system does not accept
  /// is treated like one lost in the network.
  void send(const Message &Value) const;
  /// Returns all messages received so far. Datagrams that are not valid CoAP
  /// are dropped.
  std::vector<Message> receive() const;

private:
  explicit CallerSocket(int Descriptor) : Descriptor_(Descriptor) {}
  int Descriptor_ = -1;
};

} // namespace dragonflystall

#endif
