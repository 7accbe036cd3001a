// Flows of targets and consumers.
#include "ends.h"

#include "platform/packetformat.h"
#include "platform/standinformats.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using opaque::FlowId;
using opaque::PacketHead;

constexpr Duration HeartbeatTimeout = 1s;
constexpr Duration WorkTime = 10ms;
/// When a consumer sends the copies of a SYN, and when it gives up.
constexpr std::array<Duration, 3> SynWaits = {200ms, 400ms, 800ms};
constexpr Duration FirstResend = 200ms;
constexpr Duration LongestResend = 1600ms;
constexpr uint32_t ResetWindow = 76'800;
constexpr uint32_t Slots = 4;

std::unique_ptr<node::ReadWatch>
watch(node::Services &Shared, UdpSocket &Socket,
      std::function<void(std::string_view)> OnPacket) {
  return std::make_unique<node::ReadWatch>(
      Shared.Base.get(), Socket.descriptor(),
      [&Socket, OnPacket = std::move(OnPacket)] {
        Socket.receive(
            [&](Endpoint, std::string_view Bytes) { OnPacket(Bytes); });
        Socket.flush();
      });
}

} // namespace

Target::Target(node::Services &Shared, Recorder Record, Place Where)
    : Shared_(Shared), Record_(std::move(Record)), Where_(std::move(Where)),
      Socket_(UdpSocket::bindOrThrow(Where_.App)),
      Watch_(
          watch(Shared, *Socket_, [this](std::string_view B) { onPacket(B); })),
      Heartbeats_(Shared.Base.get(), Where_.Control),
      LateCalls_(Shared.Base.get(), Where_.Control) {}

void Target::start(const std::string &Id, Duration ColdFor) {
  const auto Wall = Shared_.Time.wallTime().time_since_epoch();
  Beat_ = {};
  Beat_.Id = Id;
  Beat_.Service = Where_.Service;
  Beat_.Address = Where_.App;
  Beat_.Slots = Slots;
  Beat_.Started =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count();
  Alive_ = true;
  DrainAcknowledged_ = false;
  ColdUntil_ = Shared_.now() + ColdFor;
  NextBeat_ = Shared_.now();
  Health_ =
      std::make_unique<HttpServer>(Shared_.Base.get(), [](const HttpRequest &) {
        return HttpResponse{HttpStatus::Ok, "{}", std::string(JsonContent)};
      });
  if (!Health_->listen(Where_.App))
    throw std::runtime_error(toString(Where_.App) + ": cannot listen");
  Record_(fmt::format("{} starts as {}", Where_.Name, Id));
}

void Target::drain() {
  Beat_.Draining = true;
  NextBeat_ = Shared_.now();
  Record_(fmt::format("{} says that it drains", Where_.Name));
}

void Target::end() {
  Alive_ = false;
  Health_.reset();
  Flows_.clear();
  Ended_.clear();
  Works_.clear();
  Heartbeats_.abandon();
}

void Target::crash() {
  end();
  Record_(fmt::format("{} crashes", Where_.Name));
}

void Target::releaseHeartbeat() {
  if (!Held_)
    return;
  LateCalls_.request(*Held_, HeartbeatTimeout, [](const auto &) {});
  Record_(fmt::format("a late heartbeat of {}'s former start arrives",
                      Where_.Name));
}

void Target::leave() {
  const opaque::Incarnation Start = Beat_.start();
  end();
  Heartbeats_.request(platform::leaveCall(Start), HeartbeatTimeout,
                      [](const auto &) {});
  Record_(fmt::format("{} leaves and exits", Where_.Name));
}

bool Target::holds(const FlowId &Flow) const {
  const auto It = Flows_.find(Flow);
  return It != Flows_.end() && It->second.Open;
}

void Target::sendHeartbeat(TimePoint Now) {
  NextBeat_ = Now + HeartbeatInterval;
  if (Heartbeats_.busy())
    return;
  ++Beat_.Sequence;
  Beat_.ColdFor = std::max(Duration::zero(), ColdUntil_ - Now);
  const HttpRequest Call = platform::heartbeatCall(Beat_, Where_.Zone);
  if (std::exchange(HoldNext_, false)) {
    Held_ = Call;
    Record_(fmt::format("a heartbeat of {} is held up", Where_.Name));
    return;
  }
  Heartbeats_.request(Call, HeartbeatTimeout,
                      [this, Draining = Beat_.Draining](const auto &Result) {
                        if (Draining && Result && Result->succeeded())
                          DrainAcknowledged_ = true;
                      });
}

void Target::tick(TimePoint Now) {
  if (!Alive_)
    return;
  if (Now >= NextBeat_)
    sendHeartbeat(Now);
  while (!Works_.empty() && Works_.begin()->first <= Now) {
    answer(Works_.begin()->second);
    Works_.erase(Works_.begin());
  }
  Socket_->flush();
}

PacketHead Target::headOf(const FlowId &Id, const Flow &State) const {
  PacketHead Head;
  Head.Source = Id.Route;
  Head.Destination = Id.Caller;
  Head.Ack = true;
  Head.Sequence = State.Own;
  Head.Acknowledged = State.Other;
  return Head;
}

void Target::onPacket(std::string_view Bytes) {
  const auto Head = platform::decodeHead(Bytes);
  if (!Alive_ || !Head)
    return;
  if (!platform::hasValidChecksum(Bytes) || (Head->Syn && Head->Ack))
    return Record_(fmt::format("UNASKED: {} gets a packet that nobody wrote so",
                               Where_.Name));
  if (Head->opens())
    return onSyn(*Head);
  const FlowId Id = Head->fromCaller();
  const auto It = Flows_.find(Id);
  if (It == Flows_.end() && Ended_.count(Id)) {
    Flow Over;
    Over.Own = Head->Acknowledged;
    Over.Other = Head->Sequence + Head->PayloadBytes + 1;
    PacketHead Reply = headOf(Id, Over);
    Reply.Reset = Head->PayloadBytes > 0;
    return send(platform::encodePacket(Reply, {}));
  }
  if (It == Flows_.end() ||
      (!It->second.Open && Head->Acknowledged != It->second.Own))
    return send(platform::markBounced(Bytes));
  Flow &State = It->second;
  State.Open = true;
  if (Head->Reset) {
    Flows_.erase(It);
    return;
  }
  if (Head->PayloadBytes > 0)
    onData(Id, State, *Head, platform::payloadOf(Bytes));
  if (!Head->Fin)
    return;
  PacketHead Reply = headOf(Id, State);
  Reply.Acknowledged = Head->Sequence + 1;
  Reply.Fin = true;
  send(platform::encodePacket(Reply, {}));
  Ended_.insert(Id);
  Flows_.erase(Id);
}

void Target::onSyn(const PacketHead &Head) {
  const FlowId Id = Head.fromCaller();
  const auto [It, IsNew] = Flows_.try_emplace(Id);
  Flow &State = It->second;
  if (State.Open)
    return;
  if (IsNew) {
    const TimePoint Now = Shared_.now();
    Openings_.push_back({Id, Now, Now < ColdUntil_});
    State.Own = static_cast<uint32_t>(Shared_.Rng());
    State.Other = Head.Sequence + 1;
  }
  PacketHead Reply = headOf(Id, State);
  Reply.Syn = true;
  if (IsNew)
    ++State.Own;
  else
    --Reply.Sequence;
  send(platform::encodePacket(Reply, {}));
}

void Target::onData(const FlowId &Id, Flow &State, const PacketHead &Head,
                    std::string_view Payload) {
  if (Head.Sequence != State.Other) {
    if (!State.Answer.empty())
      send(State.Answer);
    return;
  }
  State.Other += Head.PayloadBytes;
  State.Answer.clear();
  Works_.emplace(Shared_.now() + WorkTime, Work{Id, std::string(Payload)});
  Record_(fmt::format("{} runs {} on {}", Where_.Name, Payload, toString(Id)));
}

void Target::answer(const Work &Done) {
  const auto It = Flows_.find(Done.Flow);
  if (It == Flows_.end())
    return;
  Flow &State = It->second;
  PacketHead Head = headOf(Done.Flow, State);
  Head.Fin = Beat_.Draining;
  const std::string Payload = "answer to " + Done.Request;
  State.Answer = platform::encodePacket(Head, Payload);
  State.Own += Payload.size();
  send(State.Answer);
}

Consumers::Consumers(node::Services &Shared, Recorder Record, Endpoint Address,
                     uint16_t FirstPort)
    : Shared_(Shared), Record_(std::move(Record)), Address_(Address),
      NextPort_(FirstPort), Socket_(UdpSocket::bindOrThrow(Address)),
      Watch_(watch(Shared, *Socket_,
                   [this](std::string_view B) { onPacket(B); })) {}

uint64_t Consumers::open(Endpoint Route, Endpoint Balancer, bool Long) {
  const FlowId Flow = {{Address_.Ip, NextPort_++}, Route};
  Client &C = Clients_[Flow];
  C.Opener = C.Current = ++LastId_;
  C.Flow = Flow;
  C.Balancer = Balancer;
  C.Long = Long;
  C.Own = static_cast<uint32_t>(Shared_.Rng());
  const TimePoint Now = Shared_.now();
  Requests_[C.Current] = {C.Current, Flow, Now};
  Record_(fmt::format("request {} is sent on new flow {} through {}", C.Current,
                      toString(Flow), ipText(Balancer.Ip)));
  sendSyn(C);
  C.NextSend = Now + SynWaits[0];
  return C.Opener;
}

uint64_t Consumers::ask(uint64_t Opener, Endpoint Balancer) {
  const auto It = Clients_.find(flowOf(Opener));
  if (It == Clients_.end() || It->second.Now != State::Idle)
    return 0;
  Client &C = It->second;
  const TimePoint Now = Shared_.now();
  C.Balancer = Balancer;
  C.Current = ++LastId_;
  Requests_[C.Current] = {C.Current, C.Flow, Now};
  Record_(fmt::format("request {} is sent on open flow {} through {}",
                      C.Current, toString(C.Flow), ipText(Balancer.Ip)));
  sendRequest(C, Now);
  return C.Current;
}

const Request *Consumers::requestOn(const FlowId &Flow) const {
  const auto It = Clients_.find(Flow);
  return It == Clients_.end() ? nullptr : &Requests_.at(It->second.Opener);
}

void Consumers::sendSyn(Client &C) {
  PacketHead Head;
  Head.Source = C.Flow.Caller;
  Head.Destination = C.Flow.Route;
  Head.Syn = true;
  Head.Sequence = C.Own;
  Head.Acknowledged = C.Copies;
  send(C, platform::encodePacket(Head, {}));
}

void Consumers::sendRequest(Client &C, TimePoint Now) {
  PacketHead Head;
  Head.Source = C.Flow.Caller;
  Head.Destination = C.Flow.Route;
  Head.Ack = true;
  Head.Sequence = C.Own;
  Head.Acknowledged = C.Other;
  const std::string Payload = fmt::format("request {}", C.Current);
  C.Packet = platform::encodePacket(Head, Payload);
  C.Own += Payload.size();
  C.Now = State::Waiting;
  C.Deadline = Requests_[C.Current].Sent + TimeLimit;
  C.Interval = FirstResend;
  C.NextSend = Now + C.Interval;
  send(C, C.Packet);
}

void Consumers::end(Client &C, Request::End How) {
  static constexpr std::array<std::string_view, 5> Names = {
      "open", "answered", "refused", "reset", "not answered"};
  Requests_[C.Current].How = How;
  Record_(fmt::format("request {}: {}", C.Current,
                      Names[static_cast<size_t>(How)]));
}

void Consumers::close(Client &C) {
  PacketHead Head;
  Head.Source = C.Flow.Caller;
  Head.Destination = C.Flow.Route;
  Head.Ack = true;
  Head.Fin = true;
  Head.Sequence = C.Own;
  Head.Acknowledged = C.Other;
  send(C, platform::encodePacket(Head, {}));
  C.Now = State::Closed;
}

void Consumers::tick(TimePoint Now) {
  for (auto &[Flow, C] : Clients_) {
    if (Now < C.NextSend)
      continue;
    if (C.Now == State::Opening && ++C.Copies == SynWaits.size()) {
      end(C, Request::End::Silent);
      C.Now = State::Closed;
    } else if (C.Now == State::Opening) {
      sendSyn(C);
      C.NextSend = Now + SynWaits[C.Copies];
    } else if (C.Now == State::Waiting && Now >= C.Deadline) {
      end(C, Request::End::Silent);
      close(C);
    } else if (C.Now == State::Waiting) {
      send(C, C.Packet);
      C.Interval = std::min(2 * C.Interval, LongestResend);
      C.NextSend = std::min(Now + C.Interval, C.Deadline);
    }
  }
  Socket_->flush();
}

void Consumers::onPacket(std::string_view Bytes) {
  const auto Head = platform::decodeHead(Bytes);
  if (!Head)
    return Record_("MIXED: a consumer gets bytes that are no packet");
  const bool IsForeign = platform::isGeneratedReset(Bytes);
  if (!IsForeign && !platform::hasValidChecksum(Bytes))
    return Record_("MIXED: a consumer gets a packet that nobody wrote so");
  const auto It = Clients_.find(Head->toCaller());
  if (It == Clients_.end() || It->second.Now == State::Closed)
    return;
  Client &C = It->second;
  if (Head->Reset) {
    const auto Distance = static_cast<int32_t>(Head->Sequence - C.Other);
    if (C.Now == State::Opening) {
      end(C, Request::End::Refused);
    } else {
      if (IsForeign && static_cast<uint32_t>(std::abs(Distance)) > ResetWindow)
        return;
      if (IsForeign)
        ++ForeignResets_;
      Record_(fmt::format("open flow {} gets a reset of {}", toString(C.Flow),
                          IsForeign ? "the system" : "its target"));
      if (C.Now == State::Waiting)
        end(C, Request::End::Reset);
    }
    C.Now = State::Closed;
    return;
  }
  if (C.Now == State::Opening && Head->Syn && Head->Acknowledged == C.Own + 1) {
    ++C.Own;
    C.Other = Head->Sequence + 1;
    return sendRequest(C, Shared_.now());
  }
  if (C.Now != State::Waiting || Head->PayloadBytes == 0 ||
      Head->Sequence != C.Other)
    return;
  if (platform::payloadOf(Bytes) !=
      fmt::format("answer to request {}", C.Current))
    Record_(fmt::format("MIXED: request {} gets another answer", C.Current));
  C.Other += Head->PayloadBytes;
  end(C, Request::End::Answered);
  C.Now = State::Idle;
  C.NextSend = TimePoint::max();
  if (!C.Long || Head->Fin)
    close(C);
}

} // namespace review
