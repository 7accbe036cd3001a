// The packets between clients and servers, with a checksum of their own.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_PACKET_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_PACKET_H

#include "net.h"

#include <optional>

namespace review {

struct Flow {
  Address Client;
  Address Route;
  friend auto operator<=>(const Flow &, const Flow &) = default;
};
std::string toString(const Flow &F);
uint64_t hashOf(const Flow &F);

struct Packet {
  static constexpr uint8_t Syn = 128;
  static constexpr uint8_t Ack = 64;
  static constexpr uint8_t Reset = 32;
  static constexpr uint8_t Bounced = 16;
  static constexpr uint8_t Fin = 4;

  Address Source;
  Address Destination;
  uint8_t Flags = 0;
  uint32_t Echo = 0;
  uint32_t Sequence = 0;
  uint32_t Acknowledged = 0;
  uint32_t Sum = 0; ///< As received; encode() computes it.
  std::string Payload;

  bool has(uint8_t Flag) const { return (Flags & Flag) != 0; }
  bool opens() const { return has(Syn) && !has(Ack); }
};

std::string encode(const Packet &P);
/// std::nullopt if the bytes are no packet.
std::optional<Packet> decode(std::string_view Bytes);
/// Whether the packet is as its sender wrote it.
bool isIntact(const Packet &P);
/// Whether it is a reset of the system's own.
bool isOwnReset(const Packet &P);

} // namespace review

#endif
