// When a stopping balancer may exit. Load pattern: a planned stop under load,
// at which flows wait for room and packets for the answers of agents.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SHUTDOWN_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SHUTDOWN_H

#include "dragonflystall/clock.h"

namespace dragonflystall::opaque {

/// A stopping balancer.
struct Shutdown {
  /// Least time from the stop signal to the exit. The fabric stops sending
  /// after two failed probes, half a second apart. It continues longer when too
  /// few other balancers are left; the balancer serves its packets until they
  /// cease.
  static constexpr Duration MinTime = 1100ms;
  /// The balancer exits after this time without a caller's packet.
  static constexpr Duration Quiet = 250ms;
  /// It exits this long before the grace period ends, at which the process
  /// would be killed.
  static constexpr Duration GraceMargin = 500ms;

  Duration SinceStop{};         ///< Since the stop signal.
  Duration SinceCallerPacket{}; ///< Since a caller's last packet.
  size_t HeldFlows = 0;         ///< Flows whose packets the balancer holds.
  Duration Grace{};             ///< From the stop signal to the kill.

  bool mayExit() const {
    if (SinceStop >= Grace - GraceMargin)
      return true;
    return SinceStop >= MinTime && SinceCallerPacket >= Quiet && HeldFlows == 0;
  }
};

} // namespace dragonflystall::opaque

#endif
