// Forwarding of packets of open flows, and the search for their holders. New
// flows are in newflows.cpp.
#include "opaque/steering.h"

#include <algorithm>

namespace dragonflystall::opaque {

FlowCache::Seconds Steering::seconds(TimePoint Now) const {
  return std::chrono::duration_cast<std::chrono::seconds>(Now - Started_)
      .count();
}

SteerAction Steering::fromCaller(const PacketHead &Head, std::string_view Bytes,
                                 TimePoint Now) {
  if (Head.Bounced || (Head.Syn && Head.Ack))
    return drop(SteerReason::Stray);
  if (!Config_.hasManifest()) {
    EarlyPackets_.hold(Head, Bytes, Now);
    return drop(SteerReason::NoManifest);
  }
  const uint64_t Hash = hashOf(Head.fromCaller());
  Agent *Holder = Agents_.find(Cache_.find(Hash, seconds(Now)));
  if (!Head.opens()) {
    if (!Holder)
      return search(Head, Bytes, Now);
    return forwardHeld(Head, Hash, *Holder, Now);
  }
  if (Queue_.refresh(Hash, Head, Bytes))
    return drop(SteerReason::Queued);
  // A repeated SYN shows that the agent has not answered in time: try another
  // agent. If both accept the flow, the caller's next packet decides which
  // upstream holds it.
  if (!Holder || Head.Acknowledged == 0)
    return onNewSyn(Head, Bytes, {}, Now);
  ++Holder->RepeatedSyns;
  ForwardingState Forwarding;
  Forwarding.Tried = Directory::triedBit(*Holder) | Openings_.triedBits(Hash);
  return onNewSyn(Head, Bytes, Forwarding, Now);
}

SteerAction Steering::forwardHeld(const PacketHead &Head, uint64_t Hash,
                                  const Agent &Holder, TimePoint Now) {
  const Agent *Target = &Holder;
  if (Openings_.mayTrack(Hash)) {
    const Agent *Likely = Openings_.onPacket(Hash, Head, Now);
    if (Likely && Likely != Target) {
      Target = Likely;
      Cache_.store(Hash, Target->Id, seconds(Now));
    }
  }
  return forward(SteerReason::Held, *Target, ForwardingState::Mode::Held);
}

std::vector<std::string> Steering::servicesOf(Endpoint Address,
                                              const Route &Route,
                                              TimePoint Now) const {
  std::vector<std::string> Services =
      Config_.history().formerServices(Address, Now);
  std::erase_if(Services, [&](const std::string &S) { return Route.names(S); });
  for (const WeightedService &S : Route.Services)
    Services.push_back(S.Name);
  return Services;
}

SteerAction Steering::search(const PacketHead &Head, std::string_view Bytes,
                             TimePoint Now) {
  const FlowId Flow = Head.fromCaller();
  Search *Pending = Searches_.find(hashOf(Flow));
  const bool IsNew = !Pending;
  if (IsNew) {
    const Route *Route = Config_.manifest().routeAt(Flow.Route);
    if (!Route)
      return drop(SteerReason::NoRoute);
    Pending = Searches_.start(Flow, servicesOf(Flow.Route, *Route, Now),
                              Agents_, Now);
  }
  if (!Pending)
    return drop(SteerReason::Lost);
  Searches::hold(*Pending, Head, Bytes);
  SteerAction Action = makeAction(SteerAction::Kind::Ask, SteerReason::Asked);
  if (IsNew)
    for (AgentId Id : Pending->AwaitedAgents)
      Action.QueriedAgents.push_back(Agents_.find(Id));
  return Action;
}

SteerAction Steering::onReturned(const PacketHead &Head, std::string_view Bytes,
                                 Endpoint Sender, TimePoint Now) {
  const ForwardingState Forwarding = ForwardingState::decode(Head.Echo);
  if (Head.opens())
    return onReturnedSyn(Head, Bytes, Forwarding, Sender, Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  if (Forwarding.ForwardMode == ForwardingState::Mode::Held) {
    if (const Agent *Other = Openings_.onPacketReturned(Hash, Sender, Now)) {
      Cache_.store(Hash, Other->Id, seconds(Now));
      return forward(SteerReason::Reopened, *Other,
                     ForwardingState::Mode::Held);
    }
    Cache_.erase(Hash);
    return search(Head, Bytes, Now);
  }
  Search *Pending = Searches_.find(Hash);
  if (Forwarding.ForwardMode != ForwardingState::Mode::Search || !Pending)
    return drop(SteerReason::Stray);
  // The upstream has denied the flow, unless the agent refused the packet
  // without passing it on.
  if (Forwarding.Refused)
    Pending->Incomplete = true;
  std::erase_if(Pending->OfferedAgents, [&](AgentId Id) {
    const Agent *Candidate = Agents_.find(Id);
    return !Candidate || Candidate->Entry.Packets == Sender;
  });
  if (!Pending->isDenied())
    return drop(SteerReason::Asked);
  return concludeDenied(*Pending, Head, Now);
}

bool Steering::knowsAllAgents(TimePoint Now) const {
  return ListedEra_ && Era_.isSettled(Now);
}

bool Steering::mayConfirm(const Search &Pending, TimePoint Now) const {
  return !Pending.Incomplete && (!ListedEra_ || Era_.isSettled(Now));
}

bool Steering::isConfirmed(const Search &Pending, TimePoint Now) const {
  // An agent that has seen a restore knows that others may have lost their
  // entries.
  const bool SawRestore =
      Pending.ReportedEra != 0 && Pending.ReportedEra < ListedEra_.value_or(0);
  return Confirmation_.covers(Pending.Started) && knowsAllAgents(Now) &&
         !SawRestore && Pending.ReportedEntry <= Agents_.knownAsOf();
}

SteerAction Steering::askAwaited(const Search &Pending, SteerReason Reason) {
  SteerAction Action = makeAction(SteerAction::Kind::Ask, Reason);
  for (AgentId Id : Pending.AwaitedAgents)
    Action.QueriedAgents.push_back(Agents_.find(Id));
  return Action;
}

SteerAction Steering::concludeDenied(Search &Pending, const PacketHead &Head,
                                     TimePoint Now) {
  const bool MayBeElsewhere =
      !Pending.Widened && !Config_.history().isComplete(Now);
  if (MayBeElsewhere && !Pending.Incomplete) {
    Searches::widen(Pending, Agents_, Now);
    if (!Pending.isDenied())
      return askAwaited(Pending, SteerReason::AskedAll);
  }
  if (mayConfirm(Pending, Now)) {
    // Also those that the read in the meantime has brought.
    Searches::addNew(Pending, Agents_, Now);
    if (!Pending.isDenied())
      return askAwaited(Pending, SteerReason::Asked);
    if (!Confirmation_.covers(Pending.Started)) {
      Pending.AwaitsRead = true;
      Confirmation_.request(Pending.Started);
      return makeAction(SteerAction::Kind::Ask, SteerReason::Asked);
    }
  }
  SteerAction Action = makeNotFound(Pending, Head, Now);
  Searches_.erase(hashOf(Pending.Flow));
  return Action;
}

SearchOutcome Steering::outcomeOf(const Search &Pending, TimePoint Now) const {
  SearchOutcome Outcome;
  Outcome.Services = Pending.Services;
  Outcome.Unanswered = Pending.AwaitedAgents.size() +
                       Pending.UnsureAgents.size() +
                       Pending.OfferedAgents.size();
  Outcome.Offers = Pending.Offers;
  Outcome.KnowsAllAgents = isConfirmed(Pending, Now);
  Outcome.HistoryComplete = Config_.history().isComplete(Now);
  Outcome.Widened = Pending.Widened;
  Outcome.KnownAsOf = Agents_.knownAsOf();
  Outcome.ReportedEntry = Pending.ReportedEntry;
  Outcome.ReportedManifest = Pending.ReportedManifest;
  return Outcome;
}

SteerAction Steering::makeNotFound(const Search &Pending,
                                   const PacketHead &Head,
                                   TimePoint Now) const {
  SteerAction Action = notFoundOrLost(Pending, Head, Now);
  Action.Outcome = outcomeOf(Pending, Now);
  return Action;
}

SteerAction Steering::notFoundOrLost(const Search &Pending,
                                     const PacketHead &Head,
                                     TimePoint Now) const {
  if (Pending.isDenied() && !Pending.Incomplete && isConfirmed(Pending, Now))
    return resetOpenFlow(Head);
  return drop(SteerReason::Lost);
}

std::vector<DelayedAction> Steering::conclude(Search &Pending, TimePoint Now) {
  std::vector<DelayedAction> Actions;
  if (Pending.AwaitedAgents.empty())
    offerPacket(Pending, Actions);
  concludeIfDenied(Pending, Actions, Now);
  return Actions;
}

void Steering::concludeIfDenied(Search &Pending,
                                std::vector<DelayedAction> &Actions,
                                TimePoint Now) {
  if (!Pending.isDenied())
    return;
  HeldPacket Last = Pending.HeldPackets.back();
  SteerAction Action = concludeDenied(Pending, Last.Head, Now);
  if (Action.Disposition == SteerAction::Kind::Ask &&
      Action.QueriedAgents.empty())
    return; // Awaits a read of the store.
  Actions.push_back({std::move(Action), std::move(Last)});
}

void Steering::offerPacket(Search &Pending,
                           std::vector<DelayedAction> &Actions) {
  for (AgentId Id : Pending.UnsureAgents) {
    const Agent *Target = Agents_.find(Id);
    if (!Target) {
      Pending.Incomplete = true;
      continue;
    }
    Actions.push_back(
        {forward(SteerReason::Offered, *Target, ForwardingState::Mode::Search),
         Pending.HeldPackets.back()});
    Pending.OfferedAgents.push_back(Id);
    ++Pending.Offers;
  }
  Pending.UnsureAgents.clear();
}

std::vector<DelayedAction> Steering::onLocated(const Located &Message,
                                               TimePoint Now) {
  std::vector<DelayedAction> Actions;
  const Agent *Sender = Agents_.find(Message.Name);
  const uint64_t Hash = hashOf(Message.Flow);
  Search *Pending = Searches_.find(Hash);
  if (!Sender)
    return Actions;
  if (Message.Verdict == Holding::Holds) {
    Cache_.store(Hash, Sender->Id, seconds(Now));
    if (!Pending)
      return Actions;
    for (HeldPacket &Packet : Pending->HeldPackets)
      Actions.push_back(
          {forward(SteerReason::Found, *Sender, ForwardingState::Mode::Held),
           std::move(Packet)});
    Searches_.erase(Hash);
    return Actions;
  }
  if (!Pending || std::erase(Pending->AwaitedAgents, Sender->Id) == 0)
    return Actions;
  Pending->ReportedEntry =
      std::max(Pending->ReportedEntry, Message.NewestEntry);
  Pending->ReportedManifest =
      std::max(Pending->ReportedManifest, Message.NewestManifest);
  if (Message.SettledEra != 0 &&
      (Pending->ReportedEra == 0 || Message.SettledEra < Pending->ReportedEra))
    Pending->ReportedEra = Message.SettledEra;
  // The flow may be at an agent of a service that this balancer has not heard
  // of.
  if (Message.NewestManifest > Config_.manifest().Version)
    Pending->Incomplete = true;
  if (Message.Verdict == Holding::Unsure) {
    // A packet may not be offered to a service that, as far as is known, the
    // route has never named.
    if (Pending->Widened)
      Pending->Incomplete = true;
    else
      Pending->UnsureAgents.push_back(Sender->Id);
  }
  return conclude(*Pending, Now);
}

void Steering::onAgentsListed(StoreRevision Revision, TimePoint Now) {
  if (ListedEra_ && *ListedEra_ != Revision.Era)
    Confirmation_.onNewEra();
  ListedEra_ = Revision.Era;
  Era_.onEra(Revision.Era, Now);
}

std::optional<AwaitedRead> Steering::beginRead(TimePoint Now) {
  if (!ListedEra_ || !Confirmation_.isDue(Now))
    return std::nullopt;
  AwaitedRead Awaited;
  for (const Search *Pending : Searches_.awaitingRead()) {
    ++Awaited.Searches;
    Awaited.Oldest = std::max(Awaited.Oldest, Now - Pending->Started);
  }
  if (Awaited.Searches == 0) {
    Confirmation_.cancel();
    return std::nullopt;
  }
  Confirmation_.onBegan(Now);
  return Awaited;
}

std::vector<DelayedAction> Steering::onAgentsRead(TimePoint Now) {
  std::vector<DelayedAction> Actions;
  if (!Confirmation_.onRead())
    return Actions;
  for (Search *Pending : Searches_.awaitingRead()) {
    if (!Confirmation_.covers(Pending->Started))
      continue;
    Pending->AwaitsRead = false;
    concludeIfDenied(*Pending, Actions, Now);
  }
  return Actions;
}

std::vector<DelayedAction> Steering::onManifest(TimePoint Now) {
  std::vector<DelayedAction> Actions;
  if (!Config_.hasManifest())
    return Actions;
  for (HeldPacket &Packet : EarlyPackets_.take(Now)) {
    SteerAction Action = fromCaller(Packet.Head, Packet.Bytes, Now);
    Actions.push_back({std::move(Action), std::move(Packet)});
  }
  return Actions;
}

std::vector<DelayedAction> Steering::tick(TimePoint Now) {
  Cache_.setIdleTimeout(std::chrono::duration_cast<std::chrono::seconds>(
                            Config_.manifest().FlowIdleTimeout)
                            .count());
  Cache_.sweep(seconds(Now));
  EarlyPackets_.expire(Now);
  Openings_.expire(Now);
  std::vector<DelayedAction> Actions = onManifest(Now);
  for (Search *Pending : Searches_.overdue(Now)) {
    Searches::waiveEnded(*Pending, Agents_);
    offerPacket(*Pending, Actions);
    concludeIfDenied(*Pending, Actions, Now);
  }
  for (Search &Pending : Searches_.expire(Now)) {
    SteerAction Action =
        makeNotFound(Pending, Pending.HeldPackets.back().Head, Now);
    Actions.push_back(
        {std::move(Action), std::move(Pending.HeldPackets.back())});
  }
  for (WaitingFlow &Flow : Queue_.expire(Now))
    refuseWaiting(std::move(Flow), SteerReason::TooLate, Now);
  std::erase_if(ColdOffers_, [this](const auto &Offers) {
    return Queue_.sizeOf(Offers.first) == 0;
  });
  for (const std::string &Service : Queue_.services())
    placeQueued(Service, Now);
  for (DelayedAction &Late : takeDelayed())
    Actions.push_back(std::move(Late));
  return Actions;
}

} // namespace dragonflystall::opaque
