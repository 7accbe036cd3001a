// What latency is normal for the upstream, by kind of request.
#ifndef DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H
#define DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H

#include "dragonflystall/message.h"

#include <array>

namespace dragonflystall {

enum class Speed : uint8_t { Normal, Slow, FarOver };

/// A slow-moving median and 95th percentile for each method and size of
/// answer. A minimum would call most of a scattered distribution slow, and so
/// would the median alone when service times are exponential.
class Baseline {
public:
  /// Compares first, then learns.
  Speed judge(Code Method, size_t Bytes, Duration Latency);
  /// The median over all kinds; zero when nothing was seen.
  Duration overall() const { return Overall_.Median; }

private:
  static constexpr size_t Methods = 4;
  static constexpr size_t Sizes = 3;
  /// Both are zero until the first sample.
  struct Quantiles {
    Duration Median{};
    Duration High{};
  };
  static void learn(Quantiles &From, Duration Sample, bool Far);

  std::array<Quantiles, Methods * Sizes> Kinds_{};
  Quantiles Overall_;
};

} // namespace dragonflystall

#endif
