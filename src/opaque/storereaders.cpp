// Ranks of balancers by the hash of their address.
#include "opaque/storereaders.h"

#include <algorithm>
#include <xxhash.h>

namespace dragonflystall::opaque {

namespace {

uint64_t hashOf(Endpoint Control) {
  const uint64_t Packed = uint64_t{Control.Ip} << 16 | Control.Port;
  return XXH3_64bits(&Packed, sizeof Packed);
}

} // namespace

void PingingBalancers::onPing(Endpoint Control, TimePoint Now) {
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  if (Known != Controls_.end()) {
    LastPings_[Known - Controls_.begin()] = Now;
    return;
  }
  Controls_.push_back(Control);
  LastPings_.push_back(Now);
}

void PingingBalancers::expire(TimePoint Now) {
  for (size_t I = Controls_.size(); I-- > 0;) {
    if (Now - LastPings_[I] <= Timeout)
      continue;
    Controls_.erase(Controls_.begin() + static_cast<ptrdiff_t>(I));
    LastPings_.erase(LastPings_.begin() + static_cast<ptrdiff_t>(I));
  }
}

uint32_t PingingBalancers::rankOf(Endpoint Control) const {
  const uint64_t Own = hashOf(Control);
  return std::count_if(Controls_.begin(), Controls_.end(),
                       [Own](Endpoint C) { return hashOf(C) < Own; });
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
