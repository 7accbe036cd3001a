// The speed of finding a flow's home among the ten agents of a service.
#include "bench.h"

#include "dragonflystall/roster.h"

#include <chrono>

namespace dragonflystall::bench {

Outcome findHome() {
  constexpr uint32_t Agents = 10;
  constexpr uint32_t Decisions = 1'000'000;
  Roster Members;
  for (uint32_t I = 0; I < Agents; ++I) {
    RosterEntry Entry;
    Entry.Name = "agent-" + std::to_string(I);
    Entry.Agent = {agentId(Entry.Name), Incarnation{1}};
    upsert(Members, Entry);
  }
  const auto Any = [](const RosterEntry &) { return true; };
  Outcome Result;
  Result.Decisions = Decisions;
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t I = 0; I < Decisions; ++I) {
    const FlowKey Flow{ServiceId{1}, {I, 5683}};
    const RosterEntry *Home = homeOf(Members, Flow, Any);
    Result.Signature =
        mix(Result.Signature, static_cast<uint64_t>(Home->Agent.Id));
  }
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  Result.Seconds = Took.count();
  return Result;
}

} // namespace dragonflystall::bench
