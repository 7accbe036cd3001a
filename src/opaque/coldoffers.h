// How many waiting flows a balancer offers to cold upstreams. Load pattern: all
// upstreams of a service cold at once, while many balancers have flows for
// them. Only the agents know what is left of their limits, and a balancer does
// not know the other balancers' demand: each refused offer costs a round trip.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_COLDOFFERS_H
#define DRAGONFLYSTALL_SRC_OPAQUE_COLDOFFERS_H

#include <algorithm>
#include <cstddef>

namespace dragonflystall::opaque {

/// The offers of one service. The first number is that of the cold upstreams;
/// later ones follow from what was taken since the previous ones.
class ColdOffers {
public:
  /// Offers for each flow that was taken in the previous interval: with more
  /// than one, the number grows once the upstreams take more.
  static constexpr size_t Growth = 2;

  /// Number of flows to offer now, given the number of cold upstreams that may
  /// be offered flows. Call in regular intervals longer than a round trip.
  size_t begin(size_t Upstreams) {
    const size_t Taken = Offered_ - std::min(Offered_, Returned_);
    const size_t Limit = HasBegun_ ? 1 + Growth * Taken : Upstreams;
    HasBegun_ = true;
    Offered_ = Returned_ = 0;
    return std::min(Limit, Upstreams);
  }
  void onOffered() { ++Offered_; }
  /// Call when no agent has taken a flow that was offered.
  void onReturned() { ++Returned_; }

private:
  bool HasBegun_ = false;
  size_t Offered_ = 0; ///< Since begin().
  size_t Returned_ = 0;
};

} // namespace dragonflystall::opaque

#endif
