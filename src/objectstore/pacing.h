// Pacing of calls to the platform: a rate budget and a backoff with jitter.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_PACING_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_PACING_H

#include "dragonflystall/clock.h"

#include <algorithm>

namespace dragonflystall {

/// A token bucket: Rate calls a second in the long run, Burst at once.
class CallBudget {
public:
  CallBudget(uint32_t Rate, uint32_t Burst)
      : PerCall_(Duration(1s) / Rate), Burst_(PerCall_ * Burst) {}

  /// When the next call may start.
  TimePoint nextCall() const { return FullAt_ - Burst_ + PerCall_; }
  /// Invariant: called at or after nextCall().
  void spend(TimePoint Now) { FullAt_ = std::max(FullAt_, Now) + PerCall_; }

private:
  Duration PerCall_;
  Duration Burst_;
  /// When the bucket will be full again, if nothing is spent.
  TimePoint FullAt_{};
};

constexpr Duration BackoffBase = 200ms;
constexpr Duration BackoffCap = 5s;

/// Uniform between zero and Max.
inline Duration jitter(Random &Source, Duration Max) {
  // The standard distributions differ between libraries; this one does not.
  const auto Range = static_cast<uint64_t>(Max.count()) + 1;
  return Duration(static_cast<int64_t>(Source() % Range));
}

/// Half of an exponential wait for certain, the rest at random, so that many
/// processes which failed together don't come back together.
inline Duration backoff(Random &Source, uint32_t Failures) {
  constexpr uint32_t MaxDoublings = 10;
  const uint32_t Doublings = std::min(Failures, MaxDoublings);
  const Duration Whole = std::min(BackoffCap, BackoffBase * (1 << Doublings));
  return Whole / 2 + jitter(Source, Whole / 2);
}

} // namespace dragonflystall

#endif
