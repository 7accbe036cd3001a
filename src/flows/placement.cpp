// Weighted power of two choices over the agents that may take a new flow.
#include "placement.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// A queue as long as the limit raises the fullness by this share; longer
/// queues raise it in proportion, up to MaxQueuePenalty. Both are small so that
/// short bursts of requests don't unbalance the placement of long-lived flows.
constexpr double QueuePenalty = 0.02;
constexpr double MaxQueuePenalty = 0.05;

bool hasRoom(const Candidate &C) { return C.Flows < C.Capacity; }

/// The capacity, scaled by the ratio of the present admission limit to the
/// slots, so that an upstream in cold start gets fewer new flows, but does get
/// some.
uint64_t weight(const Candidate &C) {
  const uint64_t Slots = std::max<uint32_t>(1, C.Slots);
  const uint64_t Borne = std::clamp<uint64_t>(C.Limit, 1, Slots);
  return std::max<uint64_t>(1, C.Capacity * Borne / Slots);
}

/// Draws a candidate with free capacity at random by weight, excluding Except.
const Candidate *draw(std::span<const Candidate> Candidates, uint64_t Total,
                      const Candidate *Except, Random &Rng) {
  if (Except)
    Total -= weight(*Except);
  if (Total == 0)
    return nullptr;
  uint64_t Rest = Rng() % Total;
  for (const Candidate &C : Candidates) {
    if (!hasRoom(C) || &C == Except)
      continue;
    if (Rest < weight(C))
      return &C;
    Rest -= weight(C);
  }
  return nullptr;
}

} // namespace

double fullness(const Candidate &C) {
  const double Held = (static_cast<double>(C.Flows) + C.Unseen) / C.Capacity;
  const double Limit = std::max<uint32_t>(1, C.Limit);
  const double Excess = std::max(0.0, C.Requests / Limit - 1.0);
  return Held * (1 + std::min(MaxQueuePenalty, Excess * QueuePenalty));
}

const Candidate *choose(std::span<const Candidate> Candidates, Random &Rng) {
  uint64_t Total = 0;
  for (const Candidate &C : Candidates)
    Total += hasRoom(C) ? weight(C) : 0;
  const Candidate *First = draw(Candidates, Total, nullptr, Rng);
  if (!First)
    return nullptr;
  const Candidate *Second = draw(Candidates, Total, First, Rng);
  if (!Second)
    return First;
  const double A = fullness(*First);
  const double B = fullness(*Second);
  if (A == B)
    return Second->Near && !First->Near ? Second : First;
  return A < B ? First : Second;
}

} // namespace dragonflystall
