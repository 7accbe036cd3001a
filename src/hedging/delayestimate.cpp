// A high percentile of recent response times.
#include "hedging/delayestimate.h"

#include <algorithm>
#include <vector>

namespace dragonflystall::hedging {

namespace {

/// The percentile is computed again once this share of the observations has
/// changed: sorting at each one would cost more than the placing of a flow.
constexpr double RecomputeShare = 1.0 / 32;

} // namespace

void DelayEstimate::record(Duration ResponseTime, TimePoint Now) {
  if (Observed_.size() == MaxObservations)
    Observed_.pop_front();
  Observed_.push_back({Now, ResponseTime});
  ++ChangedSince_;
}

void DelayEstimate::expire(TimePoint Now) {
  for (; !Observed_.empty() && Now - Observed_.front().At > Window;
       ++ChangedSince_)
    Observed_.pop_front();
}

std::optional<Duration> DelayEstimate::delay(TimePoint Now) {
  expire(Now);
  if (Observed_.size() < MinObservations) {
    Delay_.reset();
    return Delay_;
  }
  const double Changed = static_cast<double>(ChangedSince_);
  if (Delay_ &&
      Changed < RecomputeShare * static_cast<double>(Observed_.size()))
    return Delay_;
  ChangedSince_ = 0;
  std::vector<Duration> Times;
  Times.reserve(Observed_.size());
  for (const Observation &O : Observed_)
    Times.push_back(O.ResponseTime);
  const auto Rank =
      static_cast<size_t>(Percentile * static_cast<double>(Times.size() - 1));
  const auto Nth = Times.begin() + static_cast<std::ptrdiff_t>(Rank);
  std::nth_element(Times.begin(), Nth, Times.end());
  Delay_ = *Nth;
  return Delay_;
}

} // namespace dragonflystall::hedging
