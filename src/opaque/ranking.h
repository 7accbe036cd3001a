// How a balancer ranks the agents of a service for a new flow. The choice of an
// agent and its explanation to operators use the same ranks.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_RANKING_H
#define DRAGONFLYSTALL_SRC_OPAQUE_RANKING_H

#include "balancing/upstreamload.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflystall::opaque {

struct Agent;

/// Agents of a later tier are chosen only if the earlier ones have none left.
enum class Tier : uint8_t {
  Probed,  ///< Ejected, and drawn as a probe for this flow.
  Taking,  ///< Takes new flows.
  Ejected, ///< Seems to fail requests quickly.
  Unknown, ///< Has not answered the last pings, or never did.
};
constexpr std::array<std::string_view, 4> TierNames = {"probed", "taking",
                                                       "ejected", "unknown"};
constexpr std::string_view name(Tier T) {
  return TierNames[static_cast<size_t>(T)];
}

/// Why an agent is no candidate for a new flow.
enum class Exclusion : uint8_t {
  None,
  Tried,     ///< The flow was offered to it before.
  Paused,    ///< It is cold and has refused a flow; see Agent::PausedUntil.
  NotTaking, ///< By its own report, it takes no new flows.
};
constexpr std::array<std::string_view, 4> ExclusionNames = {
    "none", "tried", "paused", "not-taking"};
constexpr std::string_view name(Exclusion E) {
  return ExclusionNames[static_cast<size_t>(E)];
}

/// The parts of an agent's cost, each as a share of all its slots.
struct PlacementCost {
  double Load = 0;         ///< See balancing::expectedLoad.
  double RepeatedSyns = 0; ///< Callers had to repeat their SYNs.
  double Failures = 0;     ///< Requests failed.
  double Crossing = 0;     ///< The agent is in another availability zone.
  double Cold = 0;         ///< The upstream is cold.

  double total() const {
    return Load + RepeatedSyns + Failures + Crossing + Cold;
  }
};

/// The rank of an agent without what is left to chance. Cost is set only if the
/// agent is not excluded.
struct Rank {
  Exclusion Excluded = Exclusion::None;
  Tier Level = Tier::Taking;
  PlacementCost Cost;
};

/// Whether a new flow may go to an agent now.
enum class Prospect : uint8_t {
  First,        ///< The best rank.
  WithinJitter, ///< May be chosen because of the random part of the costs.
  Probe,        ///< May be chosen as a probe of an ejected upstream.
  Behind,       ///< Not chosen.
  Excluded,     ///< No candidate; see Rank::Excluded.
};
constexpr std::array<std::string_view, 5> ProspectNames = {
    "first", "within-jitter", "probe", "behind", "excluded"};
constexpr std::string_view name(Prospect P) {
  return ProspectNames[static_cast<size_t>(P)];
}

struct RankedAgent {
  const Agent *Member = nullptr;
  Rank Order;
  bool IsEjected = false;
  double Slowness = 1; ///< See balancing::slownessOf.
  /// SYNs sent since the report whose requests should still be in progress.
  double RecentSyns = 0;
  Prospect Chance = Prospect::Behind;
};

/// The agents of a service, best first; excluded ones are last.
struct Ranking {
  balancing::ServiceLoad Service;
  std::vector<RankedAgent> Agents;

  /// The agent with the best rank; nullptr if all are excluded.
  const RankedAgent *first() const {
    return Agents.empty() || Agents.front().Chance == Prospect::Excluded
               ? nullptr
               : &Agents.front();
  }
};

} // namespace dragonflystall::opaque

#endif
