// Limits hedges to a share of the requests.
//
// Load pattern: all upstreams of a service are slow or full. Each hedge then
// adds to the load that makes them slow, so the extra work is bounded whatever
// the response times are.
#ifndef DRAGONFLYSTALL_SRC_HEDGING_HEDGEBUDGET_H
#define DRAGONFLYSTALL_SRC_HEDGING_HEDGEBUDGET_H

#include "dragonflystall/clock.h"

#include <array>
#include <cstdint>

namespace dragonflystall::hedging {

/// Allows a hedge only if the hedges of the past minute, this one included, are
/// at most a percentage of its requests. Counts from the process's start
/// without initial credit, so that the sum over processes and restarts keeps
/// the limit.
class HedgeBudget {
public:
  static constexpr Duration Window = 60s;

  /// 0 allows none. May change at any time.
  void setPercent(double Percent) { Percent_ = Percent; }
  double percent() const { return Percent_; }
  void onRequest(TimePoint Now);
  /// Counts a hedge if the limit allows one more.
  bool take(TimePoint Now);
  /// Hedges in percent of the requests of the last minute.
  double extraPercent(TimePoint Now) const;

private:
  /// Whole seconds. One more than the window, so that the oldest one, of which
  /// only a part is within the window, is counted for hedges.
  static constexpr size_t SecondCount = Window / 1s + 1;
  struct Second {
    int64_t Number = -1; ///< Of the clock; -1 if none.
    uint64_t Requests = 0;
    uint64_t Hedges = 0;
  };
  struct Sum {
    uint64_t Requests = 0;
    uint64_t Hedges = 0;
  };
  Second &currentSecond(TimePoint Now);
  /// Of the seconds that overlap with the window. The requests of the oldest
  /// one, of which only a part is within the window, are counted on demand.
  Sum sumOf(TimePoint Now, bool WithOldestRequests) const;

  double Percent_ = 0;
  std::array<Second, SecondCount> Seconds_;
};

} // namespace dragonflystall::hedging

#endif
