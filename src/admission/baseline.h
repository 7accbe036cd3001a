// Estimates the upstream's normal latency, by kind of request.
#ifndef DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H
#define DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H

#include "dragonflystall/message.h"

#include <array>

namespace dragonflystall {

enum class LatencyClass : uint8_t { Normal, Slow, FarAbove };

/// A slow-moving median and 95th percentile for each method and size class of
/// answers. A comparison with the minimum would classify most of a scattered
/// distribution as slow, and so would a comparison with the median alone when
/// service times are exponentially distributed.
class Baseline {
public:
  /// Classifies Latency against the baseline, then updates the baseline with
  /// it.
  LatencyClass classify(Code Method, size_t Bytes, Duration Latency);
  /// The median over all kinds of requests; zero before the first sample.
  Duration overallMedian() const { return OverallQuantiles_.Median; }

private:
  static constexpr size_t MethodCount = 4;
  static constexpr size_t SizeClassCount = 3;
  /// Both are zero until the first sample.
  struct Quantiles {
    Duration Median{};
    Duration High{};
  };
  static void update(Quantiles &Estimate, Duration Sample, bool IsFarAbove);

  std::array<Quantiles, MethodCount * SizeClassCount> QuantilesByKind_{};
  Quantiles OverallQuantiles_;
};

} // namespace dragonflystall

#endif
