// The header's layout: signature (12 bytes), version and command, family and
// protocol, length of the remaining header (big endian), then addresses and
// ports.
#include "proxy.h"

#include <algorithm>

namespace dragonflystall::wire {

namespace {

constexpr std::string_view Signature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr uint8_t Version2ProxyCommand = 0x21;
constexpr uint8_t Ipv4Datagram = 0x12;
constexpr uint16_t AddressBytes = 12;
constexpr size_t FixedBytes = ProxyHeaderBytes - AddressBytes;

// Offsets from the header's start.
constexpr size_t CommandOffset = 12;
constexpr size_t FamilyOffset = 13;
constexpr size_t LengthOffset = 14;
constexpr size_t SourceIpOffset = 16;
constexpr size_t DestinationIpOffset = 20;
constexpr size_t SourcePortOffset = 24;
constexpr size_t DestinationPortOffset = 26;

uint32_t load(std::string_view Bytes, size_t Offset, size_t Width) {
  uint32_t Value = 0;
  for (size_t I = 0; I < Width; ++I)
    Value = (Value << 8) | static_cast<uint8_t>(Bytes[Offset + I]);
  return Value;
}

void store(ProxyHeader &Header, size_t Offset, size_t Width, uint32_t Value) {
  for (size_t I = Width; I-- > 0; Value >>= 8)
    Header[Offset + I] = static_cast<char>(Value & 0xff);
}

Endpoint loadEndpoint(std::string_view Bytes, size_t IpOffset,
                      size_t PortOffset) {
  return {load(Bytes, IpOffset, 4),
          static_cast<uint16_t>(load(Bytes, PortOffset, 2))};
}

} // namespace

tl::expected<ProxyDatagram, ProxyError> parseProxy(std::string_view Bytes) {
  if (Bytes.size() < FixedBytes)
    return tl::unexpected(ProxyError::Truncated);
  if (!Bytes.starts_with(Signature))
    return tl::unexpected(ProxyError::BadSignature);
  if (load(Bytes, CommandOffset, 1) != Version2ProxyCommand ||
      load(Bytes, FamilyOffset, 1) != Ipv4Datagram)
    return tl::unexpected(ProxyError::Unsupported);
  const uint32_t Length = load(Bytes, LengthOffset, 2);
  if (Length < AddressBytes || Bytes.size() < FixedBytes + Length)
    return tl::unexpected(ProxyError::Truncated);
  return ProxyDatagram{
      loadEndpoint(Bytes, SourceIpOffset, SourcePortOffset),
      loadEndpoint(Bytes, DestinationIpOffset, DestinationPortOffset),
      Bytes.substr(FixedBytes + Length)};
}

ProxyHeader encodeProxy(Endpoint Source, Endpoint Destination) {
  ProxyHeader Header{};
  std::copy(Signature.begin(), Signature.end(), Header.begin());
  store(Header, CommandOffset, 1, Version2ProxyCommand);
  store(Header, FamilyOffset, 1, Ipv4Datagram);
  store(Header, LengthOffset, 2, AddressBytes);
  store(Header, SourceIpOffset, 4, Source.Ip);
  store(Header, DestinationIpOffset, 4, Destination.Ip);
  store(Header, SourcePortOffset, 2, Source.Port);
  store(Header, DestinationPortOffset, 2, Destination.Port);
  return Header;
}

} // namespace dragonflystall::wire
