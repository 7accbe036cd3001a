// Look-up, insertion and expiry of entries in the flow cache.
#include "flowcache.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// At four entries per bucket, this gives 2.5 entries per flow.
constexpr size_t BucketsPerEightFlows = 5;

/// Replaces a hash of 0, which marks a free entry.
uint64_t nonZeroHash(uint64_t Hash) { return Hash ? Hash : 1; }

} // namespace

FlowCache::FlowCache(size_t FlowCapacity)
    : Buckets_(std::max<size_t>(1, FlowCapacity * BucketsPerEightFlows / 8)) {}

size_t FlowCache::Bucket::countFree() const {
  return std::count_if(Entries.begin(), Entries.end(),
                       [](const Entry &Slot) { return Slot.Hash == 0; });
}

FlowCache::Entry &FlowCache::Bucket::leastRecentlyUsed() {
  return *std::min_element(
      Entries.begin(), Entries.end(),
      [](const Entry &A, const Entry &B) { return A.LastUsed < B.LastUsed; });
}

FlowCache::Entry *FlowCache::findEntry(uint64_t Hash) {
  for (size_t Index : {firstBucket(Hash), secondBucket(Hash)})
    for (Entry &Slot : Buckets_[Index].Entries)
      if (Slot.Hash == Hash)
        return &Slot;
  return nullptr;
}

AgentId FlowCache::find(uint64_t Hash, Seconds Now) {
  Entry *Found = findEntry(nonZeroHash(Hash));
  if (!Found)
    return AgentId::None;
  if (isIdle(*Found, Now)) {
    release(*Found);
    return AgentId::None;
  }
  // Most uses of an entry fall into the same second. Skipping the write then
  // avoids dirtying the cache line again.
  if (Found->LastUsed != Now)
    Found->LastUsed = Now;
  return Found->Holder;
}

AgentId FlowCache::peek(uint64_t Hash, Seconds Now) const {
  const uint64_t Wanted = nonZeroHash(Hash);
  for (size_t Index : {firstBucket(Wanted), secondBucket(Wanted)})
    for (const Entry &Slot : Buckets_[Index].Entries)
      if (Slot.Hash == Wanted && !isIdle(Slot, Now))
        return Slot.Holder;
  return AgentId::None;
}

FlowCache::Entry &FlowCache::allocate(uint64_t Hash) {
  Bucket &First = Buckets_[firstBucket(Hash)];
  Bucket &Second = Buckets_[secondBucket(Hash)];
  Bucket &Chosen = First.countFree() >= Second.countFree() ? First : Second;
  if (Chosen.countFree() > 0)
    return *std::find_if(Chosen.Entries.begin(), Chosen.Entries.end(),
                         [](const Entry &Slot) { return Slot.Hash == 0; });
  Entry &Evicted =
      First.leastRecentlyUsed().LastUsed <= Second.leastRecentlyUsed().LastUsed
          ? First.leastRecentlyUsed()
          : Second.leastRecentlyUsed();
  ++Evictions_;
  release(Evicted);
  return Evicted;
}

void FlowCache::store(uint64_t Hash, AgentId Holder, Seconds Now) {
  Hash = nonZeroHash(Hash);
  Entry *Target = findEntry(Hash);
  if (!Target) {
    Target = &allocate(Hash);
    ++Size_;
  }
  *Target = {Hash, Holder, Now};
}

void FlowCache::erase(uint64_t Hash) {
  if (Entry *Found = findEntry(nonZeroHash(Hash)))
    release(*Found);
}

void FlowCache::release(Entry &Slot) {
  Slot = Entry();
  --Size_;
}

void FlowCache::sweep(Seconds Now) {
  const size_t BucketsPerSweep = Buckets_.size() / SweepsPerPass + 1;
  for (size_t I = 0; I < BucketsPerSweep; ++I) {
    for (Entry &Slot : Buckets_[NextSweptBucket_].Entries)
      if (Slot.Hash != 0 && isIdle(Slot, Now))
        release(Slot);
    NextSweptBucket_ = (NextSweptBucket_ + 1) % Buckets_.size();
  }
}

} // namespace dragonflystall
