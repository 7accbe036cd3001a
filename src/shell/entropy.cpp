// Reads the operating system's random source.
#include "entropy.h"

#include <random>

namespace dragonflystall {

uint64_t randomBits() {
  std::random_device Source;
  return (uint64_t{Source()} << 32) | Source();
}

} // namespace dragonflystall
