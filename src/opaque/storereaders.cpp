// Ranks of balancers.
#include "opaque/storereaders.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace dragonflystall::opaque {

namespace {

uint64_t hashOf(Endpoint Control) {
  const uint64_t Packed = uint64_t{Control.Ip} << 16 | Control.Port;
  return XXH3_64bits(&Packed, sizeof Packed);
}

} // namespace

void PingingBalancers::onPing(Endpoint Control, PingingBalancer Balancer,
                              TimePoint Now) {
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  const size_t Index = Known - Controls_.begin();
  if (Known == Controls_.end()) {
    Controls_.push_back(Control);
    Heard_.push_back({Balancer, hashOf(Control), {}, 0});
    RankedAt_ = {};
  }
  if (Balancer != Heard_[Index].Balancer)
    RankedAt_ = {};
  Heard_[Index].Balancer = Balancer;
  Heard_[Index].LastPing = Now;
}

void PingingBalancers::expire(TimePoint Now) {
  for (size_t I = Controls_.size(); I-- > 0;) {
    if (Now - Heard_[I].LastPing <= Timeout)
      continue;
    Controls_.erase(Controls_.begin() + static_cast<ptrdiff_t>(I));
    Heard_.erase(Heard_.begin() + static_cast<ptrdiff_t>(I));
  }
}

void PingingBalancers::updateRanks(TimePoint Now) {
  RankedAt_ = Now;
  std::vector<Heard *> Present;
  for (Heard &H : Heard_) {
    H.Rank = Heard_.size();
    if (Now - H.LastPing <= RankTimeout)
      Present.push_back(&H);
  }
  std::sort(Present.begin(), Present.end(),
            [](const Heard *A, const Heard *B) { return A->Hash < B->Hash; });
  // Place within its zone, apart for those that the store does not answer.
  using Order = std::tuple<bool, uint32_t, uint64_t>;
  std::map<std::pair<bool, uint32_t>, uint32_t> InZone;
  std::vector<std::pair<Order, Heard *>> Ordered;
  for (Heard *H : Present) {
    const bool IsCut = !H->Balancer.ReadsStore;
    const uint32_t Place = InZone[{IsCut, H->Balancer.Zone}]++;
    Ordered.push_back({{IsCut, Place, H->Hash}, H});
  }
  std::sort(Ordered.begin(), Ordered.end());
  for (size_t I = 0; I < Ordered.size(); ++I)
    Ordered[I].second->Rank = I;
}

uint32_t PingingBalancers::rankOf(Endpoint Control, TimePoint Now) {
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  if (Known == Controls_.end())
    return Controls_.size();
  if (Now - RankedAt_ >= RankInterval)
    updateRanks(Now);
  return Heard_[Known - Controls_.begin()].Rank;
}

uint32_t PingingBalancers::zoneOf(Endpoint Control) const {
  const auto Known = std::find(Controls_.begin(), Controls_.end(), Control);
  if (Known == Controls_.end())
    return 0;
  return Heard_[Known - Controls_.begin()].Balancer.Zone;
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
