// Rate limit of calls to the platform, and exponential backoff with jitter.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_PACING_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_PACING_H

#include "dragonflystall/clock.h"

#include <algorithm>

namespace dragonflystall {

/// A token bucket: Rate calls per second on average, up to Burst at once.
class CallBudget {
public:
  CallBudget(uint32_t Rate, uint32_t Burst)
      : PerCall_(Duration(1s) / Rate), Burst_(PerCall_ * Burst) {}

  /// The earliest time at which the next call may start.
  TimePoint nextCall() const { return FullAt_ - Burst_ + PerCall_; }
  /// Counts a call. Now must not be earlier than nextCall().
  void spend(TimePoint Now) { FullAt_ = std::max(FullAt_, Now) + PerCall_; }

private:
  Duration PerCall_;
  Duration Burst_;
  /// When the bucket will be full again if no further call is made.
  TimePoint FullAt_{};
};

constexpr Duration BackoffBase = 200ms;
constexpr Duration BackoffCap = 5s;

/// Uniformly distributed between zero and Max, inclusive.
inline Duration jitter(Random &Source, Duration Max) {
  // The standard distributions differ between libraries; this calculation
  // does not.
  const auto Range = static_cast<uint64_t>(Max.count()) + 1;
  return Duration(static_cast<int64_t>(Source() % Range));
}

/// Exponential backoff: one half is fixed, the other half random, so that
/// processes whose calls failed at the same time do not retry at the same time.
inline Duration backoff(Random &Source, uint32_t Failures) {
  constexpr uint32_t MaxDoublings = 10;
  const uint32_t Doublings = std::min(Failures, MaxDoublings);
  const Duration Wait = std::min(BackoffCap, BackoffBase * (1 << Doublings));
  return Wait / 2 + jitter(Source, Wait / 2);
}

} // namespace dragonflystall

#endif
