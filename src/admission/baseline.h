// What latency is normal for the upstream, by kind of request.
#ifndef DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H
#define DRAGONFLYSTALL_SRC_ADMISSION_BASELINE_H

#include "dragonflystall/message.h"

#include <array>

namespace dragonflystall {

enum class Speed : uint8_t { Normal, Slow, FarOver };

/// A slow-moving median for each method and size of answer. A median, since
/// a minimum would call most of a scattered distribution slow.
class Baseline {
public:
  /// Compares first, then learns.
  Speed judge(Code Method, size_t Bytes, Duration Latency);
  /// The median over all kinds; zero when nothing was seen.
  Duration overall() const { return Overall_; }

private:
  static constexpr size_t Methods = 4;
  static constexpr size_t Sizes = 3;
  std::array<Duration, Methods * Sizes> Medians_{};
  Duration Overall_{};
};

} // namespace dragonflystall

#endif
