// Conversion between PacketHeader and its protobuf form.
#include "framing.h"

#include <control.pb.h>

namespace dragonflystall::wire {

namespace {

constexpr size_t LengthBytes = 2;

std::optional<Endpoint> checkedEndpoint(uint32_t Ip, uint32_t Port) {
  if (Port > UINT16_MAX)
    return std::nullopt;
  return Endpoint{Ip, static_cast<uint16_t>(Port)};
}

} // namespace

tl::expected<Frame, FrameError> parseFrame(std::string_view Bytes) {
  if (Bytes.size() < LengthBytes)
    return tl::unexpected(FrameError::Truncated);
  const size_t Length =
      (static_cast<uint8_t>(Bytes[0]) << 8) | static_cast<uint8_t>(Bytes[1]);
  Bytes.remove_prefix(LengthBytes);
  if (Bytes.size() < Length)
    return tl::unexpected(FrameError::Truncated);
  thread_local wire::PacketHeader Parsed;
  if (!Parsed.ParseFromArray(Bytes.data(), static_cast<int>(Length)))
    return tl::unexpected(FrameError::BadHeader);
  if (Parsed.kind() >= PacketKindNames.size())
    return tl::unexpected(FrameError::BadKind);
  auto Service = checkedEndpoint(Parsed.service_ip(), Parsed.service_port());
  auto Caller = checkedEndpoint(Parsed.caller_ip(), Parsed.caller_port());
  auto Balancer = checkedEndpoint(Parsed.balancer_ip(), Parsed.balancer_port());
  if (!Service || !Caller || !Balancer || Parsed.hops() > MaxHops)
    return tl::unexpected(FrameError::BadHeader);
  Frame Result;
  Result.Header.Kind = static_cast<PacketKind>(Parsed.kind());
  Result.Header.Service = ServiceId{Parsed.service()};
  Result.Header.ServiceAddress = *Service;
  Result.Header.Caller = *Caller;
  Result.Header.Balancer = *Balancer;
  Result.Header.RosterVersion = Parsed.roster_version();
  Result.Header.Hops = static_cast<uint8_t>(Parsed.hops());
  Result.Header.Placed = Parsed.placed();
  Result.Header.Holder = AgentId{Parsed.holder()};
  Result.Payload = Bytes.substr(Length);
  return Result;
}

void encodeHeader(const dragonflystall::PacketHeader &Header,
                  std::string &Out) {
  thread_local wire::PacketHeader Message;
  Message.set_kind(static_cast<uint32_t>(Header.Kind));
  Message.set_service(static_cast<uint64_t>(Header.Service));
  Message.set_service_ip(Header.ServiceAddress.Ip);
  Message.set_service_port(Header.ServiceAddress.Port);
  Message.set_caller_ip(Header.Caller.Ip);
  Message.set_caller_port(Header.Caller.Port);
  Message.set_balancer_ip(Header.Balancer.Ip);
  Message.set_balancer_port(Header.Balancer.Port);
  Message.set_roster_version(Header.RosterVersion);
  Message.set_hops(Header.Hops);
  Message.set_placed(Header.Placed);
  Message.set_holder(static_cast<uint32_t>(Header.Holder));
  const size_t Length = Message.ByteSizeLong();
  Out.resize(LengthBytes + Length);
  Out[0] = static_cast<char>(Length >> 8);
  Out[1] = static_cast<char>(Length & 0xff);
  Message.SerializeWithCachedSizesToArray(
      reinterpret_cast<uint8_t *>(Out.data() + LengthBytes));
}

} // namespace dragonflystall::wire
