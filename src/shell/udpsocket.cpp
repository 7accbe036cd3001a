// Batched UDP: datagrams are received and sent dozens at a time, so that the
// cost of a system call is shared.
#include "udpsocket.h"

#include "descriptor.h"
#include "socketaddress.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>

namespace dragonflystall {

namespace {

constexpr size_t BatchSize = 64;
/// Keeps one busy socket from starving the others and the timers.
constexpr int BatchesPerReceive = 4;
/// Room for bursts while the process is busy; the kernel may grant less.
constexpr int SocketBufferBytes = 4 << 20;

/// Fixed buffers for one system call. Invariant: Headers[I] points at
/// Vectors[I], Buffers[I] and Addresses[I].
struct Batch {
  std::array<std::array<char, MaxDatagramBytes>, BatchSize> Buffers;
  std::array<iovec, BatchSize> Vectors{};
  std::array<sockaddr_in, BatchSize> Addresses{};
  std::array<mmsghdr, BatchSize> Headers{};

  Batch() {
    for (size_t I = 0; I < BatchSize; ++I) {
      Vectors[I] = {Buffers[I].data(), MaxDatagramBytes};
      Headers[I].msg_hdr.msg_iov = &Vectors[I];
      Headers[I].msg_hdr.msg_iovlen = 1;
      Headers[I].msg_hdr.msg_name = &Addresses[I];
      Headers[I].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }
};

tl::unexpected<std::string> systemError(const char *What) {
  return tl::unexpected(std::string(What) + ": " +
                        std::generic_category().message(errno));
}

} // namespace

struct UdpSocket::State {
  Descriptor Socket;
  Batch In;
  Batch Out;
  /// Datagrams in Out that wait for flush().
  size_t Waiting = 0;
  uint64_t Dropped = 0;

  /// Returns whether the batch was full, so that more may wait.
  bool receiveBatch(const BatchReceiver &Each);
};

UdpSocket::UdpSocket() : State_(std::make_unique<State>()) {}
UdpSocket::~UdpSocket() = default;

tl::expected<std::unique_ptr<UdpSocket>, std::string>
UdpSocket::bind(Endpoint Local) {
  std::unique_ptr<UdpSocket> Result(new UdpSocket);
  Descriptor Socket(
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Socket)
    return systemError("socket");
  for (int Option : {SO_RCVBUF, SO_SNDBUF})
    ::setsockopt(Socket.get(), SOL_SOCKET, Option, &SocketBufferBytes,
                 sizeof(SocketBufferBytes));
  const sockaddr_in Address = toSockaddr(Local);
  if (::bind(Socket.get(), reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0)
    return systemError("bind");
  Result->State_->Socket = std::move(Socket);
  return Result;
}

std::unique_ptr<UdpSocket> UdpSocket::bindOrThrow(Endpoint Local) {
  auto Bound = bind(Local);
  if (!Bound)
    throw std::runtime_error(toString(Local) + ": " + Bound.error());
  return std::move(*Bound);
}

int UdpSocket::descriptor() const { return State_->Socket.get(); }

bool UdpSocket::State::receiveBatch(const BatchReceiver &Each) {
  for (mmsghdr &Header : In.Headers)
    Header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int Count = ::recvmmsg(Socket.get(), In.Headers.data(), BatchSize,
                               MSG_DONTWAIT, nullptr);
  std::array<Datagram, BatchSize> Whole;
  size_t Wholes = 0;
  for (int I = 0; I < Count; ++I) {
    if (In.Headers[I].msg_hdr.msg_flags & MSG_TRUNC) {
      ++Dropped;
      continue;
    }
    Whole[Wholes++] = {toEndpoint(In.Addresses[I]),
                       {In.Buffers[I].data(), In.Headers[I].msg_len}};
  }
  if (Wholes > 0)
    Each({Whole.data(), Wholes});
  return Count == static_cast<int>(BatchSize);
}

void UdpSocket::receiveBatches(const BatchReceiver &Each) {
  for (int I = 0; I < BatchesPerReceive; ++I)
    if (!State_->receiveBatch(Each))
      return;
}

void UdpSocket::receive(const Receiver &Each) {
  receiveBatches([&](std::span<const Datagram> Batch) {
    for (const Datagram &D : Batch)
      Each(D.From, D.Bytes);
  });
}

void UdpSocket::send(Endpoint To, std::string_view Head,
                     std::string_view Tail) {
  State &S = *State_;
  if (Head.size() + Tail.size() > MaxDatagramBytes) {
    ++S.Dropped;
    return;
  }
  char *Buffer = S.Out.Buffers[S.Waiting].data();
  std::memcpy(Buffer, Head.data(), Head.size());
  if (!Tail.empty())
    std::memcpy(Buffer + Head.size(), Tail.data(), Tail.size());
  S.Out.Vectors[S.Waiting].iov_len = Head.size() + Tail.size();
  S.Out.Addresses[S.Waiting] = toSockaddr(To);
  if (++S.Waiting == BatchSize)
    flush();
}

void UdpSocket::flush() {
  State &S = *State_;
  size_t Sent = 0;
  while (Sent < S.Waiting) {
    const int Count = ::sendmmsg(S.Socket.get(), &S.Out.Headers[Sent],
                                 S.Waiting - Sent, MSG_DONTWAIT);
    if (Count > 0) {
      Sent += Count;
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    // The kernel refuses the first of the rest; the others may still pass.
    ++S.Dropped;
    ++Sent;
  }
  S.Waiting = 0;
}

uint64_t UdpSocket::dropped() const { return State_->Dropped; }

} // namespace dragonflystall
