// The clock as an interface: cores and daemons read time only through a type
// that models Clock, so that tests run in virtual time.
#ifndef DRAGONFLYSTALL_CLOCK_H
#define DRAGONFLYSTALL_CLOCK_H

#include "dragonflystall/types.h"

#include <concepts>
#include <random>

namespace dragonflystall {

template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
  /// Wall time for the time line only; no decision may depend on it.
  { C.wallTime() } -> std::same_as<std::chrono::system_clock::time_point>;
};

/// Uniform random bits; one engine for each core, seeded by its owner.
template <typename T>
concept RandomSource = std::uniform_random_bit_generator<T>;

using Random = std::mt19937_64;

/// True in this share of the calls, 0 to 1; draws nothing when it is 0.
inline bool chance(Random &Rng, double Share) {
  return Share > 0 && std::uniform_real_distribution<>(0, 1)(Rng) < Share;
}

struct SystemClock {
  TimePoint now() const { return std::chrono::steady_clock::now(); }
  std::chrono::system_clock::time_point wallTime() const {
    return std::chrono::system_clock::now();
  }
};

/// Moves only when told to.
class VirtualClock {
public:
  TimePoint now() const { return Now_; }
  std::chrono::system_clock::time_point wallTime() const {
    using std::chrono::system_clock;
    return system_clock::time_point(
        std::chrono::duration_cast<system_clock::duration>(
            Now_.time_since_epoch()));
  }
  void advance(Duration By) { Now_ += By; }

private:
  TimePoint Now_{};
};

static_assert(Clock<SystemClock> && Clock<VirtualClock>);

} // namespace dragonflystall

#endif
