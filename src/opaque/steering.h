// The balancer's core for opaque flows: where each packet goes. It does no I/O
// and keeps nothing that it can't lose: the upstreams hold the flows, and a
// flow that is not in the cache is looked for.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H

#include "opaque/directory.h"
#include "opaque/manifest.h"
#include "opaque/trail.h"
#include "steering/flowcache.h"

namespace dragonflystall::opaque {

/// Why a packet went where it did.
enum class SteerReason : uint8_t {
  Placed,      ///< A new flow, to the best agent.
  PlacedAgain, ///< A new flow that another agent did not take.
  Held,        ///< To the holder in the cache.
  Searched,    ///< To the next agent that may hold it.
  NoManifest,  ///< Nothing is known yet.
  NoRoute,     ///< No such route.
  NoUpstream,  ///< No agent is left that could take the flow.
  NotFound,    ///< All upstreams of the service deny the flow.
  Lost,        ///< Not found, but not everybody could be asked.
  Stale,       ///< The search began before the membership changed.
  Stray,       ///< Not a caller's packet.
};
constexpr std::array<std::string_view, 11> SteerReasonNames = {
    "placed",      "placed-again", "held",        "searched",
    "no-manifest", "no-route",     "no-upstream", "not-found",
    "lost",        "stale",        "stray"};
constexpr std::string_view name(SteerReason R) {
  return SteerReasonNames[static_cast<size_t>(R)];
}

/// What is to become of one packet.
struct SteerAction {
  enum class Kind : uint8_t { Forward, Reset, Drop };

  Kind What = Kind::Drop;
  SteerReason Why = SteerReason::Stray;
  /// Forward: the agent.
  const Agent *To = nullptr;
  Trail Way;
  /// Reset: one that the caller takes for its own flow.
  uint32_t ResetSequence = 0;
};

class Steering {
public:
  Steering(const Configuration &Config, Directory &Agents, size_t CachedFlows,
           TimePoint Started)
      : Config_(Config), Agents_(Agents), Cache_(CachedFlows),
        Started_(Started) {}

  /// A caller's packet.
  SteerAction fromCaller(const PacketHead &Head, TimePoint Now);
  /// A packet that an agent returned.
  SteerAction returned(const PacketHead &Head, TimePoint Now);
  /// An agent says that it holds a flow.
  void onHolds(const Holds &Message, TimePoint Now);
  /// Call regularly: ages the cache.
  void tick(TimePoint Now);

  size_t cachedFlows() const { return Cache_.size(); }

private:
  SteerAction place(const PacketHead &Head, uint32_t Tried, TimePoint Now);
  SteerAction search(const PacketHead &Head, uint32_t Position, bool Incomplete,
                     TimePoint Now);
  FlowCache::Seconds seconds(TimePoint Now) const;

  const Configuration &Config_;
  Directory &Agents_;
  FlowCache Cache_;
  TimePoint Started_;
};

} // namespace dragonflystall::opaque

#endif
