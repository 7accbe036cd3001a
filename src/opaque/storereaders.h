// Which balancers read the store linearizably. Load pattern: hundreds of
// balancers that all learn the same few changes.
//
// Agents hear the pings of the balancers, rank them, and report each balancer's
// rank to it. The first few are primary readers. The others watch the store
// serializably, which does not count toward its rate and may be late, and catch
// up by the versions that pings and pongs carry. Nothing is agreed on: too many
// or too few primary readers for a while do no harm.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STOREREADERS_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STOREREADERS_H

#include "dragonflystall/clock.h"

#include <optional>
#include <vector>

namespace dragonflystall::opaque {

/// What a balancer's ping says of the balancer.
struct PingingBalancer {
  /// A hash of its availability zone; 0 if it does not say.
  uint32_t Zone = 0;
  bool ReadsStore = true; ///< Whether the store answers it.
  friend bool operator==(const PingingBalancer &,
                         const PingingBalancer &) = default;
};

/// The balancers that ping an agent.
class PingingBalancers {
public:
  /// A balancer that has sent no ping for this time is removed.
  static constexpr Duration Timeout = 3s;
  /// A balancer that has sent no ping for this time comes before no other one,
  /// so that a frozen primary reader is replaced.
  static constexpr Duration RankTimeout = 1500ms;

  /// Control is the address for control messages to the balancer.
  void onPing(Endpoint Control, PingingBalancer Balancer, TimePoint Now);
  void expire(TimePoint Now);
  /// Number of balancers that come before this one. Those that the store
  /// answers come first; then the first one of each availability zone, the
  /// second one of each, and so on; then by a hash of the address.
  uint32_t rankOf(Endpoint Control, TimePoint Now);
  /// A hash of the balancer's availability zone; 0 if it is not known.
  uint32_t zoneOf(Endpoint Control) const;
  const std::vector<Endpoint> &controls() const { return Controls_; }

private:
  /// Ranks are computed anew after this time, and when a balancer has changed.
  static constexpr Duration RankInterval = 100ms;

  struct Heard {
    PingingBalancer Balancer;
    uint64_t Hash = 0; ///< Of the address.
    TimePoint LastPing{};
    uint32_t Rank = 0;
  };
  void updateRanks(TimePoint Now);

  std::vector<Endpoint> Controls_;
  std::vector<Heard> Heard_; ///< In the order of Controls_.
  TimePoint RankedAt_{};
};

/// Whether this balancer is a primary reader.
class StoreReader {
public:
  /// Enough that one is left when a host and a zone are lost, as they are in
  /// different zones.
  static constexpr uint32_t PrimaryReaders = 3;
  /// A balancer that no agent has answered for this time reads as a primary.
  static constexpr Duration IsolatedAfter = 5s;

  explicit StoreReader(TimePoint Started) : LastRanked_(Started) {}

  /// Call regularly with the greatest rank that the answering agents report:
  /// the agent that hears the most balancers knows best. std::nullopt if none
  /// answers.
  void update(std::optional<uint32_t> Rank, TimePoint Now);
  bool isPrimary() const { return IsPrimary_; }

private:
  TimePoint LastRanked_;
  bool IsPrimary_ = false;
};

} // namespace dragonflystall::opaque

#endif
