// Look-up, insertion and ageing of the flow cache.
#include "flowcache.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// Two and a half entries for each flow.
constexpr size_t BucketsPerEightFlows = 5;

/// 0 marks a free entry.
uint64_t usable(uint64_t Hash) { return Hash ? Hash : 1; }

} // namespace

FlowCache::FlowCache(size_t Flows)
    : Buckets_(std::max<size_t>(1, Flows * BucketsPerEightFlows / 8)) {}

size_t FlowCache::Bucket::free() const {
  return std::count_if(Entries.begin(), Entries.end(),
                       [](const Entry &E) { return E.Hash == 0; });
}

FlowCache::Entry &FlowCache::Bucket::oldest() {
  return *std::min_element(
      Entries.begin(), Entries.end(),
      [](const Entry &A, const Entry &B) { return A.LastUsed < B.LastUsed; });
}

FlowCache::Entry *FlowCache::locate(uint64_t Hash) {
  for (size_t Index : {firstBucket(Hash), secondBucket(Hash)})
    for (Entry &E : Buckets_[Index].Entries)
      if (E.Hash == Hash)
        return &E;
  return nullptr;
}

AgentId FlowCache::find(uint64_t Hash, Seconds Now) {
  Entry *Found = locate(usable(Hash));
  if (!Found)
    return AgentId::None;
  if (idle(*Found, Now)) {
    free(*Found);
    return AgentId::None;
  }
  // Most uses fall into the same second: don't dirty the line again.
  if (Found->LastUsed != Now)
    Found->LastUsed = Now;
  return Found->Holder;
}

FlowCache::Entry &FlowCache::roomFor(uint64_t Hash) {
  Bucket &First = Buckets_[firstBucket(Hash)];
  Bucket &Second = Buckets_[secondBucket(Hash)];
  Bucket &Chosen = First.free() >= Second.free() ? First : Second;
  if (Chosen.free() > 0)
    return *std::find_if(Chosen.Entries.begin(), Chosen.Entries.end(),
                         [](const Entry &E) { return E.Hash == 0; });
  Entry &Oldest = First.oldest().LastUsed <= Second.oldest().LastUsed
                      ? First.oldest()
                      : Second.oldest();
  ++Evictions_;
  free(Oldest);
  return Oldest;
}

void FlowCache::store(uint64_t Hash, AgentId Holder, Seconds Now) {
  Hash = usable(Hash);
  Entry *Place = locate(Hash);
  if (!Place) {
    Place = &roomFor(Hash);
    ++Size_;
  }
  *Place = {Hash, Holder, Now};
}

void FlowCache::erase(uint64_t Hash) {
  if (Entry *Found = locate(usable(Hash)))
    free(*Found);
}

void FlowCache::free(Entry &E) {
  E = Entry();
  --Size_;
}

void FlowCache::sweep(Seconds Now) {
  const size_t Stretch = Buckets_.size() / SweepsPerPass + 1;
  for (size_t I = 0; I < Stretch; ++I) {
    for (Entry &E : Buckets_[NextSweep_].Entries)
      if (E.Hash != 0 && idle(E, Now))
        free(E);
    NextSweep_ = (NextSweep_ + 1) % Buckets_.size();
  }
}

} // namespace dragonflystall
