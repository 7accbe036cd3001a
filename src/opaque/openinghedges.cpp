// Decisions on hedges of flows that open.
#include "opaque/openings.h"

#include <utility>

namespace dragonflystall::opaque {

void Openings::setLimits(HedgeLimits Limits) {
  Limits_ = Limits;
  for (auto &[Name, State] : Services_)
    State.Budget.setPercent(Limits.Percent);
}

bool Openings::isCurrent(const Due &Item) {
  const Opening *Flow = find(Item.Hash);
  return Flow && Flow->isPending() && !Flow->Copies.back().Denied &&
         Flow->Copies.back().PlacedAt == Item.PlacedAt;
}

void Openings::dropOutdated(ServiceState &State) {
  while (!State.Placed.empty() && !isCurrent(State.Placed.front()))
    State.Placed.pop_front();
}

std::vector<HedgeDecision>
Openings::decide(const std::function<bool(const std::string &)> &IsWaiting,
                 TimePoint Now) {
  std::vector<HedgeDecision> Decisions;
  if (!isOn())
    return Decisions;
  for (auto &[Name, State] : Services_) {
    const auto Delay = State.Delay.delay(Now);
    dropOutdated(State);
    while (Delay && !State.Placed.empty() &&
           Now - State.Placed.front().PlacedAt >= *Delay) {
      Opening &Flow = Flows_.at(State.Placed.front().Hash);
      Decisions.push_back(decideOn(Flow, State, IsWaiting, Now));
      Decisions.back().Delay = *Delay;
      State.count(Decisions.back().Result);
      dropOutdated(State);
    }
  }
  return Decisions;
}

HedgeDecision
Openings::decideOn(Opening &Flow, ServiceState &State,
                   const std::function<bool(const std::string &)> &IsWaiting,
                   TimePoint Now) {
  HedgeDecision Decision;
  Decision.Service = Flow.Service;
  Decision.Waited = Now - Flow.Copies.back().PlacedAt;
  Decision.Observations = State.Delay.observations();
  Decision.First = Agents_.find(Flow.Copies.back().To);
  const auto Refusal = refusalOf(Flow, State, IsWaiting, Now);
  Decision.Result = Refusal ? *Refusal : send(Flow, State, Decision, Now);
  Decision.Syn = std::move(Flow.Syn);
  markDecided(Flow);
  return Decision;
}

std::optional<OpeningHedgeResult>
Openings::refusalOf(const Opening &Flow, const ServiceState &State,
                    const std::function<bool(const std::string &)> &IsWaiting,
                    TimePoint Now) const {
  const Route *Target = Config_.manifest().routeAt(Flow.Syn.Head.Destination);
  if (!Target || !Target->sendsTo(Flow.Service))
    return OpeningHedgeResult::RefusedRoom;
  if (!Limits_.AllKinds && !isRepeatable(Target->Kind))
    return OpeningHedgeResult::RefusedKind;
  const bool WasRefused =
      State.RefusedAt != TimePoint{} && Now - State.RefusedAt < RefusalTime;
  if (WasRefused || IsWaiting(Flow.Service))
    return OpeningHedgeResult::RefusedRoom;
  return std::nullopt;
}

OpeningHedgeResult Openings::send(Opening &Flow, ServiceState &State,
                                  HedgeDecision &Decision, TimePoint Now) {
  std::vector<AgentId> Except;
  for (const Copy &C : Flow.Copies)
    Except.push_back(C.To);
  Agent *Second = Agents_.chooseWithRoom(Flow.Service, Except, Config_, Now);
  if (!Second)
    return OpeningHedgeResult::RefusedRoom;
  if (!State.Budget.take(Now))
    return OpeningHedgeResult::RefusedBudget;
  Decision.Second = Second;
  Flow.Hedge = Flow.Copies.size();
  Flow.Copies.push_back({Second->Id, Now});
  Agents_.onSynSent(*Second, Now);
  return OpeningHedgeResult::Sent;
}

} // namespace dragonflystall::opaque
