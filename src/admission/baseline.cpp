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
constexpr size_t SmallAnswer = 16 << 10;
constexpr size_t MediumAnswer = 256 << 10;

size_t sizeClass(size_t Bytes) {
  if (Bytes <= SmallAnswer)
    return 0;
  return Bytes <= MediumAnswer ? 1 : 2;
}

void moveTowards(Duration &Median, Duration Sample, int Divisor) {
  if (Median == Duration::zero()) {
    Median = Sample;
    return;
  }
  const Duration Step = std::max(Median / Divisor, SmallestStep);
  if (Sample > Median)
    Median = std::min(Median + Step, Sample);
  else
    Median = std::max(Median - Step, Sample);
}

} // namespace

Speed Baseline::judge(Code Method, size_t Bytes, Duration Latency) {
  const size_t Row = (static_cast<size_t>(Method) - 1) % Methods;
  Duration &Median = Medians_[Row * Sizes + sizeClass(Bytes)];
  const Duration Normal = std::max(Median, NoiseFloor);
  Speed Result = Speed::Normal;
  if (Median != Duration::zero() && Latency > Normal * FarFactor)
    Result = Speed::FarOver;
  else if (Median != Duration::zero() && Latency > Normal * SlowFactor)
    Result = Speed::Slow;
  const int Divisor = Result == Speed::FarOver ? FarStepDivisor : StepDivisor;
  moveTowards(Median, Latency, Divisor);
  moveTowards(Overall_, Latency, Divisor);
  return Result;
}

} // namespace dragonflystall
