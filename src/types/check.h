// Invariants that are asserted in every build, Release included: a process
// that would break a promise stops in its place.
#ifndef DRAGONFLYSTALL_SRC_TYPES_CHECK_H
#define DRAGONFLYSTALL_SRC_TYPES_CHECK_H

#include <cstdio>
#include <cstdlib>

namespace dragonflystall {

/// Ends the process with the text unless the invariant holds.
inline void check(bool Holds, const char *Invariant) {
  if (Holds)
    return;
  std::fprintf(stderr, "invariant broken: %s\n", Invariant);
  std::abort();
}

} // namespace dragonflystall

#endif
