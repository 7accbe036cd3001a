// How much the stand-in bears: cold after a start, warmer with each request
// that it completes, and the slower the more is put on it than it bears: under
// full load a cold one stands still.
#ifndef DRAGONFLYSTALL_STANDINS_UPSTREAM_CAPACITY_H
#define DRAGONFLYSTALL_STANDINS_UPSTREAM_CAPACITY_H

#include "dragonflystall/clock.h"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace dragonflystall::standin {

struct CapacitySettings {
  uint32_t Slots = 4;
  Duration ServiceTime = 5ms;
  /// How long the warming takes when all that it bears is used; 0: never cold.
  Duration ColdTime{};
};

struct CapacityReport {
  uint32_t Running = 0;
  uint32_t Bears = 0;
  uint32_t Peak = 0;
  uint64_t ColdOverloads = 0;
  uint64_t HotOverloads = 0;
};

class Capacity {
public:
  Capacity(CapacitySettings Settings, uint64_t Seed)
      : Settings_(Settings), Random_(Seed) {
    if (Settings.ColdTime > Duration{})
      Warmth_ = 0;
  }

  /// A request starts; returns how long its work takes.
  Duration begin(Duration Extra) {
    const std::lock_guard Lock(Mutex_);
    const uint32_t Bears = bears();
    ++Running_;
    Peak_ = std::max(Peak_, Running_);
    const Duration Work = workTime() + Extra;
    if (Running_ <= Bears)
      return Work;
    ++(Warmth_ < 1 ? ColdOverloads_ : HotOverloads_);
    const double Ratio = static_cast<double>(Running_) / Bears;
    return std::chrono::duration_cast<Duration>(
        Work * std::pow(Ratio, OverloadExponent));
  }

  /// Only completed work warms the stand-in up.
  void end(bool Completed) {
    const std::lock_guard Lock(Mutex_);
    const uint32_t Bears = bears();
    --Running_;
    if (!Completed || Warmth_ >= 1)
      return;
    const double Share = std::chrono::duration<double>(Settings_.ServiceTime) /
                         std::chrono::duration<double>(Settings_.ColdTime);
    Warmth_ = std::min(1.0, Warmth_ + Share * ColdSlowdown / Bears);
  }

  /// Turns cold without a warning.
  void chill() {
    const std::lock_guard Lock(Mutex_);
    if (Settings_.ColdTime == Duration{})
      Settings_.ColdTime = DefaultColdTime;
    Warmth_ = 0;
  }

  CapacityReport report() const {
    const std::lock_guard Lock(Mutex_);
    return {Running_, bears(), Peak_, ColdOverloads_, HotOverloads_};
  }

private:
  /// Twice what it bears takes eight times as long; four times, 64 times.
  static constexpr double OverloadExponent = 3;
  static constexpr double ColdSlowdown = 2;
  static constexpr Duration DefaultColdTime = 5s;

  uint32_t bears() const {
    return 1 + static_cast<uint32_t>(Warmth_ * (Settings_.Slots - 1));
  }

  /// Evenly spread over half to one and a half of the service time.
  Duration workTime() {
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    const double Slowdown = Warmth_ < 1 ? ColdSlowdown : 1;
    return std::chrono::duration_cast<Duration>(Settings_.ServiceTime *
                                                Spread(Random_) * Slowdown);
  }

  mutable std::mutex Mutex_;
  CapacitySettings Settings_;
  Random Random_;
  double Warmth_ = 1; ///< 0: bears one request; 1: bears all slots.
  uint32_t Running_ = 0;
  uint32_t Peak_ = 0;
  uint64_t ColdOverloads_ = 0;
  uint64_t HotOverloads_ = 0;
};

} // namespace dragonflystall::standin

#endif
