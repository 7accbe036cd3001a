// Invariants that are checked in every build, Release included: the process
// aborts rather than violate a guarantee.
#ifndef DRAGONFLYSTALL_SRC_TYPES_CHECK_H
#define DRAGONFLYSTALL_SRC_TYPES_CHECK_H

#include <cstdio>
#include <cstdlib>

namespace dragonflystall {

/// Aborts the process with a message unless the invariant holds.
inline void check(bool Holds, const char *Invariant) {
  if (Holds)
    return;
  std::fprintf(stderr, "invariant violated: %s\n", Invariant);
  std::abort();
}

} // namespace dragonflystall

#endif
