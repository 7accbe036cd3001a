// The header's layout: signature (12 bytes), version and command, family and
// protocol, length of what follows (big endian), then addresses and ports.
#include "proxy.h"

#include <algorithm>

namespace dragonflystall::wire {

namespace {

constexpr std::string_view Signature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr uint8_t Version2Proxy = 0x21;
constexpr uint8_t Ipv4Datagram = 0x12;
constexpr uint16_t AddressBytes = 12;
constexpr size_t FixedBytes = ProxyHeaderBytes - AddressBytes;

// Offsets from the header's start.
constexpr size_t CommandAt = 12;
constexpr size_t FamilyAt = 13;
constexpr size_t LengthAt = 14;
constexpr size_t SourceIpAt = 16;
constexpr size_t DestinationIpAt = 20;
constexpr size_t SourcePortAt = 24;
constexpr size_t DestinationPortAt = 26;

uint32_t load(std::string_view Bytes, size_t At, size_t Width) {
  uint32_t Value = 0;
  for (size_t I = 0; I < Width; ++I)
    Value = (Value << 8) | static_cast<uint8_t>(Bytes[At + I]);
  return Value;
}

void store(ProxyHeader &Header, size_t At, size_t Width, uint32_t Value) {
  for (size_t I = Width; I-- > 0; Value >>= 8)
    Header[At + I] = static_cast<char>(Value & 0xff);
}

Endpoint loadEndpoint(std::string_view Bytes, size_t IpAt, size_t PortAt) {
  return {load(Bytes, IpAt, 4), static_cast<uint16_t>(load(Bytes, PortAt, 2))};
}

} // namespace

tl::expected<ProxyDatagram, ProxyError> parseProxy(std::string_view Bytes) {
  if (Bytes.size() < FixedBytes)
    return tl::unexpected(ProxyError::Truncated);
  if (!Bytes.starts_with(Signature))
    return tl::unexpected(ProxyError::BadSignature);
  if (load(Bytes, CommandAt, 1) != Version2Proxy ||
      load(Bytes, FamilyAt, 1) != Ipv4Datagram)
    return tl::unexpected(ProxyError::Unsupported);
  const uint32_t Length = load(Bytes, LengthAt, 2);
  if (Length < AddressBytes || Bytes.size() < FixedBytes + Length)
    return tl::unexpected(ProxyError::Truncated);
  return ProxyDatagram{loadEndpoint(Bytes, SourceIpAt, SourcePortAt),
                       loadEndpoint(Bytes, DestinationIpAt, DestinationPortAt),
                       Bytes.substr(FixedBytes + Length)};
}

ProxyHeader encodeProxy(Endpoint Source, Endpoint Destination) {
  ProxyHeader Header{};
  std::copy(Signature.begin(), Signature.end(), Header.begin());
  store(Header, CommandAt, 1, Version2Proxy);
  store(Header, FamilyAt, 1, Ipv4Datagram);
  store(Header, LengthAt, 2, AddressBytes);
  store(Header, SourceIpAt, 4, Source.Ip);
  store(Header, DestinationIpAt, 4, Destination.Ip);
  store(Header, SourcePortAt, 2, Source.Port);
  store(Header, DestinationPortAt, 2, Destination.Port);
  return Header;
}

} // namespace dragonflystall::wire
