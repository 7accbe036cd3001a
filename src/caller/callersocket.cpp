// The caller's socket on the operating system's UDP sockets.
#include "caller/callersocket.h"

#include "shell/socketaddress.h"

#include "wire/coap.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace dragonflystall {

namespace {

constexpr size_t ReceiveBufferBytes = 2048;

} // namespace

tl::expected<CallerSocket, std::string>
CallerSocket::connect(Endpoint Local, Endpoint Service) {
  CallerSocket Socket(
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (Socket.Descriptor_ < 0)
    return tl::unexpected(std::string(std::strerror(errno)));
  const sockaddr_in From = toSockaddr(Local);
  const sockaddr_in To = toSockaddr(Service);
  if (::bind(Socket.Descriptor_, reinterpret_cast<const sockaddr *>(&From),
             sizeof(From)) != 0 ||
      ::connect(Socket.Descriptor_, reinterpret_cast<const sockaddr *>(&To),
                sizeof(To)) != 0)
    return tl::unexpected(std::string(std::strerror(errno)));
  return Socket;
}

CallerSocket::CallerSocket(CallerSocket &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)) {}

CallerSocket::~CallerSocket() {
  if (Descriptor_ >= 0)
    ::close(Descriptor_);
}

Endpoint CallerSocket::local() const {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  ::getsockname(Descriptor_, reinterpret_cast<sockaddr *>(&Address), &Length);
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

void CallerSocket::send(const Message &Value) const {
  const std::string Datagram = wire::encodeCoap(Value);
  [[maybe_unused]] const ssize_t Sent =
      ::send(Descriptor_, Datagram.data(), Datagram.size(), 0);
}

std::vector<Message> CallerSocket::receive() const {
  std::vector<Message> Received;
  std::array<char, ReceiveBufferBytes> Buffer;
  for (;;) {
    const ssize_t Size = ::recv(Descriptor_, Buffer.data(), Buffer.size(), 0);
    // ECONNREFUSED reports an ICMP error for an earlier datagram, once; later
    // datagrams may still be received.
    if (Size < 0 && (errno == ECONNREFUSED || errno == EINTR))
      continue;
    if (Size < 0)
      return Received;
    auto Decoded = wire::decodeCoap(
        std::string_view(Buffer.data(), static_cast<size_t>(Size)));
    if (Decoded)
      Received.push_back(std::move(*Decoded));
  }
}

} // namespace dragonflystall
