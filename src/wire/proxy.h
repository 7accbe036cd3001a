// PROXY protocol version 2 for IPv4 datagrams. The network fabric prepends the
// header to each datagram to give a balancer the caller's address and the
// service address; the balancer does the same for datagrams in the other
// direction.
#ifndef DRAGONFLYSTALL_SRC_WIRE_PROXY_H
#define DRAGONFLYSTALL_SRC_WIRE_PROXY_H

#include "dragonflystall/types.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflystall::wire {

enum class ProxyError : uint8_t { Truncated, BadSignature, Unsupported };

constexpr std::array<std::string_view, 3> ProxyErrorNames = {
    "truncated", "bad-signature", "unsupported"};
constexpr std::string_view name(ProxyError E) {
  return ProxyErrorNames[static_cast<size_t>(E)];
}

struct ProxyDatagram {
  Endpoint Source;
  Endpoint Destination;
  std::string_view Payload; ///< Points into the parsed bytes.
};

/// Accepts only the PROXY command for UDP over IPv4. Extensions (TLVs) are
/// skipped.
tl::expected<ProxyDatagram, ProxyError> parseProxy(std::string_view Bytes);

constexpr size_t ProxyHeaderBytes = 28;
using ProxyHeader = std::array<char, ProxyHeaderBytes>;

ProxyHeader encodeProxy(Endpoint Source, Endpoint Destination);

inline std::string_view view(const ProxyHeader &Header) {
  return {Header.data(), Header.size()};
}

} // namespace dragonflystall::wire

#endif
