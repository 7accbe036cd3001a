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
  /// Local may have port 0 and address 0: the system chooses. The error is the
  /// system's text.
  static tl::expected<CallerSocket, std::string> connect(Endpoint Local,
                                                         Endpoint Service);
  CallerSocket(CallerSocket &&Other) noexcept;
  CallerSocket &operator=(CallerSocket &&Other) = delete;
  ~CallerSocket();

  int descriptor() const { return Descriptor_; }
  Endpoint local() const;
  /// A datagram that the system does not take counts as lost on the way.
  void send(const Message &Value) const;
  /// All messages that have come; datagrams that are no CoAP are dropped.
  std::vector<Message> receive() const;

private:
  explicit CallerSocket(int Descriptor) : Descriptor_(Descriptor) {}
  int Descriptor_ = -1;
};

} // namespace dragonflystall

#endif
