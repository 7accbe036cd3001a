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

struct DirectoryEntry {
  AgentRef Holder;
  /// When the holder accepted the flow, on this agent's clock.
  TimePoint Accepted;
  TimePoint Refreshed;
  /// The view under which the entry was made; older ones are trusted only once
  /// every holder has registered under the present view.
  uint32_t Episode = 0;
};

/// True when a holder that accepted at A keeps the flow against one that
/// accepted at B.
inline bool winsOver(TimePoint A, AgentRef HolderA, TimePoint B,
                     AgentRef HolderB) {
  return A != B ? A > B : HolderA < HolderB;
}

using Directory = FlowTable<DirectoryEntry>;

} // namespace dragonflystall

#endif
