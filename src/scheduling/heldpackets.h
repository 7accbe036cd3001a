// The packets of requests that wait at an agent, bounded for each flow and in
// total. The packets of a flow keep the order in which they arrived.
#ifndef DRAGONFLYSTALL_SRC_SCHEDULING_HELDPACKETS_H
#define DRAGONFLYSTALL_SRC_SCHEDULING_HELDPACKETS_H

#include "opaque/packet.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflystall::scheduling {

using opaque::HeldPacket;
using opaque::PacketHead;

class HeldPackets {
public:
  /// A caller sends no more packets before they are acknowledged.
  static constexpr size_t MaxPacketsPerFlow = 16;
  /// Limit on all held packets. An agent may have 64 MB of memory in all.
  static constexpr size_t MaxBytes = 2 << 20;

  /// Holds a packet behind the others of its flow. A copy of a held packet
  /// takes its place. Returns false, and holds nothing, if there is no room.
  bool add(uint64_t Key, const PacketHead &Head, std::string_view Bytes);
  /// Removes and returns the packets of a flow, in the order of their arrival.
  std::vector<HeldPacket> take(uint64_t Key);
  /// Memory of the held packets.
  size_t bytes() const { return Bytes_; }

private:
  static size_t sizeOf(std::string_view Bytes) {
    return sizeof(HeldPacket) + Bytes.size();
  }

  std::unordered_map<uint64_t, std::vector<HeldPacket>> Flows_;
  size_t Bytes_ = 0; ///< Sum of sizeOf() over all packets.
};

} // namespace dragonflystall::scheduling

#endif
