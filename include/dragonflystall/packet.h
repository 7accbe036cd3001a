// The header that balancers and agents put before a caller's datagram when they
// forward it over UDP. The datagram follows the header unchanged.
#ifndef DRAGONFLYSTALL_PACKET_H
#define DRAGONFLYSTALL_PACKET_H

#include "dragonflystall/types.h"

namespace dragonflystall {

enum class PacketKind : uint8_t {
  Request,    ///< Towards the holder: balancer to agent, or agent to agent.
  Reply,      ///< Towards the caller: agent to balancer.
  Probe,      ///< Asks whether an agent is alive: balancer to agent.
  ProbeReply, ///< The answer to a probe: agent to balancer.
};

constexpr std::array<std::string_view, 4> PacketKindNames = {
    "request", "reply", "probe", "probe-reply"};
constexpr std::string_view name(PacketKind Kind) {
  return PacketKindNames[static_cast<size_t>(Kind)];
}

/// A packet that has been forwarded this many times is dropped and counted.
constexpr uint8_t MaxHops = 6;

struct PacketHeader {
  PacketKind Kind = PacketKind::Request;
  /// The service to which the sender addresses the packet, and the address to
  /// which the caller sent it. A receiver drops the packet unless both are
  /// those that it serves.
  ServiceId Service = ServiceId::None;
  Endpoint ServiceAddress;
  Endpoint Caller;
  /// Request: the balancer through which the answer returns.
  Endpoint Balancer;
  /// The newest roster version of the service that the sender has seen.
  uint64_t RosterVersion = 0;
  uint8_t Hops = 0;
  /// Request: the flow's home has placed the flow at Holder. An agent that
  /// refuses the flow sends the packet back with itself as Holder.
  bool Placed = false;
  /// Reply: the flow's holder; None when the flow no longer has one.
  AgentId Holder = AgentId::None;
  friend bool operator==(const PacketHeader &, const PacketHeader &) = default;
};

inline FlowKey flowOf(const PacketHeader &Header) {
  return {Header.Service, Header.Caller};
}

} // namespace dragonflystall

#endif
