// Which start of an upstream is the present one.
#include "opaque/incarnation.h"

#include <algorithm>

namespace dragonflystall::opaque {

namespace {

/// Whether a start is later than another one if the clock has not stepped back.
bool isLater(const Incarnation &Start, const Incarnation &Other) {
  if (!Start.namesStart() && !Other.namesStart())
    return true; // Not comparable: the call that arrived last counts.
  return Start.Born > Other.Born;
}

} // namespace

IncarnationTracker::Finding
IncarnationTracker::onHeartbeat(const Incarnation &Start, int64_t Sequence,
                                bool PresentIsGone, TimePoint Now) {
  if (hasEnded(Start))
    return Finding::Ended;
  if (Start == Present_) {
    if (Sequence <= Sequence_)
      return Finding::Late;
    Sequence_ = Sequence;
    prove(Now);
    Rival_ = {};
    return Finding::Present;
  }
  if (!Present_.isSet() || PresentIsGone || isLater(Start, Present_))
    return begin(Start, Sequence, Now);
  return onRival(Start, Sequence, Now);
}

IncarnationTracker::Finding
IncarnationTracker::onRival(const Incarnation &Start, int64_t Sequence,
                            TimePoint Now) {
  // The present start is not proven while another one is heard.
  if (!IsProven_)
    ProofFrom_ = Now;
  if (Rival_.Start != Start) {
    Rival_ = {Start, Sequence, Now};
    return Finding::Unproven;
  }
  if (Sequence <= Rival_.Sequence)
    return Finding::Unproven;
  Rival_.Sequence = Sequence;
  if (Now - Rival_.Since < ContestSpacing * Interval_)
    return Finding::Unproven;
  return begin(Start, Sequence, Now);
}

IncarnationTracker::Finding IncarnationTracker::begin(const Incarnation &Start,
                                                      int64_t Sequence,
                                                      TimePoint Now) {
  // If the former start has run here, and this one runs, it has begun since.
  const bool IsObserved = IsProven_;
  Predecessor_ = Present_;
  Present_ = Start;
  Sequence_ = Sequence;
  Rival_ = {};
  doubtPresent(Now);
  return IsObserved ? Finding::Observed : Finding::Running;
}

void IncarnationTracker::prove(TimePoint Now) {
  const bool IsContested = Predecessor_.isSet() || Rival_.Start.isSet();
  const double Spacing = IsContested ? ContestSpacing : ProofSpacing;
  if (IsProven_ || Now - ProofFrom_ < Spacing * Interval_)
    return;
  IsProven_ = true;
  remember(Predecessor_);
  Predecessor_ = {};
}

void IncarnationTracker::doubtPresent(TimePoint Now) {
  IsProven_ = false;
  ProofFrom_ = Now;
}

void IncarnationTracker::onLeave(const Incarnation &Start) {
  if (Start.namesStart())
    remember(Start);
}

void IncarnationTracker::remember(const Incarnation &Start) {
  // Starts without a time can't be told from the next one under the same id.
  if (!Start.namesStart() || hasEnded(Start))
    return;
  Ended_.push_back(Start);
  if (Ended_.size() > MaxEnded)
    Ended_.pop_front();
}

bool IncarnationTracker::hasEnded(const Incarnation &Start) const {
  return std::find(Ended_.begin(), Ended_.end(), Start) != Ended_.end();
}

} // namespace dragonflystall::opaque
