// The placement of new flows: its speed, its balance compared with a random
// choice, and the memory of a flow at its holder and at its home.
#include "bench.h"

#include "flows/placement.h"
#include "flows/state.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/format.h>

namespace dragonflystall::bench {

namespace {

/// Hängarlabbet's tag service.
constexpr size_t Agents = 7;
constexpr uint32_t OtherHomes = Agents - 1;
constexpr uint32_t Capacity = 2000;
constexpr uint32_t Flows = 2100;
/// New flows between two heartbeats. The counts that a home has of the other
/// agents are up to this many flows old.
constexpr uint32_t FlowsPerHeartbeat = 500;
constexpr uint32_t Rounds = 200;

using Counts = std::array<uint32_t, Agents>;
using View = std::vector<Candidate>;

View emptyView() {
  View Result(Agents);
  for (size_t I = 0; I < Agents; ++I) {
    Result[I].Agent.Id = AgentId{static_cast<uint32_t>(I)};
    Result[I].Capacity = Capacity;
    Result[I].Limit = 4;
  }
  return Result;
}

void refresh(Candidate &C, uint32_t Held) {
  C.Flows = Held;
  C.UnreportedFlows = 0;
}

double imbalance(const Counts &Held) {
  const uint32_t Most = *std::max_element(Held.begin(), Held.end());
  return static_cast<double>(Most) * Agents / Flows;
}

/// Each agent is the home of some flows and sees the others' counts as of the
/// last heartbeat, plus the flows that it has placed since.
Counts placeByTwoChoices(Random &Rng, uint64_t &Signature) {
  std::vector<View> Homes(Agents, emptyView());
  Counts Held{};
  for (uint32_t I = 0; I < Flows; ++I) {
    if (I % FlowsPerHeartbeat == 0)
      for (View &Home : Homes)
        for (size_t A = 0; A < Agents; ++A)
          refresh(Home[A], Held[A]);
    View &Home = Homes[Rng() % Agents];
    const Candidate *Chosen = chooseHolder(Home, Rng);
    const auto Agent = static_cast<size_t>(Chosen->Agent.Id);
    ++Home[Agent].Flows;
    Home[Agent].UnreportedFlows += OtherHomes;
    ++Held[Agent];
    Signature = mix(Signature, Agent);
  }
  return Held;
}

Counts placeAtRandom(Random &Rng) {
  Counts Held{};
  for (uint32_t I = 0; I < Flows; ++I)
    ++Held[Rng() % Agents];
  return Held;
}

template <typename Value> size_t bytesPerFlow() {
  FlowTable<Value> Table;
  for (uint32_t I = 0; I < Capacity; ++I)
    Table.insert({I, 1}, Value{});
  return Table.bytes() / Table.size();
}

} // namespace

Outcome placeFlows() {
  Random Rng(1);
  Outcome Result;
  double Worst = 0;
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t Round = 0; Round < Rounds; ++Round)
    Worst =
        std::max(Worst, imbalance(placeByTwoChoices(Rng, Result.Signature)));
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  double WorstAtRandom = 0;
  for (uint32_t Round = 0; Round < Rounds; ++Round)
    WorstAtRandom = std::max(WorstAtRandom, imbalance(placeAtRandom(Rng)));
  Result.Decisions = uint64_t{Rounds} * Flows;
  Result.Seconds = Took.count();
  Result.Remark = fmt::format(
      "worst max/mean {:.3f}, at random {:.3f}; {} bytes a flow at the holder, "
      "{} at the home",
      Worst, WorstAtRandom, bytesPerFlow<HeldFlow>(),
      bytesPerFlow<DirectoryEntry>());
  return Result;
}

} // namespace dragonflystall::bench
