// The balancer's cache of flow holders: a hash table of fixed size in which a
// look-up reads one or two cache lines.
#ifndef DRAGONFLYSTALL_SRC_STEERING_FLOWCACHE_H
#define DRAGONFLYSTALL_SRC_STEERING_FLOWCACHE_H

#include "dragonflystall/types.h"

#include <vector>

namespace dragonflystall {

/// A flow has two candidate buckets of four entries; each bucket is one cache
/// line. A new flow goes into the bucket with more free entries. If both are
/// full, the least recently used entry of the two is evicted, which costs that
/// flow only an extra hop through its home. The table therefore never grows and
/// never rehashes.
///
/// Flows are identified by their 64-bit hash alone. If two flows share a hash,
/// the holder found is the wrong agent or is not in the service's roster.
/// Agents forward packets of flows that they do not hold, and holders are
/// looked up in the roster of the packet's own service, so a packet never
/// reaches another service.
class FlowCache {
public:
  /// Seconds on the caller's clock; 32 bits, to keep entries small.
  using Seconds = uint32_t;

  /// Sized for FlowCapacity flows at a load factor of 0.4: 40 bytes per flow.
  explicit FlowCache(size_t FlowCapacity);

  /// Prefetches the flow's buckets into the processor's cache.
  void prefetch(uint64_t Hash) const {
    __builtin_prefetch(&Buckets_[firstBucket(Hash)], /*rw=*/1);
    __builtin_prefetch(&Buckets_[secondBucket(Hash)], /*rw=*/1);
  }
  /// Returns the flow's holder and marks the entry as used; AgentId::None when
  /// the flow is not cached.
  AgentId find(uint64_t Hash, Seconds Now);
  /// The same without marking the entry as used.
  AgentId peek(uint64_t Hash, Seconds Now) const;
  void store(uint64_t Hash, AgentId Holder, Seconds Now);
  void erase(uint64_t Hash);

  /// Entries that are unused for longer than this expire.
  void setIdleTimeout(Seconds Timeout) { IdleTimeout_ = Timeout; }
  /// Frees idle entries in the next section of the table. SweepsPerPass calls
  /// cover the whole table.
  void sweep(Seconds Now);
  static constexpr size_t SweepsPerPass = 600;

  size_t size() const { return Size_; }
  size_t bytes() const { return Buckets_.size() * sizeof(Bucket); }
  /// Number of entries evicted in favour of another flow.
  uint64_t evictions() const { return Evictions_; }

private:
  static constexpr size_t EntriesPerBucket = 4;
  static constexpr size_t CacheLineBytes = 64;

  struct Entry {
    uint64_t Hash = 0; ///< 0: the entry is free.
    AgentId Holder = AgentId::None;
    Seconds LastUsed = 0;
  };
  struct alignas(CacheLineBytes) Bucket {
    std::array<Entry, EntriesPerBucket> Entries;

    size_t countFree() const;
    Entry &leastRecentlyUsed();
  };
  static_assert(sizeof(Bucket) == CacheLineBytes);

  /// Maps 32 bits of the hash evenly onto the buckets.
  size_t bucketAt(uint32_t Bits) const {
    return (uint64_t{Bits} * Buckets_.size()) >> 32;
  }
  size_t firstBucket(uint64_t Hash) const {
    return bucketAt(static_cast<uint32_t>(Hash));
  }
  size_t secondBucket(uint64_t Hash) const {
    return bucketAt(static_cast<uint32_t>(Hash >> 32));
  }
  Entry *findEntry(uint64_t Hash);
  Entry &allocate(uint64_t Hash);
  void release(Entry &Slot);
  bool isIdle(const Entry &Slot, Seconds Now) const {
    return Now - Slot.LastUsed > IdleTimeout_;
  }

  std::vector<Bucket> Buckets_;
  Seconds IdleTimeout_ = 3600;
  size_t Size_ = 0; ///< Entries that are not free.
  size_t NextSweptBucket_ = 0;
  uint64_t Evictions_ = 0;
};

} // namespace dragonflystall

#endif
