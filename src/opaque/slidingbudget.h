// A limit on the number of events in any interval of a length.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SLIDINGBUDGET_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SLIDINGBUDGET_H

#include "dragonflystall/clock.h"

#include <deque>

namespace dragonflystall::opaque {

/// Allows at most Limit events in any interval of length Window.
class SlidingBudget {
public:
  /// One second and a margin for packets that arrive closer together than they
  /// were sent.
  static constexpr Duration Window = 1100ms;

  /// Counts the whole budget as spent now, since earlier events are unknown.
  void spendAll(TimePoint Now) { BlockedUntil_ = Now + Window; }
  /// Cancels spendAll(): spend() has counted all events.
  void cancelSpendAll() { BlockedUntil_ = {}; }
  bool allows(uint32_t Limit, TimePoint Now);
  /// Counts an event, also beyond the limit, which is the present one.
  void spend(uint32_t Limit, TimePoint Now);
  /// Number of events that are kept.
  size_t size() const { return Spent_.size(); }

private:
  void expire(TimePoint Now);

  /// Events within the window, oldest first; at most as many as the limit.
  std::deque<TimePoint> Spent_;
  /// The newest event that was dropped because newer ones fill the limit.
  /// Nothing is allowed within the window after it, so that the limit also
  /// holds after it was raised.
  TimePoint Dropped_ = TimePoint::min();
  TimePoint BlockedUntil_{};
};

} // namespace dragonflystall::opaque

#endif
