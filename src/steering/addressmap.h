// Maps service addresses to services: a hash table that is rebuilt when the
// settings change and is read-only in between.
#ifndef DRAGONFLYSTALL_SRC_STEERING_ADDRESSMAP_H
#define DRAGONFLYSTALL_SRC_STEERING_ADDRESSMAP_H

#include "dragonflystall/settings.h"

#include <bit>
#include <vector>

namespace dragonflystall {

class AddressMap {
public:
  /// Index of a service in Settings::Services.
  using Index = uint32_t;
  static constexpr Index NotFound = UINT32_MAX;

  AddressMap() { reserve(0); }
  explicit AddressMap(const Settings &Value) {
    size_t Count = 0;
    for (const ServiceSettings &Service : Value.Services)
      Count += Service.Addresses.size();
    reserve(Count);
    for (Index I = 0; I < Value.Services.size(); ++I)
      for (Endpoint Address : Value.Services[I].Addresses)
        insert(Address, I);
  }

  Index find(Endpoint Address) const {
    const uint64_t Key = pack(Address);
    for (size_t SlotIndex = slotOf(Key);; SlotIndex = (SlotIndex + 1) & Mask_) {
      if (Slots_[SlotIndex].Key == Key)
        return Slots_[SlotIndex].Service;
      if (Slots_[SlotIndex].Service == NotFound)
        return NotFound;
    }
  }

private:
  struct Slot {
    uint64_t Key = 0;
    Index Service = NotFound;
  };

  static uint64_t pack(Endpoint Address) {
    return (uint64_t{Address.Ip} << 16) | Address.Port;
  }
  size_t slotOf(uint64_t Key) const {
    constexpr uint64_t Multiplier = 0x9e3779b97f4a7c15ULL;
    return ((Key * Multiplier) >> 32) & Mask_;
  }
  // At most half full, so that find() always reaches a free slot.
  void reserve(size_t Count) {
    Slots_.assign(std::bit_ceil(2 * Count + 1), Slot());
    Mask_ = Slots_.size() - 1;
  }
  void insert(Endpoint Address, Index Service) {
    size_t SlotIndex = slotOf(pack(Address));
    while (Slots_[SlotIndex].Service != NotFound)
      SlotIndex = (SlotIndex + 1) & Mask_;
    Slots_[SlotIndex] = {pack(Address), Service};
  }

  std::vector<Slot> Slots_;
  size_t Mask_ =
      0; ///< Number of slots minus one; that number is a power of two.
};

} // namespace dragonflystall

#endif
