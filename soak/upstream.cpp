// Implements the upstream's side of the flows and its heartbeats.
#include "soak/upstream.h"

#include "platform/packetformat.h"
#include "platform/standinformats.h"

namespace dragonflystall::soak {

namespace {

constexpr Duration HeartbeatTimeout = 1s;
/// Number of requests that the upstream queues. An agent admits new flows while
/// fewer than three requests are in progress for each slot: where requests are
/// not scheduled, those on open flows keep the queue too full for new flows.
constexpr size_t MaxQueued = 8;
/// An upstream leaves after this time even if its drain is not acknowledged.
constexpr Duration UnacknowledgedDrainTimeout = 8s;

} // namespace

Upstream::Upstream(node::Services &Shared, RuleChecker &Checker,
                   CheckedHost &Host, Addresses Given)
    : Shared_(Shared), Checker_(Checker), Host_(Host), Addresses_(Given),
      HeartbeatChannel_(Shared.Base.get(), Given.Heartbeats) {
  Socket_ = UdpSocket::bindOrThrow(Given.Packets);
  Watch_ = std::make_unique<node::ReadWatch>(
      Shared.Base.get(), Socket_->descriptor(), [this] {
        Socket_->receive(
            [this](Endpoint, std::string_view Bytes) { onPacket(Bytes); });
        Socket_->flush();
      });
}

void Upstream::start(const std::string &Id, Duration ColdFor) {
  const TimePoint Now = Shared_.now();
  const int64_t Started = Heartbeat_.Started;
  Heartbeat_ = {};
  Heartbeat_.Id = Id;
  Heartbeat_.Service = Host_.Service;
  Heartbeat_.Address = Addresses_.Packets;
  Heartbeat_.Slots = DefaultSlots;
  const auto WallTime = Shared_.Time.wallTime().time_since_epoch();
  Heartbeat_.Started = std::max<int64_t>(
      Started + 1,
      std::chrono::duration_cast<std::chrono::milliseconds>(WallTime).count());
  becomeCold(ColdFor);
  Host_.DrainAcknowledged = {};
  Host_.RecentSyns.clear();
  Alive_ = true;
  NextHeartbeat_ = Now;
  listenForHealthChecks();
}

void Upstream::becomeCold(Duration Length) {
  ColdUntil_ = Shared_.now() + Length;
  Host_.ColdUntil = ColdUntil_;
}

void Upstream::listenForHealthChecks() {
  HealthServer_ =
      std::make_unique<HttpServer>(Shared_.Base.get(), [](const HttpRequest &) {
        return emptyJsonResponse(HttpStatus::Ok);
      });
  if (!HealthServer_->listen(Addresses_.Packets))
    throw std::runtime_error(toString(Addresses_.Packets) +
                             ": cannot listen for health checks");
}

void Upstream::crash() {
  Alive_ = false;
  HealthServer_.reset();
  Checker_.onCrash(Host_);
  Flows_.clear();
  ClosedFlows_.clear();
  PendingAnswers_.clear();
  Queue_.clear();
  HeartbeatChannel_.abandon();
}

void Upstream::drain() {
  Heartbeat_.Draining = true;
  DrainStarted_ = Shared_.now();
  NextHeartbeat_ = DrainStarted_;
}

bool Upstream::drained(TimePoint Now) const {
  const TimePoint AcknowledgedAt = Host_.DrainAcknowledged;
  if (AcknowledgedAt != TimePoint{})
    return Now - AcknowledgedAt > DrainTime + 500ms;
  return Now - DrainStarted_ > UnacknowledgedDrainTimeout;
}

void Upstream::leave() {
  const opaque::Incarnation Start = Heartbeat_.start();
  crash();
  HeartbeatChannel_.request(platform::leaveCall(Start), HeartbeatTimeout,
                            [](const auto &) {});
}

void Upstream::sendHeartbeat(TimePoint Now) {
  NextHeartbeat_ = Now + HeartbeatInterval;
  if (HeartbeatChannel_.busy())
    return;
  ++Heartbeat_.Sequence;
  Heartbeat_.ColdFor = std::max(Duration::zero(), ColdUntil_ - Now);
  HeartbeatChannel_.request(
      platform::heartbeatCall(Heartbeat_, Host_.Zone), HeartbeatTimeout,
      [this, Draining = Heartbeat_.Draining](
          const tl::expected<HttpResponse, HttpFailure> &Result) {
        if (Draining && Result && Result->succeeded() &&
            Host_.DrainAcknowledged == TimePoint{})
          Host_.DrainAcknowledged = Shared_.now();
      });
}

void Upstream::tick(TimePoint Now) {
  if (!Alive_)
    return;
  if (Now >= NextHeartbeat_)
    sendHeartbeat(Now);
  while (!PendingAnswers_.empty() && PendingAnswers_.begin()->first <= Now) {
    answer(PendingAnswers_.begin()->second);
    PendingAnswers_.erase(PendingAnswers_.begin());
  }
  beginWork(Now);
  Socket_->flush();
}

opaque::PacketHead Upstream::headTo(const opaque::FlowId &Id,
                                    const Flow &State) const {
  opaque::PacketHead Head;
  Head.Source = Id.Route;
  Head.Destination = Id.Caller;
  Head.Ack = true;
  Head.Sequence = State.NextSequence;
  Head.Acknowledged = State.ExpectedSequence;
  return Head;
}

void Upstream::send(std::string_view Bytes) {
  Socket_->send(Addresses_.Outbound, Bytes);
}

void Upstream::onPacket(std::string_view Bytes) {
  if (!Alive_)
    return;
  const TimePoint Now = Shared_.now();
  const auto Head = platform::decodeHead(Bytes);
  if (!Head || !platform::hasValidChecksum(Bytes) || Head->Bounced ||
      (Head->Syn && Head->Ack))
    return Checker_.onModifiedPacket(Host_.Name, Now);
  if (Head->opens())
    return onSyn(*Head, Now);
  const opaque::FlowId Id = Head->fromCaller();
  Checker_.onPacket(Host_, Id, Now);
  const auto It = Flows_.find(Id);
  if (It == Flows_.end())
    return onUnknownFlow(*Head, Bytes);
  Flow &State = It->second;
  if (!State.Established && Head->Acknowledged != State.NextSequence)
    return send(platform::markBounced(Bytes));
  if (!State.Established) {
    State.Established = true;
    Checker_.onEstablished(Host_, Id);
  }
  if (Head->PayloadBytes > 0)
    onRequest(Id, State, *Head, platform::payloadOf(Bytes), Now);
  if (Head->Fin)
    onFin(Id, State, *Head);
}

void Upstream::onSyn(const opaque::PacketHead &Head, TimePoint Now) {
  const opaque::FlowId Id = Head.fromCaller();
  const auto [It, Inserted] = Flows_.try_emplace(Id);
  Flow &State = It->second;
  if (Inserted) {
    Checker_.onSyn(Host_, Id, Now);
    State.NextSequence = static_cast<uint32_t>(Shared_.Rng());
    State.ExpectedSequence = Head.Sequence + 1;
  }
  if (State.Established)
    return;
  opaque::PacketHead Reply = headTo(Id, State);
  Reply.Syn = true;
  if (Inserted)
    ++State.NextSequence;
  else
    --Reply.Sequence;
  send(platform::encodePacket(Reply, {}));
}

void Upstream::onUnknownFlow(const opaque::PacketHead &Head,
                             std::string_view Bytes) {
  const opaque::FlowId Id = Head.fromCaller();
  if (!ClosedFlows_.count(Id))
    return send(platform::markBounced(Bytes));
  Flow ClosedFlow;
  ClosedFlow.NextSequence = Head.Acknowledged;
  ClosedFlow.ExpectedSequence = Head.Sequence + Head.PayloadBytes + 1;
  opaque::PacketHead Reply = headTo(Id, ClosedFlow);
  Reply.Reset = Head.PayloadBytes > 0;
  send(platform::encodePacket(Reply, {}));
}

void Upstream::onRequest(const opaque::FlowId &Id, Flow &State,
                         const opaque::PacketHead &Head,
                         std::string_view Payload, TimePoint Now) {
  if (Head.Sequence != State.ExpectedSequence) {
    if (!State.AnswerPending && !State.Answer.empty())
      send(State.Answer);
    return;
  }
  State.ExpectedSequence += Head.PayloadBytes;
  State.AnswerPending = true;
  if (Queue_.size() >= MaxQueued)
    return answer({Id, "busy " + std::string(Payload)});
  Queue_.push_back({Id, "answer " + std::string(Payload)});
  beginWork(Now);
}

void Upstream::beginWork(TimePoint Now) {
  while (!Queue_.empty() && PendingAnswers_.size() < Heartbeat_.Slots) {
    const Duration WorkTime = std::chrono::milliseconds(5 + Shared_.Rng() % 30);
    PendingAnswers_.emplace(Now +
                                (Now < SlowUntil_ ? SlowFactor : 1) * WorkTime,
                            std::move(Queue_.front()));
    Queue_.pop_front();
  }
}

void Upstream::answer(const PendingAnswer &Due) {
  const auto It = Flows_.find(Due.Flow);
  if (It == Flows_.end())
    return;
  Flow &State = It->second;
  opaque::PacketHead Head = headTo(Due.Flow, State);
  // A draining upstream closes each flow with its next answer.
  Head.Fin = Heartbeat_.Draining;
  State.Answer = platform::encodePacket(Head, Due.Payload);
  State.NextSequence += Due.Payload.size();
  State.AnswerPending = false;
  send(State.Answer);
}

void Upstream::onFin(const opaque::FlowId &Id, const Flow &State,
                     const opaque::PacketHead &Head) {
  Flow Closing = State;
  Closing.ExpectedSequence = Head.Sequence + 1;
  opaque::PacketHead Reply = headTo(Id, Closing);
  Reply.Fin = true;
  send(platform::encodePacket(Reply, {}));
  Checker_.onClosed(Id);
  ClosedFlows_.insert(Id);
  Flows_.erase(Id);
}

} // namespace dragonflystall::soak
