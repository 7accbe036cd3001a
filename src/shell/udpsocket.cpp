// Batched UDP: datagrams are received and sent dozens at a time, to reduce
// the number of system calls.
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
/// Limits the work per call, so that one busy socket does not delay other
/// sockets and the timers.
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

tl::unexpected<std::string> systemError(const char *Operation) {
  return tl::unexpected(std::string(Operation) + ": " +
                        std::generic_category().message(errno));
}

} // namespace

struct UdpSocket::State {
  Descriptor Socket;
  Batch In;
  Batch Out;
  /// Datagrams in Out that were not sent yet.
  size_t Unsent = 0;
  uint64_t Dropped = 0;

  /// Returns whether the batch was full, in which case more datagrams may be
  /// available.
  bool receiveBatch(const BatchReceiver &OnBatch);
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

bool UdpSocket::State::receiveBatch(const BatchReceiver &OnBatch) {
  for (mmsghdr &Header : In.Headers)
    Header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int Count = ::recvmmsg(Socket.get(), In.Headers.data(), BatchSize,
                               MSG_DONTWAIT, nullptr);
  std::array<Datagram, BatchSize> Complete;
  size_t CompleteCount = 0;
  for (int I = 0; I < Count; ++I) {
    if (In.Headers[I].msg_hdr.msg_flags & MSG_TRUNC) {
      ++Dropped;
      continue;
    }
    Complete[CompleteCount++] = {toEndpoint(In.Addresses[I]),
                                 {In.Buffers[I].data(), In.Headers[I].msg_len}};
  }
  if (CompleteCount > 0)
    OnBatch({Complete.data(), CompleteCount});
  return Count == static_cast<int>(BatchSize);
}

void UdpSocket::receiveBatches(const BatchReceiver &OnBatch) {
  for (int I = 0; I < BatchesPerReceive; ++I)
    if (!State_->receiveBatch(OnBatch))
      return;
}

void UdpSocket::receive(const Receiver &OnDatagram) {
  receiveBatches([&](std::span<const Datagram> Batch) {
    for (const Datagram &D : Batch)
      OnDatagram(D.From, D.Bytes);
  });
}

void UdpSocket::send(Endpoint To, std::string_view Head,
                     std::string_view Tail) {
  State &S = *State_;
  if (Head.size() + Tail.size() > MaxDatagramBytes) {
    ++S.Dropped;
    return;
  }
  char *Buffer = S.Out.Buffers[S.Unsent].data();
  std::memcpy(Buffer, Head.data(), Head.size());
  if (!Tail.empty())
    std::memcpy(Buffer + Head.size(), Tail.data(), Tail.size());
  S.Out.Vectors[S.Unsent].iov_len = Head.size() + Tail.size();
  S.Out.Addresses[S.Unsent] = toSockaddr(To);
  if (++S.Unsent == BatchSize)
    flush();
}

void UdpSocket::flush() {
  State &S = *State_;
  size_t Sent = 0;
  while (Sent < S.Unsent) {
    const int Count = ::sendmmsg(S.Socket.get(), &S.Out.Headers[Sent],
                                 S.Unsent - Sent, MSG_DONTWAIT);
    if (Count > 0) {
      Sent += Count;
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    // The kernel refused the first of the remaining datagrams; later ones may
    // still be accepted.
    ++S.Dropped;
    ++Sent;
  }
  S.Unsent = 0;
}

uint64_t UdpSocket::dropped() const { return State_->Dropped; }

} // namespace dragonflystall
