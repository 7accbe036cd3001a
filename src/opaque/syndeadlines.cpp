// Deadlines of new flows, fixed when their first SYN is seen.
#include "opaque/syndeadlines.h"

#include <algorithm>

namespace dragonflystall::opaque {

Duration SynDeadlines::maxWait(Duration Timeout) {
  if (Timeout <= Duration::zero())
    return AttemptTimeout;
  return std::min(AttemptTimeout,
                  std::chrono::duration_cast<Duration>(MaxWaitShare * Timeout));
}

TimePoint SynDeadlines::aimBy(TimePoint Deadline, Duration Timeout,
                              Duration Aim) {
  if (Aim <= Duration::zero())
    return TimePoint::max();
  const TimePoint FirstSyn = Deadline - maxWait(Timeout);
  return FirstSyn + std::chrono::duration_cast<Duration>(MaxAimShare * Aim);
}

TimePoint SynDeadlines::onSyn(uint64_t Hash, uint32_t Copy, Duration Timeout,
                              TimePoint Now) {
  const auto It = Flows_.find(Hash);
  // The caller may use the same address for its next attempt.
  if (It == Flows_.end() || Now - It->second.FirstSyn >= AttemptTimeout)
    return record(Hash, Copy, Timeout, Now);
  return It->second.Deadline;
}

TimePoint SynDeadlines::onReturned(uint64_t Hash, uint32_t Copy,
                                   Duration Timeout, TimePoint Now) {
  const auto It = Flows_.find(Hash);
  return It == Flows_.end() ? record(Hash, Copy, Timeout, Now)
                            : It->second.Deadline;
}

TimePoint SynDeadlines::record(uint64_t Hash, uint32_t Copy, Duration Timeout,
                               TimePoint Now) {
  const TimePoint FirstSyn =
      Now - CopyTimes[std::min<size_t>(Copy, CopyTimes.size() - 1)];
  const Duration Wait = maxWait(Timeout);
  Flows_[Hash] = {Now, FirstSyn, FirstSyn + Wait};
  Order_.emplace_back(Hash, Now);
  forget(Now);
  return FirstSyn + Wait;
}

void SynDeadlines::forget(TimePoint Now) {
  while (Order_.size() > MaxFlows || Now - Order_.front().second > Memory) {
    const auto It = Flows_.find(Order_.front().first);
    if (It != Flows_.end() && It->second.RecordedAt == Order_.front().second)
      Flows_.erase(It);
    Order_.pop_front();
  }
}

} // namespace dragonflystall::opaque
