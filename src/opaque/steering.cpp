// Steering of opaque packets.
#include "opaque/steering.h"

#include <bit>

namespace dragonflystall::opaque {

namespace {

/// A new flow is offered to at most so many agents before it is refused.
constexpr int MostOffers = 6;

SteerAction drop(SteerReason Why) {
  return {SteerAction::Kind::Drop, Why, nullptr, {}, 0};
}

/// A caller whose flow is not open takes any reset; one whose flow is open, a
/// copy of whose SYN came late, takes this for an old packet.
SteerAction refuse(SteerReason Why) {
  return {SteerAction::Kind::Reset, Why, nullptr, {}, 0};
}

/// For a flow that was open: the sequence that its caller expects.
SteerAction breakOff(const PacketHead &Head) {
  return {SteerAction::Kind::Reset,
          SteerReason::NotFound,
          nullptr,
          {},
          Head.Acknowledged};
}

SteerAction forward(SteerReason Why, const Agent &To, Trail Way) {
  return {SteerAction::Kind::Forward, Why, &To, Way, 0};
}

} // namespace

FlowCache::Seconds Steering::seconds(TimePoint Now) const {
  return std::chrono::duration_cast<std::chrono::seconds>(Now - Started_)
      .count();
}

void Steering::tick(TimePoint Now) {
  Cache_.setIdleTimeout(std::chrono::duration_cast<std::chrono::seconds>(
                            Config_.manifest().FlowIdleTimeout)
                            .count());
  Cache_.sweep(seconds(Now));
}

SteerAction Steering::fromCaller(const PacketHead &Head, TimePoint Now) {
  if (Head.Bounced || (Head.Syn && Head.Ack))
    return drop(SteerReason::Stray);
  if (!Config_.known())
    return drop(SteerReason::NoManifest);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Agent *Holder = Agents_.find(Cache_.find(Hash, seconds(Now)));
  if (Head.opens()) {
    // A copy means that the agent has not answered in time: try another one.
    // Should both take it, the caller's next packet decides.
    if (!Holder || Head.Acknowledged == 0)
      return place(Head, 0, Now);
    ++Holder->Unanswered;
    return place(Head, Directory::triedBit(*Holder), Now);
  }
  if (!Holder)
    return search(Head, 0, /*Incomplete=*/false, Now);
  Trail Way;
  Way.How = Trail::Mode::Held;
  return forward(SteerReason::Held, *Holder, Way);
}

SteerAction Steering::place(const PacketHead &Head, uint32_t Tried,
                            TimePoint Now) {
  const std::string *Service = Config_.manifest().serviceOf(Head.Destination);
  if (!Service)
    return refuse(SteerReason::NoRoute);
  Agent *Best = nullptr;
  if (std::popcount(Tried) < MostOffers)
    Best = Agents_.choose(*Service, Tried, Now);
  if (!Best)
    return refuse(SteerReason::NoUpstream);
  ++Best->SentSince;
  Cache_.store(hashOf(Head.fromCaller()), Best->Id, seconds(Now));
  Trail Way;
  Way.How = Trail::Mode::Place;
  Way.Hops = Tried | Directory::triedBit(*Best);
  return forward(Tried ? SteerReason::PlacedAgain : SteerReason::Placed, *Best,
                 Way);
}

SteerAction Steering::search(const PacketHead &Head, uint32_t Position,
                             bool Incomplete, TimePoint Now) {
  const std::string *Service = Config_.manifest().serviceOf(Head.Destination);
  if (!Service)
    return drop(SteerReason::NoRoute);
  const uint64_t Hash = hashOf(Head.fromCaller());
  for (; Position < Trail::MostHops; ++Position) {
    Agent *Next = Agents_.inOrder(*Service, Hash, Position);
    if (!Next)
      break;
    if (Agents_.suspect(*Next, Now)) {
      Incomplete = true;
      continue;
    }
    Trail Way;
    Way.How = Trail::Mode::Search;
    Way.Hops = Position;
    Way.Generation = Agents_.generation();
    Way.Incomplete = Incomplete;
    return forward(SteerReason::Searched, *Next, Way);
  }
  if (Incomplete || Position == 0)
    return drop(SteerReason::Lost);
  return breakOff(Head);
}

SteerAction Steering::returned(const PacketHead &Head, TimePoint Now) {
  const Trail Way = Trail::decode(Head.Echo);
  if (Head.opens() && Way.How == Trail::Mode::Place)
    return place(Head, Way.Hops, Now);
  if (Head.opens() || Way.How == Trail::Mode::None)
    return drop(SteerReason::Stray);
  if (Way.How == Trail::Mode::Held) {
    Cache_.erase(hashOf(Head.fromCaller()));
    return search(Head, 0, /*Incomplete=*/false, Now);
  }
  if (Way.Generation != Agents_.generation())
    return drop(SteerReason::Stale);
  return search(Head, Way.Hops + 1, Way.Incomplete || Way.Refused, Now);
}

void Steering::onHolds(const Holds &Message, TimePoint Now) {
  if (const Agent *A = Agents_.find(Message.Name))
    Cache_.store(hashOf(Message.Flow), A->Id, seconds(Now));
}

} // namespace dragonflystall::opaque
