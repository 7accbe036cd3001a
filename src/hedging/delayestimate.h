// The delay after which a request counts as slow and may be hedged.
//
// Load pattern: a few requests take far longer than their siblings, because a
// packet was lost or one upstream is slow. When all become slow, the percentile
// follows, and they are no longer hedged.
#ifndef DRAGONFLYSTALL_SRC_HEDGING_DELAYESTIMATE_H
#define DRAGONFLYSTALL_SRC_HEDGING_DELAYESTIMATE_H

#include "dragonflystall/clock.h"

#include <deque>
#include <optional>

namespace dragonflystall::hedging {

/// A high percentile of recent response times.
class DelayEstimate {
public:
  static constexpr double Percentile = 0.99;
  static constexpr Duration Window = 60s;
  /// With fewer observations, a single slow one would decide.
  static constexpr size_t MinObservations = 100;
  /// The newest ones are kept, which bounds memory and leaves ten above the
  /// percentile. Above 17 observations a second, they cover less than Window.
  static constexpr size_t MaxObservations = 1000;

  void record(Duration ResponseTime, TimePoint Now);
  /// std::nullopt if there are fewer than MinObservations within Window.
  std::optional<Duration> delay(TimePoint Now);
  /// Number of observations that the next delay() is computed from, if no more
  /// expire.
  size_t observations() const { return Observed_.size(); }

private:
  struct Observation {
    TimePoint At;
    Duration ResponseTime;
  };
  void expire(TimePoint Now);

  std::deque<Observation> Observed_; ///< Oldest first.
  /// The result as of ChangedSince_ = 0; computed again after a share of the
  /// observations has changed.
  std::optional<Duration> Delay_;
  size_t ChangedSince_ = 0; ///< Observations added or expired.
};

} // namespace dragonflystall::hedging

#endif
