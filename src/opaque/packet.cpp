// Hash and text form of flow ids.
#include "opaque/packet.h"

#include <array>
#include <cstring>
#include <xxhash.h>

namespace dragonflystall::opaque {

uint64_t hashOf(const FlowId &Flow) {
  std::array<unsigned char, 12> Bytes;
  std::memcpy(&Bytes[0], &Flow.Caller.Ip, 4);
  std::memcpy(&Bytes[4], &Flow.Route.Ip, 4);
  std::memcpy(&Bytes[8], &Flow.Caller.Port, 2);
  std::memcpy(&Bytes[10], &Flow.Route.Port, 2);
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

std::string toString(const FlowId &Flow) {
  return dragonflystall::toString(Flow.Caller) + ">" +
         dragonflystall::toString(Flow.Route);
}

} // namespace dragonflystall::opaque
