// What an upstream reports about itself, and how a report is handled.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_HEARTBEAT_H
#define DRAGONFLYSTALL_SRC_OPAQUE_HEARTBEAT_H

#include "dragonflystall/types.h"
#include "opaque/incarnation.h"

#include <array>
#include <string_view>

namespace dragonflystall::opaque {

/// The report of an upstream about itself.
struct Heartbeat {
  std::string Id;
  std::string Service;
  Endpoint Address;
  uint32_t Slots = 1;
  bool Draining = false;
  /// Remaining time of its cold start.
  Duration ColdFor{};
  int64_t Sequence = 0;
  /// Wall time at its start in milliseconds; see Incarnation::Born. 0 if not
  /// given.
  int64_t Started = 0;

  Incarnation start() const { return {Id, Started}; }
};

/// How a heartbeat was handled.
enum class HeartbeatVerdict : uint8_t {
  Taken,
  /// First one of a start that may have begun before this agent, or one that
  /// shows this of a start that had seemed younger.
  TakenRunning,
  TakenNewStart, ///< First one of a start that has begun since.
  Late,          ///< Ignored: a newer one was received before.
  OldStart,      ///< Ignored: another start is the present one.
  Elsewhere,     ///< Ignored: not of this agent's local upstream.
  OtherService,  ///< Ignored: not of the service in the agent's settings.
};
constexpr std::array<std::string_view, 7> HeartbeatVerdictNames = {
    "taken",     "taken-running", "taken-new-start", "late",
    "old-start", "elsewhere",     "other-service"};
constexpr std::string_view name(HeartbeatVerdict V) {
  return HeartbeatVerdictNames[static_cast<size_t>(V)];
}

} // namespace dragonflystall::opaque

#endif
