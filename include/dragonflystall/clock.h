// The Clock concept: cores and daemons read the time only through a type that
// models it, so that tests can run in virtual time.
#ifndef DRAGONFLYSTALL_CLOCK_H
#define DRAGONFLYSTALL_CLOCK_H

#include "dragonflystall/types.h"

#include <concepts>
#include <random>

namespace dragonflystall {

template <typename T>
concept Clock = requires(const T &Value) {
  { Value.now() } -> std::same_as<TimePoint>;
  /// Wall-clock time, for the time line only; no decision may depend on it.
  { Value.wallTime() } -> std::same_as<std::chrono::system_clock::time_point>;
};

/// A source of uniform random bits. Each core has an engine of its own, seeded
/// by its owner.
template <typename T>
concept RandomSource = std::uniform_random_bit_generator<T>;

using Random = std::mt19937_64;

/// Returns true with a probability of Share, 0 to 1. Draws no random number
/// when Share is 0.
inline bool chance(Random &Rng, double Share) {
  return Share > 0 && std::uniform_real_distribution<>(0, 1)(Rng) < Share;
}

struct SystemClock {
  TimePoint now() const { return std::chrono::steady_clock::now(); }
  std::chrono::system_clock::time_point wallTime() const {
    return std::chrono::system_clock::now();
  }
};

/// A clock for tests that advances only in calls of advance().
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
