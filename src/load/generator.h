// Drives the load: many flows, each with a socket and a caller of its own, an
// open loop that starts calls at a steady rate.
#ifndef DRAGONFLYSTALL_SRC_LOAD_GENERATOR_H
#define DRAGONFLYSTALL_SRC_LOAD_GENERATOR_H

#include "load/loadoptions.h"
#include "load/tally.h"

#include <string>
#include <tl/expected.hpp>

namespace dragonflystall::load {

/// Runs to the end: the length asked for, and until the last call has ended.
/// The error says which resource the system refused.
tl::expected<void, std::string> drive(const Options &Asked, Tally &Seen);

} // namespace dragonflystall::load

#endif
