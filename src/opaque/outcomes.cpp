// Decaying counts of answers and failures.
#include "opaque/outcomes.h"

#include <algorithm>
#include <cmath>

namespace dragonflystall::opaque {

namespace {

/// Counts as so many answered requests: one failure alone says little.
constexpr double PriorAnswers = 4;
/// The mean response time follows the last so many answers.
constexpr int MeanOver = 16;
/// A request that takes so many times the mean is taken for lost.
constexpr int PatienceMeans = 6;
constexpr Duration LeastPatience = 250ms;
/// Before the first answer, and at most.
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
