// Forwarding state that a packet carries in the 32 bits of its header that are
// reserved for the balancers and agents. Bounced packets return it, so that a
// balancer keeps no state per packet in flight.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_FORWARDINGSTATE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_FORWARDINGSTATE_H

#include "dragonflystall/types.h"

namespace dragonflystall::opaque {

struct ForwardingState {
  enum class Mode : uint8_t {
    None,   ///< The packet was not sent by a balancer.
    Place,  ///< SYN of a new flow, sent to a chosen agent.
    Held,   ///< Sent to the flow's holder in the balancer's cache.
    Search, ///< Sent to an agent that can't tell if it is the holder.
  };

  Mode ForwardMode = Mode::None;
  /// The agent refused the packet without passing it to its upstream.
  bool Refused = false;
  /// Place: the flow was queued; agents prefer flows that were not.
  bool WasQueued = false;
  /// Place: bit set of the agents tried so far; see Directory::triedBit.
  uint32_t Tried = 0;
  /// Held, Search: the agent for which the packet is meant, since its address
  /// may have been reused; see addresseeOf.
  uint32_t Addressee = 0;

  static constexpr unsigned TriedBits = 28;
  static constexpr unsigned AddresseeBits = 28;

  static uint32_t addresseeOf(AgentId Id) {
    return static_cast<uint32_t>(Id) & ((1u << AddresseeBits) - 1);
  }

  uint32_t encode() const {
    return static_cast<uint32_t>(ForwardMode) | uint32_t{Refused} << 2 |
           uint32_t{WasQueued} << 3 |
           (ForwardMode == Mode::Place ? Tried : Addressee) << 4;
  }

  static ForwardingState decode(uint32_t Echo) {
    ForwardingState Result;
    Result.ForwardMode = static_cast<Mode>(Echo & 3);
    Result.Refused = Echo & 4;
    Result.WasQueued = Echo & 8;
    (Result.ForwardMode == Mode::Place ? Result.Tried : Result.Addressee) =
        Echo >> 4;
    return Result;
  }

  friend bool operator==(const ForwardingState &,
                         const ForwardingState &) = default;
};

} // namespace dragonflystall::opaque

#endif
