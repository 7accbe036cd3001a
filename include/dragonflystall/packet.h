// The header that our processes put before a caller's datagram when they pass
// it on over UDP. The datagram itself travels unchanged behind it.
#ifndef DRAGONFLYSTALL_PACKET_H
#define DRAGONFLYSTALL_PACKET_H

#include "dragonflystall/types.h"

namespace dragonflystall {

enum class PacketKind : uint8_t {
  Request,    ///< Towards the holder: balancer to agent, or agent to agent.
  Reply,      ///< Towards the caller: agent to balancer.
  Probe,      ///< "Are you there?", balancer to agent.
  ProbeReply, ///< The answer to a probe.
};

constexpr std::array<std::string_view, 4> PacketKindNames = {
    "request", "reply", "probe", "probe-reply"};
constexpr std::string_view name(PacketKind K) {
  return PacketKindNames[static_cast<size_t>(K)];
}

/// A packet that was passed on this often is dropped and counted.
constexpr uint8_t MaxHops = 6;

struct PacketHeader {
  PacketKind Kind = PacketKind::Request;
  /// The service that the sender means, and the address that the caller used.
  /// A receiver drops the packet unless both are its own.
  ServiceId Service = ServiceId::None;
  Endpoint ServiceAddress;
  Endpoint Caller;
  /// The balancer through which the answer goes (Request only).
  Endpoint Balancer;
  /// The newest roster version of the service that the sender has seen.
  uint64_t RosterVersion = 0;
  uint8_t Hops = 0;
  /// Request: the flow's home has placed the flow at Holder. A packet that
  /// comes back with the sender as Holder was refused by it.
  bool Placed = false;
  /// Reply: the flow's holder, None when the flow has none any more.
  AgentId Holder = AgentId::None;
  friend bool operator==(const PacketHeader &, const PacketHeader &) = default;
};

inline FlowKey flowOf(const PacketHeader &H) { return {H.Service, H.Caller}; }

} // namespace dragonflystall

#endif
