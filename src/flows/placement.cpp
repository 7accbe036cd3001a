// Weighted two choices over the agents that may take a new flow.
#include "placement.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// A queue as long as the limit counts like this share of the capacity.
constexpr double QueuePenalty = 0.02;
constexpr double MaxQueuePenalty = 0.08;

bool hasRoom(const Candidate &C) { return C.Flows < C.Capacity; }

/// Draws one of the candidates with room by weight, never Except.
const Candidate *draw(std::span<const Candidate> Candidates, uint64_t Total,
                      const Candidate *Except, Random &Rng) {
  if (Except)
    Total -= Except->Capacity;
  if (Total == 0)
    return nullptr;
  uint64_t Rest = Rng() % Total;
  for (const Candidate &C : Candidates) {
    if (!hasRoom(C) || &C == Except)
      continue;
    if (Rest < C.Capacity)
      return &C;
    Rest -= C.Capacity;
  }
  return nullptr;
}

} // namespace

double fullness(const Candidate &C) {
  const double Held = (static_cast<double>(C.Flows) + C.Unseen) / C.Capacity;
  const double Limit = std::max<uint32_t>(1, C.Limit);
  const double Excess = std::max(0.0, C.Requests / Limit - 1.0);
  return Held + std::min(MaxQueuePenalty, Excess * QueuePenalty);
}

const Candidate *choose(std::span<const Candidate> Candidates, Random &Rng) {
  uint64_t Total = 0;
  for (const Candidate &C : Candidates)
    Total += hasRoom(C) ? C.Capacity : 0;
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
