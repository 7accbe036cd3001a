// Decaying counts of answers and failures.
#include "opaque/outcomes.h"

#include <algorithm>
#include <cmath>

namespace dragonflystall::opaque {

namespace {

/// Number of answered requests added to the count, so that a single failure
/// does not give a high share.
constexpr double PriorAnswers = 4;
/// The mean response time covers about this number of recent answers.
constexpr int MeanAnswers = 16;
/// An answer moves the estimate of the median by this part of it: a threefold
/// change is followed within about twenty answers.
constexpr int MedianStepParts = 20;
/// Least work time: reports have whole milliseconds, and 0 means unknown.
constexpr Duration MinWorkTime = 1ms;
/// A request that takes this multiple of the mean counts as lost.
constexpr int TimeoutMeans = 6;
constexpr Duration MinRequestTimeout = 250ms;
/// The value before the first answer, and the upper bound.
constexpr Duration MaxRequestTimeout = 1s;

} // namespace

void Outcomes::age(TimePoint Now) {
  const double Weight =
      std::exp2(-std::chrono::duration<double>(Now - AgedAt_) / HalfLife);
  Answered_ *= Weight;
  Failed_ *= Weight;
  AgedAt_ = Now;
}

void Outcomes::onAnswered(Duration ResponseTime) {
  ++Answered_;
  if (MeanResponse_ == Duration::zero())
    MeanResponse_ = ResponseTime;
  else
    MeanResponse_ += (ResponseTime - MeanResponse_) / MeanAnswers;
}

void Outcomes::onWork(Duration Work) {
  if (WorkTime_ == Duration::zero())
    WorkTime_ = Work;
  else
    WorkTime_ += (Work > WorkTime_ ? 1 : -1) * WorkTime_ / MedianStepParts;
  WorkTime_ = std::max<Duration>(WorkTime_, MinWorkTime);
}

double Outcomes::failureShare() const {
  return Failed_ / (Failed_ + Answered_ + PriorAnswers);
}

Duration Outcomes::requestTimeout() const {
  if (MeanResponse_ == Duration::zero())
    return MaxRequestTimeout;
  return std::clamp<Duration>(TimeoutMeans * MeanResponse_, MinRequestTimeout,
                              MaxRequestTimeout);
}

} // namespace dragonflystall::opaque
