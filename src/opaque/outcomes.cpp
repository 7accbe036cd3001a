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
constexpr int MeanOver = 16;
/// A request that takes this multiple of the mean counts as lost.
constexpr int PatienceMeans = 6;
constexpr Duration LeastPatience = 250ms;
/// The value before the first answer, and the upper bound.
constexpr Duration MostPatience = 1s;

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
    MeanResponse_ += (ResponseTime - MeanResponse_) / MeanOver;
}

double Outcomes::failing() const {
  return Failed_ / (Failed_ + Answered_ + PriorAnswers);
}

Duration Outcomes::patience() const {
  if (MeanResponse_ == Duration::zero())
    return MostPatience;
  return std::clamp<Duration>(PatienceMeans * MeanResponse_, LeastPatience,
                              MostPatience);
}

} // namespace dragonflystall::opaque
