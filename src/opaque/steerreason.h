// The reasons of a balancer's decisions on packets, with their names in logs
// and metrics.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STEERREASON_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STEERREASON_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dragonflystall::opaque {

/// The reason for the decision on a packet.
enum class SteerReason : uint8_t {
  Placed,      ///< New flow, sent to the best agent.
  PlacedAgain, ///< New flow, sent to another agent than before.
  Held,        ///< Sent to the holder in the cache.
  Queued,      ///< New flow, queued until an upstream has room.
  Asked,       ///< Held until the agents answer who holds the flow.
  AskedAll,    ///< Held until the agents of all other services answer, too.
  Found,       ///< Sent to the holder that the search has found.
  Offered,     ///< Sent to an agent that can't tell if it is the holder.
  NoManifest,  ///< Held if possible: the balancer has no manifest yet.
  NoRoute,     ///< The destination is not in the manifest.
  NoUpstream,  ///< No agent is left that could take the flow.
  QueueFull,   ///< The queue has no place for a flow of this urgency.
  NotFound,    ///< All agents that may hold the flow deny it.
  Lost,        ///< No holder found, but one may have been missed.
  Stray,       ///< Not a packet that a caller may send.
  Evicted,     ///< A more urgent new flow got its place in the queue.
  TooLate,     ///< New flow that can't be placed before its deadline any more.
  Hedged,      ///< SYN also sent to a second agent, or a returned copy of it
               ///< that is dropped, since another one is outstanding.
  Reopened,    ///< Sent to another agent that has a copy of the flow's SYN.
};
constexpr std::array<std::string_view, 19> SteerReasonNames = {
    "placed",      "placed-again", "held",      "queued",      "asked",
    "asked-all",   "found",        "offered",   "no-manifest", "no-route",
    "no-upstream", "queue-full",   "not-found", "lost",        "stray",
    "evicted",     "too-late",     "hedged",    "reopened"};
constexpr std::string_view name(SteerReason R) {
  return SteerReasonNames[static_cast<size_t>(R)];
}

} // namespace dragonflystall::opaque

#endif
