// The directory that an agent keeps as the home of flows: the holder of each
// flow. It is a cache of the holders' tables and may be lost at any time.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_DIRECTORY_H
#define DRAGONFLYSTALL_SRC_FLOWS_DIRECTORY_H

#include "flows/flowtable.h"

namespace dragonflystall {

/// Holders register each of their flows again after this long.
constexpr Duration RefreshPeriod = 5min;
/// An entry that was not refreshed for this long is removed.
constexpr Duration EntryLifetime = 12min;

/// An agent's claim that it holds a flow.
struct Claim {
  AgentRef Holder;
  /// When the holder accepted the flow, on the clock of the agent that stores
  /// the claim.
  TimePoint Accepted;
  /// The agent that handed the flow over to the holder; None if it was placed.
  AgentId Previous = AgentId::None;
};

struct DirectoryEntry {
  Claim HolderClaim;
  TimePoint Refreshed;
  /// The number of the view in force when the entry was made. An entry of an
  /// earlier view is trusted only once every holder has registered under the
  /// present view.
  uint32_t ViewNumber = 0;
};

/// Upper bound of the error of a claim's age, which doesn't include the time
/// that the message was in transit.
constexpr Duration ClaimAgeError = 5s;

/// True when the first claim takes precedence over the second. The later
/// acceptance wins; if both are less than ClaimAgeError apart, a successor wins
/// over the agent that handed the flow over to it.
bool takesPrecedence(const Claim &First, const Claim &Second);

using Directory = FlowTable<DirectoryEntry>;

} // namespace dragonflystall

#endif
