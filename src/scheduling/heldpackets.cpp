// Bounded storage of packets by flow.
#include "scheduling/heldpackets.h"

#include <algorithm>

namespace dragonflystall::scheduling {

namespace {

/// Whether both packets carry data from the same sequence number on, or both
/// carry none.
bool isCopy(const PacketHead &A, const PacketHead &B) {
  return A.Sequence == B.Sequence &&
         (A.PayloadBytes > 0) == (B.PayloadBytes > 0);
}

} // namespace

bool HeldPackets::add(uint64_t Key, const PacketHead &Head,
                      std::string_view Bytes) {
  const auto It = Flows_.find(Key);
  if (It != Flows_.end()) {
    std::vector<HeldPacket> &Packets = It->second;
    const auto Copy =
        std::find_if(Packets.begin(), Packets.end(),
                     [&](const HeldPacket &P) { return isCopy(P.Head, Head); });
    if (Copy != Packets.end()) {
      if (Bytes_ - sizeOf(Copy->Bytes) + sizeOf(Bytes) > MaxBytes)
        return false;
      Bytes_ += sizeOf(Bytes);
      Bytes_ -= sizeOf(Copy->Bytes);
      *Copy = {Head, std::string(Bytes)};
      return true;
    }
    if (Packets.size() >= MaxPacketsPerFlow)
      return false;
  }
  if (Bytes_ + sizeOf(Bytes) > MaxBytes)
    return false;
  Bytes_ += sizeOf(Bytes);
  Flows_[Key].push_back({Head, std::string(Bytes)});
  return true;
}

std::vector<HeldPacket> HeldPackets::take(uint64_t Key) {
  const auto It = Flows_.find(Key);
  if (It == Flows_.end())
    return {};
  std::vector<HeldPacket> Result = std::move(It->second);
  Flows_.erase(It);
  for (const HeldPacket &P : Result)
    Bytes_ -= sizeOf(P.Bytes);
  return Result;
}

} // namespace dragonflystall::scheduling
