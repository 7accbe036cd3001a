// The part of an opaque packet that steering reads. The payload and the
// checksum belong to the two ends of the flow and are never looked at.
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

/// 64 well mixed bits, the same in every process.
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
  /// The upstream returned the packet: it does not hold the flow, or could not
  /// accept its SYN.
  bool Bounced = false;
  uint16_t PayloadBytes = 0;
  /// Steering's own 32 bits, which both ends leave alone; see Trail.
  uint32_t Echo = 0;
  uint32_t Sequence = 0;
  /// On a caller's SYN: how many copies were sent before.
  uint32_t Acknowledged = 0;

  /// A caller's packet that may open a flow.
  bool opens() const { return Syn && !Ack; }
  FlowId fromCaller() const { return {Source, Destination}; }
  FlowId toCaller() const { return {Destination, Source}; }
};

/// A caller's packet that waits.
struct HeldPacket {
  PacketHead Head;
  std::string Bytes;
};

} // namespace dragonflystall::opaque

#endif
