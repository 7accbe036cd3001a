// What a packet carries of its way so far, in the 32 bits of its head that are
// steering's own. Bounced packets bring it back, so that a balancer needs no
// memory of the packets that it has under way.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_TRAIL_H
#define DRAGONFLYSTALL_SRC_OPAQUE_TRAIL_H

#include <cstdint>

namespace dragonflystall::opaque {

struct Trail {
  enum class Mode : uint8_t {
    None,   ///< Not sent by a balancer.
    Place,  ///< A SYN on its way to an agent that takes it.
    Held,   ///< To the agent that holds the flow, as the balancer recalls.
    Search, ///< To an agent that can't tell whether its upstream holds it.
  };

  Mode How = Mode::None;
  /// The agent turned the packet away without asking its upstream.
  bool Refused = false;
  /// Place: the flow has waited; those that have not go first.
  bool Waited = false;
  /// Place: the agents that were tried, one bit each; see Directory::triedBit.
  uint32_t Tried = 0;

  static constexpr unsigned TriedBits = 28;

  uint32_t encode() const {
    return static_cast<uint32_t>(How) | uint32_t{Refused} << 2 |
           uint32_t{Waited} << 3 | Tried << 4;
  }

  static Trail decode(uint32_t Echo) {
    Trail T;
    T.How = static_cast<Mode>(Echo & 3);
    T.Refused = Echo & 4;
    T.Waited = Echo & 8;
    T.Tried = Echo >> 4;
    return T;
  }

  friend bool operator==(const Trail &, const Trail &) = default;
};

} // namespace dragonflystall::opaque

#endif
