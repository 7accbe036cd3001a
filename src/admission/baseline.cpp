// Each sample moves the median by a fixed fraction of its value, so a single
// sample has little effect, and a cold phase of some dozens of requests does
// not become the baseline.
#include "baseline.h"

#include <algorithm>

namespace dragonflystall {

namespace {

constexpr int SlowFactor = 2;
constexpr int FarAboveFactor = 4;
/// Lower bound of the median in comparisons: scheduling noise is of this size.
constexpr Duration NoiseFloor = 2ms;
/// A sample moves the median by 1 / StepDivisor of its value.
constexpr int StepDivisor = 50;
/// Samples far above the baseline move the median less, so that a cold phase
/// does not become the baseline.
constexpr int FarAboveStepDivisor = 200;
constexpr Duration SmallestStep = 1us;
/// The median moves up and down by equal steps. The 95th percentile moves up by
/// steps 19 times as large as those down, so it settles where one sample in
/// twenty is above it.
constexpr int FullWeight = 10;
constexpr int HighDownWeight = 1;
constexpr size_t SmallAnswer = 16 << 10;
constexpr size_t MediumAnswer = 256 << 10;

size_t sizeClass(size_t Bytes) {
  if (Bytes <= SmallAnswer)
    return 0;
  return Bytes <= MediumAnswer ? 1 : 2;
}

/// Moves a quantile estimate towards the sample by a fraction of its value.
void moveQuantile(Duration &Quantile, Duration Sample, int UpWeight,
                  int DownWeight, int Divisor) {
  const int Weight = Sample > Quantile ? UpWeight : DownWeight;
  const Duration Step =
      std::max(Quantile * Weight / (Divisor * FullWeight), SmallestStep);
  if (Sample > Quantile)
    Quantile = std::min(Quantile + Step, Sample);
  else
    Quantile = std::max(Quantile - Step, Sample);
}

} // namespace

void Baseline::update(Quantiles &Estimate, Duration Sample, bool IsFarAbove) {
  if (Estimate.Median == Duration::zero()) {
    Estimate = {Sample, Sample * SlowFactor};
    return;
  }
  const int Divisor = IsFarAbove ? FarAboveStepDivisor : StepDivisor;
  moveQuantile(Estimate.Median, Sample, FullWeight, FullWeight, Divisor);
  moveQuantile(Estimate.High, Sample, 2 * FullWeight - HighDownWeight,
               HighDownWeight, StepDivisor);
}

LatencyClass Baseline::classify(Code Method, size_t Bytes, Duration Latency) {
  const size_t MethodIndex = (static_cast<size_t>(Method) - 1) % MethodCount;
  Quantiles &KindQuantiles =
      QuantilesByKind_[MethodIndex * SizeClassCount + sizeClass(Bytes)];
  const bool IsFirst = KindQuantiles.Median == Duration::zero();
  const Duration Median = std::max(KindQuantiles.Median, NoiseFloor);
  LatencyClass Result = LatencyClass::Normal;
  if (!IsFirst &&
      Latency > std::max(Median * FarAboveFactor, KindQuantiles.High * 2))
    Result = LatencyClass::FarAbove;
  else if (!IsFirst &&
           Latency > std::max(Median * SlowFactor, KindQuantiles.High * 5 / 4))
    Result = LatencyClass::Slow;
  update(KindQuantiles, Latency, Result == LatencyClass::FarAbove);
  update(OverallQuantiles_, Latency, Result == LatencyClass::FarAbove);
  return Result;
}

} // namespace dragonflystall
