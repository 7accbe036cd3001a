// Ranks of balancers by the hash of their address.
#include "opaque/storereaders.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace dragonflystall::opaque {

namespace {

uint64_t hashOf(Endpoint Control) {
  const uint64_t Packed = uint64_t{Control.Ip} << 16 | Control.Port;
  return XXH3_64bits(&Packed, sizeof Packed);
}

} // namespace

void PingingBalancers::onPing(Endpoint Control, bool ReadsStore,
                              TimePoint Now) {
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  const size_t Index = Known - Controls_.begin();
  if (Known == Controls_.end()) {
    Controls_.push_back(Control);
    Heard_.emplace_back();
  }
  Heard_[Index] = {Now, ReadsStore};
}

void PingingBalancers::expire(TimePoint Now) {
  for (size_t I = Controls_.size(); I-- > 0;) {
    if (Now - Heard_[I].LastPing <= Timeout)
      continue;
    Controls_.erase(Controls_.begin() + static_cast<ptrdiff_t>(I));
    Heard_.erase(Heard_.begin() + static_cast<ptrdiff_t>(I));
  }
}

uint32_t PingingBalancers::rankOf(Endpoint Control, TimePoint Now) const {
  const auto OrderOf = [](const Heard &H, Endpoint C) {
    return std::pair(!H.ReadsStore, hashOf(C));
  };
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  const size_t Index = Known - Controls_.begin();
  const auto Own =
      OrderOf(Known == Controls_.end() ? Heard{} : Heard_[Index], Control);
  uint32_t Rank = 0;
  for (size_t I = 0; I < Controls_.size(); ++I)
    Rank += Now - Heard_[I].LastPing <= RankTimeout &&
            OrderOf(Heard_[I], Controls_[I]) < Own;
  return Rank;
}

void StoreReader::update(std::optional<uint32_t> Rank, TimePoint Now) {
  if (Rank) {
    LastRanked_ = Now;
    IsPrimary_ = *Rank < PrimaryReaders;
  } else if (Now - LastRanked_ > IsolatedAfter) {
    IsPrimary_ = true;
  }
}

} // namespace dragonflystall::opaque
