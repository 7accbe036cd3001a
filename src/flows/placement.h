// The choice of a holder for a new flow: the less loaded one of two candidates
// that are drawn at random by weight.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_PLACEMENT_H
#define DRAGONFLYSTALL_SRC_FLOWS_PLACEMENT_H

#include "dragonflystall/clock.h"

#include <span>

namespace dragonflystall {

struct Candidate {
  AgentRef Agent;
  /// As last reported by the agent, plus the flows that this home placed since.
  uint32_t Flows = 0;
  /// Estimate of the flows that the other homes placed there since.
  uint32_t UnreportedFlows = 0;
  uint32_t Capacity = 0; ///< Flows that the agent may hold.
  uint32_t Requests = 0; ///< Running and queued.
  uint32_t Limit = 1;    ///< Admission limit: concurrent requests.
  uint32_t Slots = 1;    ///< Concurrent requests when warm.
  bool SameZone = false; ///< In the same zone as the home.
};

/// The load used to compare candidates: the share of the capacity that is in
/// use, increased by a small penalty for queued requests.
double fullness(const Candidate &Option);

/// The candidate chosen as holder; nullptr when every candidate is full.
const Candidate *chooseHolder(std::span<const Candidate> Candidates,
                              Random &Rng);

} // namespace dragonflystall

#endif
