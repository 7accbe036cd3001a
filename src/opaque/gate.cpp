// Admission of new flows and forwarding of packets at one upstream.
#include "opaque/gate.h"

#include <bit>
#include <cmath>

namespace dragonflystall::opaque {

namespace {

constexpr Duration AverageOver = 1s;
constexpr Duration SweepInterval = 1s;
/// A caller that has not sent its request within this time of its SYN, a few
/// round trips, has opened its flow at another upstream. Under high load,
/// copies of a SYN reach several agents; if each copy reserved a slot for long,
/// no slot would be left.
constexpr Duration OpeningLength = 30ms;
/// A request without an answer for this time was lost, or was answered before
/// this agent started.
constexpr Duration BusyLength = 2s;
/// Limit on requests in progress and queued, per slot: the queue is processed
/// within twice the length of a request.
constexpr double MostPerSlot = 3;
/// The lower limit for a flow that was offered to at most FirstOffers agents
/// and may find another upstream: one that has just become warm looks idle to
/// all balancers at once and would be overfilled.
constexpr double FirstPerSlot = 1.4;
constexpr int FirstOffers = 2;

GateAction toUpstream(GateReason Why) {
  return {GateAction::Kind::ToUpstream, Why, {}, {}, false};
}

} // namespace

GateAction Gate::refuse(const PacketHead &Head, Endpoint Balancer,
                        GateReason Why) {
  Trail Way = Trail::decode(Head.Echo);
  Way.Refused = true;
  return {GateAction::Kind::ToBalancer, Why, Balancer, Way, false};
}

GateAction Gate::open(const PacketHead &Head, Endpoint Balancer,
                      TimePoint Now) {
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (!Route)
    return refuse(Head, Balancer, GateReason::NoRoute);
  if (Route->Service != service())
    return refuse(Head, Balancer, GateReason::WrongService);
  if (!Upstream_.admits(Now))
    return refuse(Head, Balancer,
                  Upstream_.intake(Now) == Intake::Cold
                      ? GateReason::OverBudget
                      : GateReason::NotTaking);
  endOpenings(Now);
  if (!roomFor(Trail::decode(Head.Echo)))
    return refuse(Head, Balancer, GateReason::Full);
  Upstream_.onSynPassed(Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Flow &F = Flows_[Hash];
  F.Balancer = Balancer;
  F.LastUsed = Now;
  setBusy(F, true, Now);
  Openings_.push_back({Hash, Now});
  return toUpstream(GateReason::Admitted);
}

bool Gate::passable(const Trail &Way, TimePoint Now) const {
  // Before the first heartbeat, only packets whose balancer has this agent as
  // holder are passed on. Offers are refused, since an upstream that is still
  // starting would reset a flow that another upstream holds.
  if (!Upstream_.known())
    return Way.How == Trail::Mode::Held;
  return Upstream_.reachable(Now);
}

bool Gate::newData(Flow &F, const PacketHead &Head) {
  if (Head.PayloadBytes == 0)
    return false;
  const uint32_t Behind = Head.Sequence + Head.PayloadBytes;
  // A retransmission of an answered request does not begin a new request.
  const bool New =
      !F.HasData || static_cast<int32_t>(Behind - F.NextSequence) > 0;
  F.HasData = true;
  if (New)
    F.NextSequence = Behind;
  return New;
}

bool Gate::roomFor(const Trail &Way) const {
  double PerSlot = MostPerSlot;
  if (Way.Waited)
    PerSlot = 1;
  else if (std::popcount(Way.Tried) <= FirstOffers)
    PerSlot = FirstPerSlot;
  return BusyFlows_ < PerSlot * Upstream_.slots();
}

void Gate::endOpenings(TimePoint Now) {
  for (; !Openings_.empty() && Now - Openings_.front().At > OpeningLength;
       Openings_.pop_front()) {
    const auto It = Flows_.find(Openings_.front().Hash);
    if (It != Flows_.end() && !It->second.Confirmed && !It->second.HasData)
      setBusy(It->second, false, Now);
  }
}

void Gate::begin(Flow &F, uint64_t Hash, TimePoint Now) {
  setBusy(F, true, Now);
  F.Overdue = false;
  Requests_.push_back({Hash, Now});
}

std::optional<Duration> Gate::end(Flow &F, const PacketHead &Head,
                                  TimePoint Now) {
  const bool Answer = Head.PayloadBytes > 0;
  if (!Answer && !Head.Fin && !Head.Reset)
    return std::nullopt;
  const bool WasRequest = F.Busy && F.HasData;
  const Duration Took = Now - F.BusySince;
  setBusy(F, false, Now);
  if (!WasRequest)
    return std::nullopt;
  if (Answer) {
    Outcomes_.onAnswered(Took);
    return Took;
  }
  if (!F.Overdue)
    Outcomes_.onFailed(1);
  return std::nullopt;
}

void Gate::countOverdue(TimePoint Now) {
  const Duration Patience = Outcomes_.patience();
  for (; !Requests_.empty() && Now - Requests_.front().At > Patience;
       Requests_.pop_front()) {
    const auto It = Flows_.find(Requests_.front().Hash);
    if (It == Flows_.end() || !It->second.Busy || It->second.Overdue ||
        Now - It->second.BusySince <= Patience)
      continue;
    It->second.Overdue = true;
    Outcomes_.onFailed(1);
  }
}

GateAction Gate::fromBalancer(const PacketHead &Head, Endpoint Balancer,
                              TimePoint Now) {
  const Trail Way = Trail::decode(Head.Echo);
  if (Head.Bounced || (Head.Syn && Head.Ack) || Way.How == Trail::Mode::None)
    return {};
  if (Head.opens())
    return open(Head, Balancer, Now);
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (Route && Route->Service != service())
    return refuse(Head, Balancer, GateReason::WrongService);
  if (!passable(Way, Now))
    return refuse(Head, Balancer, GateReason::NotTaking);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Flow &F = Flows_[Hash];
  if (Way.How == Trail::Mode::Search)
    F.Searched = true;
  F.Balancer = Balancer;
  F.LastUsed = Now;
  if (newData(F, Head))
    begin(F, Hash, Now);
  return toUpstream(GateReason::Passed);
}

GateAction Gate::bounced(const PacketHead &Head, TimePoint Now) {
  Upstream_.onBounce();
  const auto It = Flows_.find(hashOf(Head.fromCaller()));
  if (It == Flows_.end())
    return {};
  const Endpoint Balancer = It->second.Balancer;
  setBusy(It->second, false, Now);
  Flows_.erase(It);
  return {GateAction::Kind::ToBalancer, GateReason::Bounced, Balancer,
          Trail::decode(Head.Echo), false};
}

GateAction Gate::fromUpstream(const PacketHead &Head, TimePoint Now) {
  if (Head.Bounced)
    return bounced(Head, Now);
  GateAction Action = {
      GateAction::Kind::ToCaller, GateReason::Answered, {}, {}, false};
  const auto It = Flows_.find(hashOf(Head.toCaller()));
  if (It == Flows_.end())
    return Action;
  Upstream_.onAnswer(Now);
  Flow &F = It->second;
  F.LastUsed = Now;
  Action.ResponseTime = end(F, Head, Now);
  if (!Head.Syn && !Head.Reset)
    F.Confirmed = true;
  if (F.Searched && !Head.Reset) {
    F.Searched = false;
    Action.Balancer = F.Balancer;
    Action.TellHolder = true;
  }
  return Action;
}

std::optional<Holding> Gate::holding(const FlowId &Flow, TimePoint Now) const {
  if (Upstream_.left() || Upstream_.ended())
    return Holding::Denies; // Also if no upstream ever reported.
  if (!Upstream_.reachable(Now))
    return std::nullopt;
  const auto It = Flows_.find(hashOf(Flow));
  if (It != Flows_.end())
    return It->second.Confirmed ? Holding::Holds : Holding::Unsure;
  // A flow that has been idle for longer than the timeout may be dropped.
  const bool SeesAll = !SeesAllSince_ || Now - *SeesAllSince_ >
                                             Config_.manifest().FlowIdleTimeout;
  return SeesAll ? Holding::Denies : Holding::Unsure;
}

void Gate::averageBusy(TimePoint Now) {
  const double Share =
      std::exp(-std::chrono::duration<double>(Now - AveragedAt_) /
               std::chrono::duration<double>(AverageOver));
  BusyAverage_ = Share * BusyAverage_ + (1 - Share) * BusyFlows_;
  AveragedAt_ = Now;
}

void Gate::setBusy(Flow &F, bool Busy, TimePoint Now) {
  if (F.Busy == Busy)
    return;
  averageBusy(Now);
  F.Busy = Busy;
  F.BusySince = Now;
  BusyFlows_ += Busy ? 1 : -1;
}

double Gate::busy(TimePoint Now) {
  averageBusy(Now);
  return std::max<double>(BusyAverage_, BusyFlows_);
}

void Gate::forgetFlows(TimePoint Now) {
  averageBusy(Now);
  Outcomes_.onFailed(BusyFlows_);
  Flows_.clear();
  Openings_.clear();
  Requests_.clear();
  BusyFlows_ = 0;
  // All flows of the restarted upstream pass through this gate.
  SeesAllSince_.reset();
}

void Gate::tick(TimePoint Now) {
  endOpenings(Now);
  countOverdue(Now);
  Outcomes_.age(Now);
  if (Now - SweptAt_ < SweepInterval)
    return;
  SweptAt_ = Now;
  for (auto It = Flows_.begin(); It != Flows_.end();) {
    if (Now - It->second.BusySince > BusyLength)
      setBusy(It->second, false, Now);
    if (Now - It->second.LastUsed < Config_.manifest().FlowIdleTimeout) {
      ++It;
      continue;
    }
    setBusy(It->second, false, Now);
    It = Flows_.erase(It);
  }
}

} // namespace dragonflystall::opaque
