// The header fields of an opaque packet that balancers and agents read. The
// payload and the checksum concern only the two ends of the flow and are never
// read.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_PACKET_H
#define DRAGONFLYSTALL_SRC_OPAQUE_PACKET_H

#include "dragonflystall/types.h"

#include <string>

namespace dragonflystall::opaque {

/// A flow between a caller and the address of a route.
struct FlowId {
  Endpoint Caller;
  Endpoint Route;
  friend auto operator<=>(const FlowId &, const FlowId &) = default;
};

/// A 64-bit hash that is the same in every process. All bits are well mixed:
/// any of them may serve as an index.
uint64_t hashOf(const FlowId &Flow);
/// "100.64.0.7:40001>198.18.0.1:443", the flow's id in logs.
std::string toString(const FlowId &Flow);

struct PacketHead {
  Endpoint Source;
  Endpoint Destination;
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Reset = false;
  /// The upstream returned the packet, since it does not hold the flow or could
  /// not accept its SYN.
  bool Bounced = false;
  uint16_t PayloadBytes = 0;
  /// 32 bits for balancers and agents that both ends leave unchanged; see
  /// ForwardingState.
  uint32_t Echo = 0;
  uint32_t Sequence = 0;
  /// On a caller's SYN: the number of copies sent before.
  uint32_t Acknowledged = 0;

  /// Whether this is a caller's SYN, which opens a flow.
  bool opens() const { return Syn && !Ack; }
  FlowId fromCaller() const { return {Source, Destination}; }
  FlowId toCaller() const { return {Destination, Source}; }
};

/// A caller's packet that a balancer holds or queues.
struct HeldPacket {
  PacketHead Head;
  std::string Bytes;
};

} // namespace dragonflystall::opaque

#endif
