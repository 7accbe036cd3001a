// The balancer's cache of which agent holds which flow: a table of a fixed
// size, laid out so that a look-up reads one or two cache lines.
#ifndef DRAGONFLYSTALL_SRC_STEERING_FLOWCACHE_H
#define DRAGONFLYSTALL_SRC_STEERING_FLOWCACHE_H

#include "dragonflystall/types.h"

#include <vector>

namespace dragonflystall {

/// A flow has two candidate buckets of four entries, each bucket a cache line.
/// It goes into the emptier one, and when both are full the least recently used
/// entry makes room: a flow that is not cached costs a hop, nothing else. So
/// the table never grows and never rehashes.
///
/// Flows are told apart by their 64-bit hash alone. Should two share one, the
/// holder found is wrong or unknown in the service's roster; agents pass on
/// what they don't hold, and the roster is the service's own, so that no packet
/// leaves its service.
class FlowCache {
public:
  /// Seconds on the clock that was passed in; coarse, to keep entries small.
  using Seconds = uint32_t;

  /// Room for Flows at a load of 0.4: 40 bytes a flow.
  explicit FlowCache(size_t Flows);

  /// Starts to bring the flow's buckets into the processor's cache.
  void prefetch(uint64_t Hash) const {
    __builtin_prefetch(&Buckets_[firstBucket(Hash)], /*rw=*/1);
    __builtin_prefetch(&Buckets_[secondBucket(Hash)], /*rw=*/1);
  }
  /// The flow's holder, which counts as a use; None when it is not cached.
  AgentId find(uint64_t Hash, Seconds Now);
  void store(uint64_t Hash, AgentId Holder, Seconds Now);
  void erase(uint64_t Hash);

  /// Entries that were not used for so long are gone.
  void setIdleTimeout(Seconds Timeout) { IdleTimeout_ = Timeout; }
  /// Frees idle entries in the next stretch of the table; a full pass takes
  /// SweepsPerPass calls.
  void sweep(Seconds Now);
  static constexpr size_t SweepsPerPass = 600;

  size_t size() const { return Size_; }
  size_t bytes() const { return Buckets_.size() * sizeof(Bucket); }
  /// Flows that had to make room for another one.
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

    size_t free() const;
    Entry &oldest();
  };
  static_assert(sizeof(Bucket) == CacheLineBytes);

  /// Maps 32 bits of the hash evenly to the buckets.
  size_t bucketAt(uint32_t Bits) const {
    return (uint64_t{Bits} * Buckets_.size()) >> 32;
  }
  size_t firstBucket(uint64_t Hash) const {
    return bucketAt(static_cast<uint32_t>(Hash));
  }
  size_t secondBucket(uint64_t Hash) const {
    return bucketAt(static_cast<uint32_t>(Hash >> 32));
  }
  Entry *locate(uint64_t Hash);
  Entry &roomFor(uint64_t Hash);
  void free(Entry &E);
  bool idle(const Entry &E, Seconds Now) const {
    return Now - E.LastUsed > IdleTimeout_;
  }

  std::vector<Bucket> Buckets_;
  Seconds IdleTimeout_ = 3600;
  size_t Size_ = 0; ///< Entries that are not free.
  size_t NextSweep_ = 0;
  uint64_t Evictions_ = 0;
};

} // namespace dragonflystall

#endif
