// What this agent knows as the home of flows: who holds each. All of it is a
// cache of the holders' tables and may be lost at any moment.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_DIRECTORY_H
#define DRAGONFLYSTALL_SRC_FLOWS_DIRECTORY_H

#include "flows/flowtable.h"

namespace dragonflystall {

/// Holders register each of their flows again after this long.
constexpr Duration RefreshPeriod = 5min;
/// An entry that was not refreshed for this long is forgotten.
constexpr Duration EntryLifetime = 12min;

/// An agent says that it holds a flow.
struct Claim {
  AgentRef Holder;
  /// When it accepted the flow, on the clock of the agent that keeps the claim.
  TimePoint Accepted;
  /// The agent that handed the flow over to it.
  AgentId Previous = AgentId::None;
};

struct DirectoryEntry {
  Claim By;
  TimePoint Refreshed;
  /// The view under which the entry was made; older ones are trusted only once
  /// every holder has registered under the present view.
  uint32_t Episode = 0;
};

/// A claim's age may be off by the time that it was under way.
constexpr Duration ClaimAgeError = 5s;

/// True when A keeps the flow against B: whoever accepted it last, but when
/// their ages are close, a successor against the agent that handed it over.
bool winsOver(const Claim &A, const Claim &B);

using Directory = FlowTable<DirectoryEntry>;

} // namespace dragonflystall

#endif
