// Forwarding state that a packet carries in the 32 bits of its header that are
// reserved for the balancers and agents. Bounced packets return it, so that a
// balancer keeps no state per packet in flight.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_FORWARDINGSTATE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_FORWARDINGSTATE_H

#include <cstdint>

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

  static constexpr unsigned TriedBits = 28;

  uint32_t encode() const {
    return static_cast<uint32_t>(ForwardMode) | uint32_t{Refused} << 2 |
           uint32_t{WasQueued} << 3 | Tried << 4;
  }

  static ForwardingState decode(uint32_t Echo) {
    ForwardingState Result;
    Result.ForwardMode = static_cast<Mode>(Echo & 3);
    Result.Refused = Echo & 4;
    Result.WasQueued = Echo & 8;
    Result.Tried = Echo >> 4;
    return Result;
  }

  friend bool operator==(const ForwardingState &,
                         const ForwardingState &) = default;
};

} // namespace dragonflystall::opaque

#endif
