// A bound UDP socket with batched system calls (recvmmsg, sendmmsg).
#ifndef DRAGONFLYSTALL_SRC_SHELL_UDPSOCKET_H
#define DRAGONFLYSTALL_SRC_SHELL_UDPSOCKET_H

#include "dragonflystall/types.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflystall {

/// The largest accepted datagram. Holds a CoAP message of 1,152 bytes together
/// with the internal packet header.
constexpr size_t MaxDatagramBytes = 2048;

struct Datagram {
  Endpoint From;
  std::string_view Bytes;
};

class UdpSocket {
public:
  using BatchReceiver = std::function<void(std::span<const Datagram>)>;
  using Receiver = std::function<void(Endpoint From, std::string_view Bytes)>;

  /// Binds; the error is the operating system's message.
  static tl::expected<std::unique_ptr<UdpSocket>, std::string>
  bind(Endpoint Local);
  /// Like bind(), but throws std::runtime_error with the address and the cause.
  static std::unique_ptr<UdpSocket> bindOrThrow(Endpoint Local);
  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  int descriptor() const;
  /// Reads until the socket is empty or a few batches were read. Bytes are
  /// valid during the call to OnDatagram only.
  void receive(const Receiver &OnDatagram);
  /// Like receive(), with all datagrams of a system call at once.
  void receiveBatches(const BatchReceiver &OnBatch);
  /// Copies the datagram into the batch, and sends the batch when it is full.
  /// Head and Tail form one datagram. Datagrams that the kernel refuses are
  /// dropped and counted.
  void send(Endpoint To, std::string_view Head, std::string_view Tail = {});
  void flush();
  uint64_t dropped() const;

private:
  UdpSocket();
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
