// Events within a sliding window.
#include "opaque/slidingbudget.h"

namespace dragonflystall::opaque {

void SlidingBudget::expire(TimePoint Now) {
  while (!Spent_.empty() && Now - Spent_.front() > Window)
    Spent_.pop_front();
}

void SlidingBudget::spend(uint32_t Limit, TimePoint Now) {
  expire(Now);
  Spent_.push_back(Now);
  for (; Spent_.size() > Limit; Spent_.pop_front())
    Dropped_ = Spent_.front();
}

bool SlidingBudget::allows(uint32_t Limit, TimePoint Now) {
  expire(Now);
  return Now >= BlockedUntil_ && Now > Dropped_ + Window &&
         Spent_.size() < Limit;
}

} // namespace dragonflystall::opaque
