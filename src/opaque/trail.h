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
    Search, ///< To each agent of the service in turn.
  };

  Mode How = Mode::None;
  /// The agent turned the packet away without asking its upstream.
  bool Refused = false;
  /// An agent was left out or did not ask its upstream: that nobody holds the
  /// flow is not proved.
  bool Incomplete = false;
  /// Place: agents tried, one bit each. Search: the position in the order.
  uint32_t Hops = 0;
  /// Search: the low bits of the membership's generation.
  uint16_t Generation = 0;

  static constexpr unsigned TriedBits = 28;
  static constexpr unsigned HopBits = 12;
  static constexpr uint32_t MostHops = (1u << HopBits) - 1;

  uint32_t encode() const {
    const uint32_t Low = static_cast<uint32_t>(How) | uint32_t{Refused} << 2 |
                         uint32_t{Incomplete} << 3;
    if (How == Mode::Search)
      return Low | (Hops & MostHops) << 4 | uint32_t{Generation} << 16;
    return Low | Hops << 4;
  }

  static Trail decode(uint32_t Echo) {
    Trail T;
    T.How = static_cast<Mode>(Echo & 3);
    T.Refused = Echo & 4;
    T.Incomplete = Echo & 8;
    T.Hops = Echo >> 4;
    if (T.How == Mode::Search) {
      T.Hops &= MostHops;
      T.Generation = Echo >> 16;
    }
    return T;
  }

  friend bool operator==(const Trail &, const Trail &) = default;
};

} // namespace dragonflystall::opaque

#endif
