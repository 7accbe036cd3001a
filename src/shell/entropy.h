// Random bits from the operating system, for identities and seeds. For daemons
// only: the cores use generators that are seeded by their daemon.
#ifndef DRAGONFLYSTALL_SRC_SHELL_ENTROPY_H
#define DRAGONFLYSTALL_SRC_SHELL_ENTROPY_H

#include <cstdint>

namespace dragonflystall {

uint64_t randomBits();

} // namespace dragonflystall

#endif
