// Estimates how many of the requests that a balancer has sent to an upstream
// since its last report are still in progress.
//
// Load pattern: many requests a second, each much shorter than the interval of
// the reports. Counting all that were sent since the report would make the
// upstreams that a balancer prefers look busier than others that it hasn't
// used, in particular those of its own zone.
#ifndef DRAGONFLYSTALL_SRC_BALANCING_RECENTREQUESTS_H
#define DRAGONFLYSTALL_SRC_BALANCING_RECENTREQUESTS_H

#include "dragonflystall/clock.h"

#include <cmath>

namespace dragonflystall::balancing {

class RecentRequests {
public:
  /// Call when a request was sent. ExpectedDuration is how long one is expected
  /// to be in progress; zero if not known, so that each counts until clear().
  void add(Duration ExpectedDuration, TimePoint Now) {
    Count_ = inProgress(ExpectedDuration, Now) + 1;
    CountedAt_ = Now;
  }
  /// Call when the upstream has reported what is in progress.
  void clear() { Count_ = 0; }
  /// The number of requests that are expected to be in progress.
  double inProgress(Duration ExpectedDuration, TimePoint Now) const {
    if (ExpectedDuration <= Duration::zero() || Count_ == 0)
      return Count_;
    const auto Age = std::chrono::duration<double>(Now - CountedAt_);
    return Count_ *
           std::exp(-Age / std::chrono::duration<double>(ExpectedDuration));
  }

private:
  double Count_ = 0; ///< As of CountedAt_.
  TimePoint CountedAt_{};
};

} // namespace dragonflystall::balancing

#endif
