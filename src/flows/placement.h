// The choice of a holder for a new flow: two candidates drawn by weight, the
// less loaded one takes it.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_PLACEMENT_H
#define DRAGONFLYSTALL_SRC_FLOWS_PLACEMENT_H

#include "dragonflystall/clock.h"

#include <span>

namespace dragonflystall {

struct Candidate {
  AgentRef Agent;
  uint32_t Flows = 0; ///< Said last, plus what this home placed since.
  /// What the other homes will have placed there since; a guess.
  uint32_t Unseen = 0;
  uint32_t Capacity = 0; ///< Flows that it may hold.
  uint32_t Requests = 0; ///< Running and queued.
  uint32_t Limit = 1;    ///< Requests that it bears at once.
  uint32_t Slots = 1;    ///< Requests that it bears at once when warm.
  bool Near = false;     ///< In the zone of the home.
};

/// How full a candidate is, 1 when its flows are at capacity; a queue of
/// requests makes it look fuller.
double fullness(const Candidate &C);

/// The holder to be; nullptr when every candidate is full.
const Candidate *choose(std::span<const Candidate> Candidates, Random &Rng);

} // namespace dragonflystall

#endif
