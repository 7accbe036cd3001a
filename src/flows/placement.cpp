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

bool hasRoom(const Candidate &Option) { return Option.Flows < Option.Capacity; }

/// The capacity, scaled by the ratio of the present admission limit to the
/// slots, so that an upstream in cold start gets fewer new flows, but does get
/// some.
uint64_t weight(const Candidate &Option) {
  const uint64_t Slots = std::max<uint32_t>(1, Option.Slots);
  const uint64_t Usable = std::clamp<uint64_t>(Option.Limit, 1, Slots);
  return std::max<uint64_t>(1, Option.Capacity * Usable / Slots);
}

/// Draws a candidate with free capacity at random by weight, other than
/// Excluded.
const Candidate *draw(std::span<const Candidate> Candidates, uint64_t Total,
                      const Candidate *Excluded, Random &Rng) {
  if (Excluded)
    Total -= weight(*Excluded);
  if (Total == 0)
    return nullptr;
  uint64_t Remaining = Rng() % Total;
  for (const Candidate &Option : Candidates) {
    if (!hasRoom(Option) || &Option == Excluded)
      continue;
    if (Remaining < weight(Option))
      return &Option;
    Remaining -= weight(Option);
  }
  return nullptr;
}

} // namespace

double fullness(const Candidate &Option) {
  const double FlowShare =
      (static_cast<double>(Option.Flows) + Option.UnreportedFlows) /
      Option.Capacity;
  const double Limit = std::max<uint32_t>(1, Option.Limit);
  const double Excess = std::max(0.0, Option.Requests / Limit - 1.0);
  return FlowShare * (1 + std::min(MaxQueuePenalty, Excess * QueuePenalty));
}

const Candidate *chooseHolder(std::span<const Candidate> Candidates,
                              Random &Rng) {
  uint64_t Total = 0;
  for (const Candidate &Option : Candidates)
    Total += hasRoom(Option) ? weight(Option) : 0;
  const Candidate *First = draw(Candidates, Total, nullptr, Rng);
  if (!First)
    return nullptr;
  const Candidate *Second = draw(Candidates, Total, First, Rng);
  if (!Second)
    return First;
  const double FirstFullness = fullness(*First);
  const double SecondFullness = fullness(*Second);
  if (FirstFullness == SecondFullness)
    return Second->SameZone && !First->SameZone ? Second : First;
  return FirstFullness < SecondFullness ? First : Second;
}

} // namespace dragonflystall
