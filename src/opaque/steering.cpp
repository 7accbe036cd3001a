// Placement of new flows, search for holders, forwarding of packets.
#include "opaque/steering.h"

#include <bit>

namespace dragonflystall::opaque {

namespace {

/// A new flow is offered to at most this number of agents, then refused.
constexpr int MostOffers = 6;
/// Agents that the store does not list announce themselves to the balancer
/// within this time, if no peer has reported them.
constexpr Duration SettledAfter = 5s;
/// A new flow is queued if an upstream will be warm within this share of the
/// caller's timeout; the rest is left for the request itself.
constexpr double PatienceShare = 0.75;
/// Limit on flows queued at one balancer, per slot of the service: with several
/// balancers, the upstreams serve these within a fraction of a second.
constexpr size_t QueuedPerSlot = 8;
/// Each tick, a balancer places one queued flow for this number of open slots
/// of the service.
constexpr size_t SlotsPerRelease = 3;

SteerAction make(SteerAction::Kind What, SteerReason Why) {
  SteerAction Action;
  Action.What = What;
  Action.Why = Why;
  return Action;
}

SteerAction drop(SteerReason Why) { return make(SteerAction::Kind::Drop, Why); }

/// Resets a new flow. A caller whose flow is not open accepts any reset. A
/// caller whose flow is open, because this was a late copy of its SYN, ignores
/// sequence number 0 as an old packet.
SteerAction refuse(SteerReason Why) {
  return make(SteerAction::Kind::Reset, Why);
}

/// Resets an open flow with the sequence number that its caller expects.
SteerAction breakOff(const PacketHead &Head) {
  SteerAction Action = make(SteerAction::Kind::Reset, SteerReason::NotFound);
  Action.ResetSequence = Head.Acknowledged;
  return Action;
}

SteerAction forward(SteerReason Why, const Agent &To, Trail::Mode How) {
  SteerAction Action = make(SteerAction::Kind::Forward, Why);
  Action.To = &To;
  Action.Way.How = How;
  return Action;
}

} // namespace

FlowCache::Seconds Steering::seconds(TimePoint Now) const {
  return std::chrono::duration_cast<std::chrono::seconds>(Now - Started_)
      .count();
}

SteerAction Steering::fromCaller(const PacketHead &Head, std::string_view Bytes,
                                 TimePoint Now) {
  if (Head.Bounced || (Head.Syn && Head.Ack))
    return drop(SteerReason::Stray);
  if (!Config_.known())
    return drop(SteerReason::NoManifest);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Agent *Holder = Agents_.find(Cache_.find(Hash, seconds(Now)));
  if (!Head.opens()) {
    if (!Holder)
      return search(Head, Bytes, Now);
    return forward(SteerReason::Held, *Holder, Trail::Mode::Held);
  }
  if (Queue_.refresh(Hash, Head, Bytes))
    return drop(SteerReason::Queued);
  // A repeated SYN shows that the agent has not answered in time: try another
  // agent. If both accept the flow, the caller's next packet decides which
  // upstream holds it.
  if (!Holder || Head.Acknowledged == 0)
    return place(Head, Bytes, {}, Now);
  ++Holder->Unanswered;
  Trail Way;
  Way.Tried = Directory::triedBit(*Holder);
  return place(Head, Bytes, Way, Now);
}

SteerAction Steering::place(const PacketHead &Head, std::string_view Bytes,
                            Trail Way, TimePoint Now) {
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (!Route)
    return refuse(SteerReason::NoRoute);
  Agent *Best = nullptr;
  if (std::popcount(Way.Tried) < MostOffers)
    Best = Agents_.choose(Route->Service, Way.Tried, Now);
  if (!Best)
    return queueOrRefuse(Head, Bytes, *Route, Now);
  ++Best->SentSince;
  Cache_.store(hashOf(Head.fromCaller()), Best->Id, seconds(Now));
  SteerAction Action =
      forward(Way.Tried ? SteerReason::PlacedAgain : SteerReason::Placed, *Best,
              Trail::Mode::Place);
  Action.Way.Waited = Way.Waited;
  Action.Way.Tried = Way.Tried | Directory::triedBit(*Best);
  return Action;
}

SteerAction Steering::queueOrRefuse(const PacketHead &Head,
                                    std::string_view Bytes, const Route &Route,
                                    TimePoint Now) {
  // Agents may have returned two copies of the SYN; the first is queued.
  if (Queue_.refresh(hashOf(Head.fromCaller()), Head, Bytes))
    return drop(SteerReason::Queued);
  const auto RoomAt = Agents_.nextRoom(Route.Service, Now);
  const Duration Patience =
      std::chrono::duration_cast<Duration>(PatienceShare * Route.Timeout);
  if (!RoomAt || *RoomAt - Now > Patience)
    return refuse(SteerReason::NoUpstream);
  const size_t Room = QueuedPerSlot * Agents_.slotsOf(Route.Service);
  if (!Queue_.add(Head, Bytes, Route, Room, Now))
    return refuse(SteerReason::QueueFull);
  return drop(SteerReason::Queued);
}

void Steering::release(const std::string &Service,
                       std::vector<LateAction> &Actions, TimePoint Now) {
  if (Queue_.sizeOf(Service) == 0)
    return;
  const size_t Slots = Agents_.openSlotsOf(Service, Now);
  const size_t Count = (Slots + SlotsPerRelease - 1) / SlotsPerRelease;
  Trail Way;
  Way.Waited = true;
  for (HeldPacket &Packet : Queue_.take(Service, Count)) {
    SteerAction Action = place(Packet.Head, Packet.Bytes, Way, Now);
    Actions.push_back({std::move(Action), std::move(Packet)});
  }
}

SteerAction Steering::openingReturned(const PacketHead &Head,
                                      std::string_view Bytes, const Trail &Way,
                                      Endpoint From, TimePoint Now) {
  if (Way.How != Trail::Mode::Place)
    return drop(SteerReason::Stray);
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (Route && Way.Refused)
    Agents_.onRefusal(Route->Service, From, Now);
  return place(Head, Bytes, Way, Now);
}

SteerAction Steering::search(const PacketHead &Head, std::string_view Bytes,
                             TimePoint Now) {
  const FlowId Flow = Head.fromCaller();
  Search *S = Searches_.find(hashOf(Flow));
  const bool New = !S;
  if (New) {
    const Route *Route = Config_.manifest().routeAt(Flow.Route);
    if (!Route)
      return drop(SteerReason::NoRoute);
    S = Searches_.start(Flow, Route->Service, Agents_, Now);
  }
  if (!S)
    return drop(SteerReason::Lost);
  Searches::wait(*S, Head, Bytes);
  SteerAction Action = make(SteerAction::Kind::Ask, SteerReason::Asked);
  if (New)
    for (AgentId Id : S->Open)
      Action.Asked.push_back(Agents_.find(Id));
  return Action;
}

SteerAction Steering::returned(const PacketHead &Head, std::string_view Bytes,
                               Endpoint From, TimePoint Now) {
  const Trail Way = Trail::decode(Head.Echo);
  if (Head.opens())
    return openingReturned(Head, Bytes, Way, From, Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  if (Way.How == Trail::Mode::Held) {
    Cache_.erase(Hash);
    return search(Head, Bytes, Now);
  }
  Search *S = Searches_.find(Hash);
  if (Way.How != Trail::Mode::Search || !S)
    return drop(SteerReason::Stray);
  // The upstream has denied the flow, unless the agent refused the packet
  // without passing it on.
  if (Way.Refused)
    S->Incomplete = true;
  std::erase_if(S->Offered, [&](AgentId Id) {
    const Agent *A = Agents_.find(Id);
    return !A || A->Entry.Packets == From;
  });
  if (!S->denied())
    return drop(SteerReason::Asked);
  SteerAction Action = notFound(*S, Head, Now);
  Searches_.erase(Hash);
  return Action;
}

bool Steering::allKnown(TimePoint Now) const {
  return ListedAt_ && (PeerHeard_ || Now - *ListedAt_ > SettledAfter);
}

SteerAction Steering::notFound(const Search &S, const PacketHead &Head,
                               TimePoint Now) const {
  if (S.denied() && !S.Incomplete && allKnown(Now))
    return breakOff(Head);
  SteerAction Action = drop(SteerReason::Lost);
  Action.Unanswered = S.Open.size() + S.Unsure.size() + S.Offered.size();
  Action.AllKnown = allKnown(Now);
  return Action;
}

std::vector<LateAction> Steering::concluded(Search &S, TimePoint Now) {
  std::vector<LateAction> Actions;
  if (S.Open.empty())
    offer(S, Actions);
  if (!S.denied())
    return Actions;
  const HeldPacket &Last = S.Waiting.back();
  Actions.push_back({notFound(S, Last.Head, Now), Last});
  Searches_.erase(hashOf(S.Flow));
  return Actions;
}

void Steering::offer(Search &S, std::vector<LateAction> &Actions) {
  for (AgentId Id : S.Unsure) {
    const Agent *To = Agents_.find(Id);
    if (!To) {
      S.Incomplete = true;
      continue;
    }
    Actions.push_back({forward(SteerReason::Offered, *To, Trail::Mode::Search),
                       S.Waiting.back()});
    S.Offered.push_back(Id);
  }
  S.Unsure.clear();
}

std::vector<LateAction> Steering::onLocated(const Located &Message,
                                            TimePoint Now) {
  std::vector<LateAction> Actions;
  const Agent *From = Agents_.find(Message.Name);
  const uint64_t Hash = hashOf(Message.Flow);
  Search *S = Searches_.find(Hash);
  if (!From)
    return Actions;
  if (Message.Verdict == Holding::Holds) {
    Cache_.store(Hash, From->Id, seconds(Now));
    if (!S)
      return Actions;
    for (HeldPacket &Packet : S->Waiting)
      Actions.push_back({forward(SteerReason::Found, *From, Trail::Mode::Held),
                         std::move(Packet)});
    Searches_.erase(Hash);
    return Actions;
  }
  if (!S || std::erase(S->Open, From->Id) == 0)
    return Actions;
  if (Message.Verdict == Holding::Unsure)
    S->Unsure.push_back(From->Id);
  return concluded(*S, Now);
}

void Steering::onAgentsListed(TimePoint Now) {
  if (!ListedAt_)
    ListedAt_ = Now;
}

std::vector<LateAction> Steering::tick(TimePoint Now) {
  Cache_.setIdleTimeout(std::chrono::duration_cast<std::chrono::seconds>(
                            Config_.manifest().FlowIdleTimeout)
                            .count());
  Cache_.sweep(seconds(Now));
  std::vector<LateAction> Actions;
  for (Search *S : Searches_.overdue(Now))
    offer(*S, Actions);
  for (Search &S : Searches_.expire(Now)) {
    SteerAction Action = notFound(S, S.Waiting.back().Head, Now);
    Actions.push_back({std::move(Action), std::move(S.Waiting.back())});
  }
  Queue_.expire(Now);
  for (const std::string &Service : Queue_.services())
    release(Service, Actions, Now);
  return Actions;
}

} // namespace dragonflystall::opaque
