// Decisions of the balancer on new flows: which service and agent gets one,
// whether it waits, and when it is refused.
#include "opaque/steering.h"

#include <algorithm>
#include <bit>

namespace dragonflystall::opaque {

namespace {

/// A new flow is offered to at most this number of agents, then refused.
constexpr int MaxOffers = 6;
/// Limit on flows queued at one balancer, per slot of the service: with several
/// balancers, the upstreams serve these within a fraction of a second.
constexpr size_t QueuedPerSlot = 8;
/// Each tick, a balancer places one queued flow for this number of open slots
/// of the service.
constexpr size_t SlotsPerRelease = 3;

} // namespace

Steering::NewFlow Steering::describe(const PacketHead &Head,
                                     TimePoint Now) const {
  NewFlow Flow;
  Flow.Target = Config_.manifest().routeAt(Head.Destination);
  if (Flow.Target)
    Flow.Service = serviceFor(*Flow.Target, hashOf(Head.fromCaller()), Now);
  return Flow;
}

SteerAction Steering::onNewSyn(const PacketHead &Head, std::string_view Bytes,
                               ForwardingState Forwarding, TimePoint Now) {
  NewFlow Flow = describe(Head, Now);
  if (Flow.Service)
    Flow.Deadline =
        Deadlines_.onSyn(hashOf(Head.fromCaller()), Head.Acknowledged,
                         Flow.Target->Timeout, Now);
  // Not behind the flows that wait, which have lost time already: otherwise all
  // flows would be served late for as long as a surge lasts.
  return placeFlow(Head, Bytes, Flow, Forwarding, Now);
}

std::vector<HedgeAction> Steering::hedge(TimePoint Now) {
  std::vector<HedgeAction> Actions;
  const auto IsWaiting = [this](const std::string &Service) {
    return Queue_.sizeOf(Service) > 0;
  };
  for (HedgeDecision &Decision : Openings_.decide(IsWaiting, Now)) {
    SteerAction Action;
    if (Decision.Second) {
      Action = forward(SteerReason::Hedged, *Decision.Second,
                       ForwardingState::Mode::Place);
      Action.Forwarding.Tried =
          Openings_.triedBits(hashOf(Decision.Syn.Head.fromCaller()));
    }
    Actions.push_back({std::move(Decision), std::move(Action)});
  }
  return Actions;
}

const WeightedService *Steering::serviceFor(const Route &Route,
                                            uint64_t FlowHash,
                                            TimePoint Now) const {
  const auto Preferred = Route.preferenceOf(FlowHash);
  if (Preferred.empty())
    return nullptr;
  const auto Able = std::find_if(
      Preferred.begin(), Preferred.end(),
      [&](const WeightedService *S) { return Agents_.canServe(S->Name, Now); });
  return Able == Preferred.end() ? Preferred.front() : *Able;
}

SteerAction Steering::placeFlow(const PacketHead &Head, std::string_view Bytes,
                                const NewFlow &Flow, ForwardingState Forwarding,
                                TimePoint Now) {
  if (!Flow.Target)
    return refuse(SteerReason::NoRoute);
  if (!Flow.Service)
    return refuse(SteerReason::NoUpstream);
  const std::string &Service = Flow.Service->Name;
  Agent *Best = nullptr;
  if (std::popcount(Forwarding.Tried) < MaxOffers)
    Best = Agents_.choose(Service, Forwarding.Tried, Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  if (!Best)
    Best = Openings_.repeatTarget(Hash);
  if (!Best) {
    const auto Offers = ColdOffers_.find(Service);
    if (Forwarding.WasQueued && Offers != ColdOffers_.end())
      Offers->second.onReturned();
    return queueOrRefuse(Head, Bytes, Flow, Now);
  }
  Agents_.onSynSent(*Best, Now);
  Cache_.store(Hash, Best->Id, seconds(Now));
  Openings_.onPlaced(Head, Bytes, Service, *Best,
                     Forwarding.Tried == 0 && Head.Acknowledged == 0, Now);
  SteerAction Action =
      forward(Forwarding.Tried ? SteerReason::PlacedAgain : SteerReason::Placed,
              *Best, ForwardingState::Mode::Place);
  Action.Forwarding.WasQueued = Forwarding.WasQueued;
  Action.Forwarding.Tried = Forwarding.Tried | Directory::triedBit(*Best);
  return Action;
}

size_t Steering::coldRoomOf(const std::string &Service, TimePoint Now) const {
  const auto &Services = Config_.manifest().Services;
  const auto It = Services.find(Service);
  // An agent takes at least one flow per second, whatever the manifest says.
  const double PerSecond =
      It == Services.end() ? 1 : std::max(1.0, It->second.PerSecond);
  return static_cast<size_t>(
      PerSecond * static_cast<double>(Agents_.coldAgentsOf(Service, Now)));
}

size_t Steering::maxQueued(const std::string &Service) const {
  return QueuedPerSlot * Agents_.slotsOf(Service);
}

SteerReason Steering::waitOrRefusal(const std::string &Service,
                                    uint32_t Priority, TimePoint Deadline,
                                    TimePoint Now) const {
  if (Deadline <= Now)
    return SteerReason::TooLate;
  const auto RoomAt = Agents_.nextCapacityAt(Service, Now);
  if (!RoomAt || *RoomAt > Deadline) {
    // Only as many flows may wait as the upstreams take while they are cold.
    const size_t ColdRoom = coldRoomOf(Service, Now);
    if (Queue_.countAhead(Service, Priority, Deadline, ColdRoom) >= ColdRoom)
      return SteerReason::NoUpstream;
  }
  return Queue_.hasPlaceFor(Service, Priority, Deadline, maxQueued(Service))
             ? SteerReason::Queued
             : SteerReason::QueueFull;
}

WaitInputs Steering::waitInputs(const WaitingFlow &Flow, TimePoint Now) const {
  WaitInputs Inputs;
  Inputs.Priority = Flow.Priority;
  Inputs.Left = Flow.Deadline - Now;
  Inputs.Waiting = Queue_.sizeOf(Flow.Service);
  if (const auto RoomAt = Agents_.nextCapacityAt(Flow.Service, Now))
    Inputs.RoomIn = *RoomAt - Now;
  return Inputs;
}

SteerAction Steering::queueOrRefuse(const PacketHead &Head,
                                    std::string_view Bytes, const NewFlow &Flow,
                                    TimePoint Now) {
  const uint64_t Hash = hashOf(Head.fromCaller());
  // Agents may have returned two copies of the SYN; the first is queued.
  if (Queue_.refresh(Hash, Head, Bytes))
    return drop(SteerReason::Queued);
  const std::string &Service = Flow.Service->Name;
  WaitingFlow Waiting = {Service,
                         Flow.Target->Priority,
                         Flow.Deadline,
                         {Head, std::string(Bytes)},
                         SynDeadlines::aimBy(Flow.Deadline,
                                             Flow.Target->Timeout,
                                             Flow.Target->Aim)};
  SteerAction Action = drop(SteerReason::Queued);
  Action.Wait = waitInputs(Waiting, Now);
  const auto RefuseWith = [&](SteerReason Reason) {
    Openings_.onRefusal(Service, Now);
    Action.Disposition = SteerAction::Kind::Reset;
    Action.Reason = Reason;
    return Action;
  };
  const SteerReason Reason =
      waitOrRefusal(Service, Waiting.Priority, Flow.Deadline, Now);
  if (Reason != SteerReason::Queued)
    return RefuseWith(Reason);
  auto Refused = Queue_.add(std::move(Waiting), maxQueued(Service));
  if (!Refused)
    return Action;
  if (Refused->hash() == Hash)
    return RefuseWith(SteerReason::QueueFull);
  refuseWaiting(std::move(*Refused), SteerReason::Evicted, Now);
  return Action;
}

void Steering::refuseWaiting(WaitingFlow Flow, SteerReason Reason,
                             TimePoint Now) {
  Openings_.onRefusal(Flow.Service, Now);
  SteerAction Action = refuse(Reason);
  Action.Wait = waitInputs(Flow, Now);
  Delayed_.push_back({std::move(Action), std::move(Flow.Packet)});
}

void Steering::placeWaiting(WaitingFlow Waiting, TimePoint Now) {
  ForwardingState Forwarding;
  Forwarding.WasQueued = true;
  HeldPacket &Packet = Waiting.Packet;
  NewFlow Flow = describe(Packet.Head, Now);
  Flow.Deadline = Waiting.Deadline;
  SteerAction Action =
      placeFlow(Packet.Head, Packet.Bytes, Flow, Forwarding, Now);
  Delayed_.push_back({std::move(Action), std::move(Packet)});
}

void Steering::endLateWaits(const std::string &Service, TimePoint Now) {
  const auto RoomAt = Agents_.nextCapacityAt(Service, Now);
  if (RoomAt && *RoomAt <= Now)
    return;
  for (WaitingFlow &Flow :
       Queue_.takeLate(Service, RoomAt.value_or(TimePoint::max()),
                       coldRoomOf(Service, Now))) {
    const WeightedService *Other = describe(Flow.Packet.Head, Now).Service;
    if (Other && Other->Name != Service)
      placeWaiting(std::move(Flow), Now);
    else
      refuseWaiting(std::move(Flow), SteerReason::TooLate, Now);
  }
}

void Steering::placeQueued(const std::string &Service, TimePoint Now) {
  endLateWaits(Service, Now);
  const size_t Slots = Agents_.openSlotsOf(Service, Now);
  size_t Count = (Slots + SlotsPerRelease - 1) / SlotsPerRelease;
  if (Slots > 0) {
    ColdOffers_.erase(Service);
  } else {
    ColdOffers &Offers = ColdOffers_[Service];
    Count = Offers.begin(Agents_.coldAgentsOf(Service, Now, /*Ready=*/true));
    for (size_t I = 0; I < std::min(Count, Queue_.sizeOf(Service)); ++I)
      Offers.onOffered();
  }
  for (WaitingFlow &Flow : Queue_.take(Service, Count, Now))
    placeWaiting(std::move(Flow), Now);
}

SteerAction Steering::onReturnedSyn(const PacketHead &Head,
                                    std::string_view Bytes,
                                    const ForwardingState &Forwarding,
                                    Endpoint Sender, TimePoint Now) {
  if (Forwarding.ForwardMode != ForwardingState::Mode::Place)
    return drop(SteerReason::Stray);
  NewFlow Flow = describe(Head, Now);
  if (!Flow.Target)
    return refuse(SteerReason::NoRoute);
  if (Forwarding.Refused)
    for (const WeightedService &S : Flow.Target->Services)
      Agents_.onRefusal(S.Name, Sender, Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  if (Openings_.onSynReturned(Hash, Sender))
    return drop(SteerReason::Hedged);
  // Another copy of the SYN waits already.
  if (Queue_.refresh(Hash, Head, Bytes))
    return drop(SteerReason::Queued);
  Flow.Deadline =
      Deadlines_.onReturned(Hash, Head.Acknowledged, Flow.Target->Timeout, Now);
  // The caller has given up by now. This does not show that room is short.
  if (Flow.Deadline <= Now)
    return refuse(SteerReason::TooLate);
  ForwardingState Further = Forwarding;
  Further.Tried |= Openings_.triedBits(Hash);
  return placeFlow(Head, Bytes, Flow, Further, Now);
}

} // namespace dragonflystall::opaque
