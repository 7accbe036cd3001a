// The median moves by a fixed share of itself for each sample, so no single
// one pulls it far, and a cold spell of some dozens does not become normal.
#include "baseline.h"

#include <algorithm>

namespace dragonflystall {

namespace {

constexpr int SlowFactor = 2;
constexpr int FarFactor = 4;
/// Below this all is normal: the scheduler's noise is of that size.
constexpr Duration NoiseFloor = 2ms;
/// A sample moves the median by a share of 1 / this.
constexpr int StepDivisor = 50;
/// Samples far over count less, lest the cold spell become the baseline.
constexpr int FarStepDivisor = 200;
constexpr Duration SmallestStep = 1us;
/// The median moves up as far as down. The 95th percentile moves up 19 times
/// as far, so it rests where one sample in twenty is above.
constexpr int FullWeight = 10;
constexpr int HighDown = 1;
constexpr size_t SmallAnswer = 16 << 10;
constexpr size_t MediumAnswer = 256 << 10;

size_t sizeClass(size_t Bytes) {
  if (Bytes <= SmallAnswer)
    return 0;
  return Bytes <= MediumAnswer ? 1 : 2;
}

/// Moves a quantile estimate up or down by a share of itself.
void move(Duration &Quantile, Duration Sample, int UpWeight, int DownWeight,
          int Divisor) {
  const int Weight = Sample > Quantile ? UpWeight : DownWeight;
  const Duration Step =
      std::max(Quantile * Weight / (Divisor * FullWeight), SmallestStep);
  if (Sample > Quantile)
    Quantile = std::min(Quantile + Step, Sample);
  else
    Quantile = std::max(Quantile - Step, Sample);
}

} // namespace

void Baseline::learn(Quantiles &From, Duration Sample, bool Far) {
  if (From.Median == Duration::zero()) {
    From = {Sample, Sample * SlowFactor};
    return;
  }
  const int Divisor = Far ? FarStepDivisor : StepDivisor;
  move(From.Median, Sample, FullWeight, FullWeight, Divisor);
  move(From.High, Sample, 2 * FullWeight - HighDown, HighDown, StepDivisor);
}

Speed Baseline::judge(Code Method, size_t Bytes, Duration Latency) {
  const size_t Row = (static_cast<size_t>(Method) - 1) % Methods;
  Quantiles &Kind = Kinds_[Row * Sizes + sizeClass(Bytes)];
  const bool First = Kind.Median == Duration::zero();
  const Duration Median = std::max(Kind.Median, NoiseFloor);
  Speed Result = Speed::Normal;
  if (!First && Latency > std::max(Median * FarFactor, Kind.High * 2))
    Result = Speed::FarOver;
  else if (!First && Latency > std::max(Median * SlowFactor, Kind.High * 5 / 4))
    Result = Speed::Slow;
  learn(Kind, Latency, Result == Speed::FarOver);
  learn(Overall_, Latency, Result == Speed::FarOver);
  return Result;
}

} // namespace dragonflystall
