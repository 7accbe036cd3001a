// Numbers that the environment may set for tests: seeds and counts of random
// runs.
#ifndef DRAGONFLYSTALL_SRC_TYPES_ENVIRONMENT_TEST_H
#define DRAGONFLYSTALL_SRC_TYPES_ENVIRONMENT_TEST_H

#include <cstdint>
#include <cstdlib>

namespace dragonflystall {

/// The variable's value as a decimal number; Default when it is not set.
inline uint64_t fromEnvironment(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace dragonflystall

#endif
