// Admission of new flows and forwarding of packets at one upstream.
#include "opaque/gate.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace dragonflystall::opaque {

namespace {

using scheduling::Stage;

constexpr Duration AverageTime = 1s;
constexpr Duration SweepInterval = 1s;
/// A caller that has not sent its request within this time of its SYN, a few
/// round trips, has opened its flow at another upstream. Under high load,
/// copies of a SYN reach several agents; if each copy reserved a slot for long,
/// no slot would be left.
constexpr Duration OpeningTimeout = 30ms;
/// A request without an answer for this time was lost, or was answered before
/// this agent started.
constexpr Duration BusyTimeout = 2s;
/// Limit on requests in progress and queued, per slot: the queue is processed
/// within twice the length of a request.
constexpr double MaxRequestsPerSlot = 3;
/// The lower limit for a flow that was offered to at most EarlyOffers agents
/// and may find another upstream: one that has just become warm looks idle to
/// all balancers at once and would be overfilled.
constexpr double EarlyRequestsPerSlot = 1.4;
constexpr int EarlyOffers = 2;
/// Limit on the flows that are remembered as returned by the upstream.
constexpr size_t MaxReturned = 4096;

GateAction toUpstream(GateReason Reason) {
  return {GateAction::Kind::ToUpstream, Reason, {}, {}, false};
}

} // namespace

GateAction Gate::refuse(const PacketHead &Head, Endpoint Balancer,
                        GateReason Reason) {
  ForwardingState Forwarding = ForwardingState::decode(Head.Echo);
  Forwarding.Refused = true;
  return {GateAction::Kind::ToBalancer, Reason, Balancer, Forwarding, false};
}

GateAction Gate::admitFlow(const PacketHead &Head, Endpoint Balancer,
                           TimePoint Now) {
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (!Route)
    return refuse(Head, Balancer, GateReason::NoRoute);
  if (!Route->sendsTo(service()))
    return refuse(Head, Balancer, GateReason::WrongService);
  if (!Upstream_.admits(Now))
    return refuse(Head, Balancer,
                  Upstream_.intake(Now) == Intake::Cold
                      ? GateReason::OverBudget
                      : GateReason::NotTaking);
  expireOpenings(Now);
  const uint8_t Rank = Scheduler_.rankOf(Route);
  if (!hasRoomFor(ForwardingState::decode(Head.Echo), Rank))
    return refuse(Head, Balancer, GateReason::Full);
  Upstream_.onSynPassed(Now);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Returned_.erase(Hash);
  Flow &Entry = Flows_[Hash];
  Entry.Balancer = Balancer;
  Entry.LastUsed = Now;
  Entry.OpenedAt = Now;
  if (!Entry.Busy)
    Entry.Rank = Rank;
  setBusy(Entry, true, Now);
  Openings_.push_back({Hash, Now});
  return toUpstream(GateReason::Admitted);
}

bool Gate::canPass(const ForwardingState &Forwarding, TimePoint Now) const {
  // Before the first heartbeat, only packets whose balancer has this agent as
  // holder are passed on. Offers are refused, since an upstream that is still
  // starting would reset a flow that another upstream holds.
  if (!Upstream_.isKnown())
    return Forwarding.ForwardMode == ForwardingState::Mode::Held;
  return Upstream_.isReachable(Now);
}

bool Gate::mayHold(const FlowId &Flow, TimePoint Now) const {
  if (Flows_.count(hashOf(Flow)) > 0)
    return true;
  const Route *Route = Config_.manifest().routeAt(Flow.Route);
  if (!Route || Route->names(service()))
    return true;
  const auto Former = Config_.history().formerServices(Flow.Route, Now);
  const bool IsFormer =
      std::find(Former.begin(), Former.end(), service()) != Former.end();
  return IsFormer || !Config_.history().isComplete(Now);
}

bool Gate::recordNewData(Flow &Entry, const PacketHead &Head) {
  if (Head.PayloadBytes == 0)
    return false;
  const uint32_t End = Head.Sequence + Head.PayloadBytes;
  // A retransmission of an answered request does not begin a new request.
  const bool IsNew =
      !Entry.HasData || static_cast<int32_t>(End - Entry.NextSequence) > 0;
  Entry.HasData = true;
  if (IsNew)
    Entry.NextSequence = End;
  return IsNew;
}

uint32_t Gate::busyFor(uint8_t Rank) const {
  return std::accumulate(BusyOfRank_.begin(), BusyOfRank_.begin() + Rank + 1,
                         0U);
}

bool Gate::hasRoomFor(const ForwardingState &Forwarding, uint8_t Rank) const {
  // Another upstream may have a free slot, also for an urgent flow.
  if (!Forwarding.WasQueued && std::popcount(Forwarding.Tried) <= EarlyOffers)
    return BusyFlows_ < EarlyRequestsPerSlot * Upstream_.slots();
  const double PerSlot = Forwarding.WasQueued ? 1 : MaxRequestsPerSlot;
  return busyFor(Rank) < PerSlot * Upstream_.slots();
}

void Gate::expireOpenings(TimePoint Now) {
  for (; !Openings_.empty() && Now - Openings_.front().Time > OpeningTimeout;
       Openings_.pop_front()) {
    const auto It = Flows_.find(Openings_.front().Hash);
    if (It != Flows_.end() && !It->second.Confirmed && !It->second.HasData)
      setBusy(It->second, false, Now);
  }
}

void Gate::passRequest(Flow &Entry, uint64_t Hash, TimePoint Now) {
  setBusy(Entry, true, Now);
  if (Entry.PassedAt == TimePoint{})
    recordBegin(Entry, Now);
  Entry.Overdue = false;
  Requests_.push_back({Hash, Now});
}

void Gate::recordBegin(Flow &Entry, TimePoint Now) {
  Entry.PassedAt = Now;
  // The requests in progress include this one.
  Entry.FoundFreeSlot = BusyFlows_ - Scheduler_.waiting() <= Upstream_.slots();
  averageBusy(Now);
  RequestRate_ += std::chrono::duration<double>(1s) / AverageTime;
}

void Gate::beginRequest(Flow &Entry, uint64_t Hash, const PacketHead &Head,
                        TimePoint Asked, std::string_view Bytes,
                        TimePoint Now) {
  // More data of a request that was passed before belongs to that request.
  if (Entry.Stage == Stage::Running)
    return passRequest(Entry, Hash, Now);
  if (!Scheduler_.isActive())
    return passRequest(Entry, Hash, Now);
  const Route *Route = Config_.manifest().routeAt(Head.Destination);
  if (!Entry.Busy)
    Entry.Rank = Scheduler_.rankOf(Route);
  const auto Zone = [&] { return ZoneOf_ ? ZoneOf_(Entry.Balancer) : 0; };
  Entry.Stage = Scheduler_.begin(Hash, Route, Asked, Head, Bytes, Now, Zone);
  if (Entry.Stage == Stage::Waiting)
    setBusy(Entry, true, Now);
  else
    passRequest(Entry, Hash, Now);
}

GateAction Gate::joinWait(Flow &Entry, uint64_t Hash, const PacketHead &Head,
                          std::string_view Bytes, TimePoint Now) {
  if (Head.Reset) {
    Scheduler_.abandon(Hash, Now);
    setBusy(Entry, false, Now);
    return toUpstream(GateReason::Passed);
  }
  // An acknowledgement concerns answers to earlier requests only.
  if (Head.PayloadBytes == 0 && !Head.Fin)
    return toUpstream(GateReason::Passed);
  recordNewData(Entry, Head);
  if (!Scheduler_.holdMore(Hash, Head, Bytes, Now)) {
    Entry.Stage = Stage::None;
    passRequest(Entry, Hash, Now);
  }
  return {GateAction::Kind::Hold, GateReason::Held, {}, {}, false};
}

void Gate::freePlace(Flow &Entry) {
  if (Entry.Stage == Stage::Running)
    Scheduler_.finish();
  Entry.Stage = Stage::None;
}

void Gate::schedule(TimePoint Now) {
  // The manifest, the service and the slots change rarely.
  Scheduler_.update(Config_.manifest(), service(),
                    Upstream_.isKnown() ? Upstream_.slots() : 0);
  expireRequests(Now);
  if (!Scheduler_.isActive())
    passAllWaiting(Now);
  releaseRequests(Now);
}

void Gate::passAllWaiting(TimePoint Now) {
  for (const scheduling::EndedWait &Ended : Scheduler_.releaseAll(Now)) {
    Flow &Entry = Flows_[Ended.Request.Key];
    Entry.Stage = Stage::None;
    Entry.BusySince = Now;
    passRequest(Entry, Ended.Request.Key, Now);
  }
}

void Gate::releaseRequests(TimePoint Now) {
  // The address of a silent upstream may belong to another one by now.
  if (Scheduler_.waiting() == 0 || !Upstream_.isReachable(Now))
    return;
  for (const scheduling::EndedWait &Ended : Scheduler_.release(Now)) {
    Flow &Entry = Flows_[Ended.Request.Key];
    Entry.Stage = Stage::Running;
    // The upstream's response time does not include the wait.
    Entry.BusySince = Now;
    passRequest(Entry, Ended.Request.Key, Now);
  }
}

void Gate::expireRequests(TimePoint Now) {
  for (const scheduling::EndedWait &Ended : Scheduler_.expire(Now)) {
    Flow &Entry = Flows_[Ended.Request.Key];
    Entry.Stage = Stage::None;
    // The upstream has not received the data: a copy begins a new request.
    Entry.NextSequence = Ended.FirstSequence;
    setBusy(Entry, false, Now);
  }
}

std::optional<Duration> Gate::endRequest(Flow &Entry, const PacketHead &Head,
                                         TimePoint Now) {
  const bool IsAnswer = Head.PayloadBytes > 0;
  if (!IsAnswer && !Head.Fin && !Head.Reset)
    return std::nullopt;
  if (Entry.Stage == Stage::Waiting) {
    // The rest of the answer to an earlier request.
    if (IsAnswer)
      return std::nullopt;
    Scheduler_.releaseUnscheduled(hashOf(Head.toCaller()), Now);
    setBusy(Entry, false, Now);
    return std::nullopt;
  }
  const bool WasRequest = Entry.Busy && Entry.HasData;
  const Duration ResponseTime = Now - Entry.BusySince;
  const bool FoundFreeSlot =
      Entry.FoundFreeSlot && Entry.PassedAt != TimePoint{};
  const Duration Work = Now - Entry.PassedAt;
  setBusy(Entry, false, Now);
  if (!WasRequest)
    return std::nullopt;
  if (IsAnswer) {
    Outcomes_.onAnswered(ResponseTime);
    Scheduler_.onAnswered(ResponseTime);
    if (FoundFreeSlot)
      Outcomes_.onWork(Work);
    return ResponseTime;
  }
  if (!Entry.Overdue)
    Outcomes_.onFailed(1);
  return std::nullopt;
}

void Gate::countOverdueRequests(TimePoint Now) {
  const Duration Timeout = Outcomes_.requestTimeout();
  for (; !Requests_.empty() && Now - Requests_.front().Time > Timeout;
       Requests_.pop_front()) {
    const auto It = Flows_.find(Requests_.front().Hash);
    if (It == Flows_.end() || !It->second.Busy || It->second.Overdue ||
        It->second.Stage == Stage::Waiting ||
        Now - It->second.BusySince <= Timeout)
      continue;
    freePlace(It->second);
    It->second.Overdue = true;
    Outcomes_.onFailed(1);
  }
}

GateAction Gate::fromBalancer(const PacketHead &Head, Endpoint Balancer,
                              TimePoint Now, std::string_view Bytes) {
  const ForwardingState Forwarding = ForwardingState::decode(Head.Echo);
  if (Head.Bounced || (Head.Syn && Head.Ack) ||
      Forwarding.ForwardMode == ForwardingState::Mode::None)
    return {};
  if (Head.opens())
    return admitFlow(Head, Balancer, Now);
  if (Forwarding.Addressee != ForwardingState::addresseeOf(Self_))
    return refuse(Head, Balancer, GateReason::Misaddressed);
  if (!mayHold(Head.fromCaller(), Now))
    return refuse(Head, Balancer, GateReason::WrongService);
  if (!canPass(Forwarding, Now))
    return refuse(Head, Balancer, GateReason::NotTaking);
  const uint64_t Hash = hashOf(Head.fromCaller());
  Flow &Entry = Flows_[Hash];
  if (Forwarding.ForwardMode == ForwardingState::Mode::Search)
    Entry.Searched = true;
  Entry.Balancer = Balancer;
  Entry.LastUsed = Now;
  if (Entry.Stage == Stage::Waiting)
    return joinWait(Entry, Hash, Head, Bytes, Now);
  // The upstream may not answer a flow that its caller has reset.
  if (Head.Reset) {
    freePlace(Entry);
    releaseRequests(Now);
  }
  // The flow may be at another upstream, and its search must not wait here.
  if (Forwarding.ForwardMode == ForwardingState::Mode::Search &&
      !Entry.Confirmed)
    Bytes = {};
  const TimePoint Asked =
      Entry.HasData || Entry.OpenedAt == TimePoint{} ? Now : Entry.OpenedAt;
  if (recordNewData(Entry, Head))
    beginRequest(Entry, Hash, Head, Asked, Bytes, Now);
  if (Entry.Stage == Stage::Waiting)
    return {GateAction::Kind::Hold, GateReason::Held, {}, {}, false};
  return toUpstream(GateReason::Passed);
}

GateAction Gate::returnBounced(const PacketHead &Head, TimePoint Now) {
  Upstream_.onBounce();
  const uint64_t Hash = hashOf(Head.fromCaller());
  if (!Head.opens())
    markReturned(Hash, Now);
  const auto It = Flows_.find(Hash);
  if (It == Flows_.end())
    return {};
  const Endpoint Balancer = It->second.Balancer;
  const bool WasWaiting = It->second.Stage == Stage::Waiting;
  setBusy(It->second, false, Now);
  Flows_.erase(It);
  // The upstream returns what waits, too, so that the balancer gets it.
  if (WasWaiting) {
    Scheduler_.releaseUnscheduled(Hash, Now);
    restoreFlow(Hash, Balancer, Now);
  }
  releaseRequests(Now);
  return {GateAction::Kind::ToBalancer, GateReason::Bounced, Balancer,
          ForwardingState::decode(Head.Echo), false};
}

void Gate::markReturned(uint64_t Hash, TimePoint Now) {
  if (!isTableComplete(Now) && Returned_.size() < MaxReturned)
    Returned_.insert(Hash);
}

bool Gate::showsOlderStart(const PacketHead &Head, const Flow *Entry) {
  const bool IsOpenedHere = Entry && Entry->OpenedAt != TimePoint{};
  // An upstream that has just started may reset flows that it does not hold.
  if (IsOpenedHere || Head.Syn || Head.Reset)
    return false;
  return Upstream_.onAnswerOnOlderFlow();
}

GateAction Gate::fromUpstream(const PacketHead &Head, TimePoint Now) {
  if (Head.Bounced)
    return returnBounced(Head, Now);
  GateAction Action = {
      GateAction::Kind::ToCaller, GateReason::Answered, {}, {}, false};
  const auto It = Flows_.find(hashOf(Head.toCaller()));
  const bool IsKnown = It != Flows_.end();
  Action.ShowsOlderStart =
      showsOlderStart(Head, IsKnown ? &It->second : nullptr);
  if (Action.ShowsOlderStart)
    onUnseenStart(Now);
  if (!IsKnown)
    return Action;
  Upstream_.onAnswer(Now);
  Flow &Entry = It->second;
  Entry.LastUsed = Now;
  Action.ResponseTime = endRequest(Entry, Head, Now);
  if (!Head.Syn && !Head.Reset)
    Entry.Confirmed = true;
  if (Entry.Searched && !Head.Reset) {
    Entry.Searched = false;
    Action.Balancer = Entry.Balancer;
    Action.AnnounceHolder = true;
  }
  releaseRequests(Now);
  return Action;
}

std::optional<Holding> Gate::holding(const FlowId &Flow, TimePoint Now) const {
  if (Upstream_.isGone())
    return Holding::Denies; // Also if no upstream ever reported.
  const uint64_t Hash = hashOf(Flow);
  const auto It = Flows_.find(Hash);
  if (It == Flows_.end() && (isTableComplete(Now) ||
                             Returned_.count(Hash) > 0 || !mayHold(Flow, Now)))
    return Holding::Denies; // Whether or not the upstream still lives.
  if (!Upstream_.isReachable(Now))
    return std::nullopt;
  if (It != Flows_.end() && It->second.Confirmed)
    return Holding::Holds;
  // Offers would cost each upstream a packet for each flow that ended with it.
  if (Upstream_.awaitsProof())
    return std::nullopt;
  return Holding::Unsure;
}

bool Gate::isTableComplete(TimePoint Now) const {
  if (!Upstream_.isKnown())
    return false;
  // A flow that has been idle for longer than the timeout may be dropped.
  if (!CompleteSince_)
    return Upstream_.hasSeenStart();
  return Now - *CompleteSince_ > Config_.manifest().FlowIdleTimeout;
}

void Gate::averageBusy(TimePoint Now) {
  const double OldWeight =
      std::exp(-std::chrono::duration<double>(Now - AveragedAt_) /
               std::chrono::duration<double>(AverageTime));
  BusyAverage_ = OldWeight * BusyAverage_ + (1 - OldWeight) * BusyFlows_;
  RequestRate_ *= OldWeight;
  AveragedAt_ = Now;
}

void Gate::setBusy(Flow &Entry, bool Busy, TimePoint Now) {
  if (Entry.Busy == Busy)
    return;
  averageBusy(Now);
  if (!Busy) {
    freePlace(Entry);
    Entry.PassedAt = {};
  }
  Entry.Busy = Busy;
  Entry.BusySince = Now;
  BusyFlows_ += Busy ? 1 : -1;
  BusyOfRank_[Entry.Rank] += Busy ? 1 : -1;
}

double Gate::busy(TimePoint Now) {
  averageBusy(Now);
  return std::max<double>(BusyAverage_, BusyFlows_);
}

void Gate::restoreFlow(uint64_t Hash, Endpoint Balancer, TimePoint Now) {
  Flow &Entry = Flows_[Hash];
  Entry.Balancer = Balancer;
  Entry.LastUsed = Now;
  passRequest(Entry, Hash, Now);
}

void Gate::forgetFlows(TimePoint Now) {
  averageBusy(Now);
  Outcomes_.onFailed(BusyFlows_ - Scheduler_.waiting());
  std::vector<std::pair<uint64_t, Endpoint>> Waiting;
  for (const scheduling::EndedWait &Ended : Scheduler_.releaseAll(Now))
    Waiting.emplace_back(Ended.Request.Key, Flows_[Ended.Request.Key].Balancer);
  Scheduler_.forgetRunning();
  Outcomes_.forgetWorkTime();
  Flows_.clear();
  Openings_.clear();
  Requests_.clear();
  BusyFlows_ = 0;
  BusyOfRank_ = {};
  // The upstream returns what waits.
  for (const auto &[Hash, Balancer] : Waiting)
    restoreFlow(Hash, Balancer, Now);
  // All flows of the restarted upstream pass through this gate.
  CompleteSince_.reset();
  Returned_.clear();
}

void Gate::onUnseenStart(TimePoint Now) {
  if (!CompleteSince_)
    CompleteSince_ = Now;
}

void Gate::tick(TimePoint Now) {
  expireOpenings(Now);
  countOverdueRequests(Now);
  Outcomes_.age(Now);
  if (Now - SweptAt_ >= SweepInterval)
    sweep(Now);
  schedule(Now);
}

void Gate::sweep(TimePoint Now) {
  SweptAt_ = Now;
  if (isTableComplete(Now))
    Returned_.clear();
  for (auto It = Flows_.begin(); It != Flows_.end();) {
    // A request that waits has a timeout of its own.
    if (It->second.Stage == Stage::Waiting) {
      ++It;
      continue;
    }
    if (Now - It->second.BusySince > BusyTimeout)
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
