// Random bits from the system, for identities and seeds. Daemons only: cores
// draw from what they were seeded with.
#ifndef DRAGONFLYSTALL_SRC_SHELL_ENTROPY_H
#define DRAGONFLYSTALL_SRC_SHELL_ENTROPY_H

#include <cstdint>

namespace dragonflystall {

uint64_t randomBits();

} // namespace dragonflystall

#endif
