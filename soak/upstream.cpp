// An upstream's end of the flows.
#include "soak/upstream.h"

#include "platform/otherside.h"
#include "platform/packetformat.h"

namespace dragonflystall::soak {

namespace {

constexpr Duration HeartbeatTimeout = 1s;
constexpr uint32_t Slots = 4;
/// An upstream that nobody heard leave ends all the same.
constexpr Duration UnheardDrain = 8s;

} // namespace

Upstream::Upstream(node::Services &Shared, RuleChecker &Checker,
                   CheckedHost &Host, Addresses Where)
    : Shared_(Shared), Checker_(Checker), Host_(Host), Where_(Where),
      Heartbeats_(Shared.Base.get(), Where.Heartbeats) {
  Socket_ = UdpSocket::bindOrThrow(Where.Packets);
  Watch_ = std::make_unique<node::ReadWatch>(
      Shared.Base.get(), Socket_->descriptor(), [this] {
        Socket_->receive(
            [this](Endpoint, std::string_view Bytes) { onPacket(Bytes); });
        Socket_->flush();
      });
}

void Upstream::start(const std::string &Id, Duration ColdFor) {
  const TimePoint Now = Shared_.now();
  const int64_t Started = Beat_.Started;
  Beat_ = {};
  Beat_.Id = Id;
  Beat_.Service = Host_.Service;
  Beat_.Address = Where_.Packets;
  Beat_.Slots = Slots;
  const auto Wall = Shared_.Time.wallTime().time_since_epoch();
  Beat_.Started = std::max<int64_t>(
      Started + 1,
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
  ColdUntil_ = Now + ColdFor;
  Host_.ColdUntil = ColdUntil_;
  Host_.DrainAcknowledged = {};
  Host_.RecentSyns.clear();
  Alive_ = true;
  NextBeat_ = Now;
}

void Upstream::crash() {
  Alive_ = false;
  Checker_.onCrash(Host_);
  Flows_.clear();
  Ended_.clear();
  Due_.clear();
  Heartbeats_.abandon();
}

void Upstream::drain() {
  Beat_.Draining = true;
  DrainAsked_ = Shared_.now();
  NextBeat_ = DrainAsked_;
}

bool Upstream::drained(TimePoint Now) const {
  const TimePoint Heard = Host_.DrainAcknowledged;
  if (Heard != TimePoint{})
    return Now - Heard > DrainTime + 500ms;
  return Now - DrainAsked_ > UnheardDrain;
}

void Upstream::leave() {
  const std::string Id = Beat_.Id;
  crash();
  Heartbeats_.request(platform::leaveCall(Id), HeartbeatTimeout,
                      [](const auto &) {});
}

void Upstream::beat(TimePoint Now) {
  NextBeat_ = Now + HeartbeatInterval;
  if (Heartbeats_.busy())
    return;
  ++Beat_.Sequence;
  Beat_.ColdFor = std::max(Duration::zero(), ColdUntil_ - Now);
  Heartbeats_.request(
      platform::heartbeatCall(Beat_, Host_.Zone), HeartbeatTimeout,
      [this, Draining = Beat_.Draining](
          const tl::expected<HttpResponse, HttpFailure> &Result) {
        if (Draining && Result && Result->succeeded() &&
            Host_.DrainAcknowledged == TimePoint{})
          Host_.DrainAcknowledged = Shared_.now();
      });
}

void Upstream::tick(TimePoint Now) {
  if (!Alive_)
    return;
  if (Now >= NextBeat_)
    beat(Now);
  while (!Due_.empty() && Due_.begin()->first <= Now) {
    answer(Due_.begin()->second);
    Due_.erase(Due_.begin());
  }
  Socket_->flush();
}

opaque::PacketHead Upstream::headTo(const opaque::FlowId &Id,
                                    const Flow &F) const {
  opaque::PacketHead Head;
  Head.Source = Id.Route;
  Head.Destination = Id.Caller;
  Head.Ack = true;
  Head.Sequence = F.Ours;
  Head.Acknowledged = F.Expected;
  return Head;
}

void Upstream::send(std::string_view Bytes) {
  Socket_->send(Where_.Outbound, Bytes);
}

void Upstream::onPacket(std::string_view Bytes) {
  if (!Alive_)
    return;
  const TimePoint Now = Shared_.now();
  const auto Head = platform::decodeHead(Bytes);
  if (!Head || !platform::intact(Bytes) || Head->Bounced ||
      (Head->Syn && Head->Ack))
    return Checker_.onModifiedPacket(Host_.Name, Now);
  if (Head->opens())
    return onSyn(*Head, Now);
  const opaque::FlowId Id = Head->fromCaller();
  Checker_.onPacket(Host_, Id, Now);
  const auto It = Flows_.find(Id);
  if (It == Flows_.end())
    return onUnknown(*Head, Bytes);
  Flow &F = It->second;
  if (!F.Open && Head->Acknowledged != F.Ours)
    return send(platform::returnPacket(Bytes));
  if (!F.Open) {
    F.Open = true;
    Checker_.onEstablished(Host_, Id);
  }
  if (Head->PayloadBytes > 0)
    onRequest(Id, F, *Head, platform::payloadOf(Bytes), Now);
  if (Head->Fin)
    onFin(Id, F, *Head);
}

void Upstream::onSyn(const opaque::PacketHead &Head, TimePoint Now) {
  const opaque::FlowId Id = Head.fromCaller();
  const auto [It, New] = Flows_.try_emplace(Id);
  Flow &F = It->second;
  if (New) {
    Checker_.onSyn(Host_, Id, Now);
    F.Ours = static_cast<uint32_t>(Shared_.Rng());
    F.Expected = Head.Sequence + 1;
  }
  if (F.Open)
    return;
  opaque::PacketHead Reply = headTo(Id, F);
  Reply.Syn = true;
  if (New)
    ++F.Ours;
  else
    --Reply.Sequence;
  send(platform::encodePacket(Reply, {}));
}

void Upstream::onUnknown(const opaque::PacketHead &Head,
                         std::string_view Bytes) {
  const opaque::FlowId Id = Head.fromCaller();
  if (!Ended_.count(Id))
    return send(platform::returnPacket(Bytes));
  Flow Gone;
  Gone.Ours = Head.Acknowledged;
  Gone.Expected = Head.Sequence + Head.PayloadBytes + 1;
  opaque::PacketHead Reply = headTo(Id, Gone);
  Reply.Reset = Head.PayloadBytes > 0;
  send(platform::encodePacket(Reply, {}));
}

void Upstream::onRequest(const opaque::FlowId &Id, Flow &F,
                         const opaque::PacketHead &Head,
                         std::string_view Payload, TimePoint Now) {
  if (Head.Sequence != F.Expected) {
    if (!F.Answering && !F.Answer.empty())
      send(F.Answer);
    return;
  }
  F.Expected += Head.PayloadBytes;
  F.Answering = true;
  const Duration Work = std::chrono::milliseconds(5 + Shared_.Rng() % 30);
  Due_.emplace(Now + Work, DueAnswer{Id, "answer " + std::string(Payload)});
}

void Upstream::answer(const DueAnswer &Due) {
  const auto It = Flows_.find(Due.Flow);
  if (It == Flows_.end())
    return;
  Flow &F = It->second;
  opaque::PacketHead Head = headTo(Due.Flow, F);
  // One that leaves closes each flow behind its next answer.
  Head.Fin = Beat_.Draining;
  F.Answer = platform::encodePacket(Head, Due.Payload);
  F.Ours += Due.Payload.size();
  F.Answering = false;
  send(F.Answer);
}

void Upstream::onFin(const opaque::FlowId &Id, const Flow &F,
                     const opaque::PacketHead &Head) {
  Flow Closing = F;
  Closing.Expected = Head.Sequence + 1;
  opaque::PacketHead Reply = headTo(Id, Closing);
  Reply.Fin = true;
  send(platform::encodePacket(Reply, {}));
  Checker_.onClosed(Id);
  Ended_.insert(Id);
  Flows_.erase(Id);
}

} // namespace dragonflystall::soak
