// The server's end of flows, after the pages' sections on flows and targets.
#include "server.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr Duration WorkTime = 15ms;
constexpr Duration AckTimeout = 1s;
constexpr Duration FirstRetransmission = 200ms;
constexpr Duration LongestRetransmission = 1600ms;
constexpr int MaxRetransmissions = 8;
constexpr int Slots = 4;

} // namespace

Server::Server(Loop &Events, Addresses Given, Duration HeartbeatInterval,
               Callbacks Notify)
    : Events_(Events), Given_(Given), HeartbeatInterval_(HeartbeatInterval),
      Notify_(std::move(Notify)) {}

Server::~Server() = default;

void Server::start(const Identity &Self) {
  Self_ = Self;
  Draining_ = false;
  ColdUntil_ = now() + Self.ColdFor;
  DrainAcked_.reset();
  Sequence_ = 0;
  AckedBeats_ = 0;
  ++Boot_;
  Socket_ = std::make_unique<Udp>(
      Events_, Given_.App,
      [this](Address, std::string_view Bytes) { onPacket(Bytes); });
  Health_ = std::make_unique<HttpServer>(
      Events_, Given_.App,
      [this](const HttpMessage &, const HttpServer::Reply &Answer) {
        Answer(Draining_ ? 503 : 200, "{}");
      });
  beat();
  Events_.every(HeartbeatInterval_, [this, Boot = Boot_] {
    if (Boot != Boot_ || !running())
      return false;
    beat();
    return true;
  });
}

void Server::crash() {
  Socket_.reset();
  Health_.reset();
  Flows_.clear();
  Ended_.clear();
  ++Boot_;
}

void Server::drain() {
  Draining_ = true;
  beat();
}

void Server::leave() {
  crash();
  const nlohmann::json Body = {{"born", Self_.Born}};
  httpCall(Events_, Given_.Heartbeat, "POST", "/Instances.Leave/" + Self_.Id,
           Body.dump(), AckTimeout, [](const HttpMessage &) {});
}

void Server::beat() {
  const auto ColdLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration::zero(), ColdUntil_ - now()));
  const nlohmann::json Body = {{"service", Self_.Service},
                               {"address", toString(Given_.App)},
                               {"zone", Self_.Zone},
                               {"version", "v1"},
                               {"slots", Slots},
                               {"state", Draining_ ? "draining" : "ready"},
                               {"warmupLeftMs", ColdLeft.count()},
                               {"seq", ++Sequence_},
                               {"born", Self_.Born}};
  httpCall(Events_, Given_.Heartbeat, "POST",
           "/Instances.Heartbeat/" + Self_.Id, Body.dump(), AckTimeout,
           [this, Boot = Boot_, Draining = Draining_](const HttpMessage &A) {
             if (Boot != Boot_ || A.Status / 100 != 2)
               return;
             ++AckedBeats_;
             if (!Draining || DrainAcked_)
               return;
             DrainAcked_ = now();
             Notify_.OnNote(*this, "its draining is acknowledged");
           });
}

Packet Server::headTo(const Flow &F, const State &S) const {
  Packet P;
  P.Source = F.Route;
  P.Destination = F.Client;
  P.Flags = Packet::Ack;
  P.Sequence = S.Next;
  P.Acknowledged = S.Expected;
  return P;
}

void Server::send(const Packet &P) const {
  Socket_->send(Given_.Outbound, encode(P));
}

void Server::bounce(Packet P) {
  P.Flags |= Packet::Bounced;
  send(P);
}

void Server::onPacket(std::string_view Bytes) {
  const auto P = decode(Bytes);
  if (!P || !isIntact(*P))
    return Notify_.OnNote(*this, "UNASKED: gets a packet that was changed");
  if (P->has(Packet::Bounced) || (P->has(Packet::Syn) && P->has(Packet::Ack)))
    return Notify_.OnNote(*this, "UNASKED: gets a packet that no client sends");
  if (P->opens())
    return onSyn(*P);
  const Flow F{P->Source, P->Destination};
  const auto It = Flows_.find(F);
  if (It == Flows_.end())
    return onUnknown(*P);
  State &S = It->second;
  if (!S.Open && P->Acknowledged != S.Next)
    return bounce(*P);
  if (!S.Open) {
    S.Open = true;
    Notify_.OnOpen(*this, F);
  }
  if (P->has(Packet::Reset)) {
    Flows_.erase(It);
    return Notify_.OnClosed(*this, F);
  }
  if (!S.Unacked.empty() && P->Acknowledged == S.UnackedEnd)
    S.Unacked.clear();
  if (!P->Payload.empty())
    onData(F, *P);
  if (P->has(Packet::Fin) && Flows_.count(F))
    onFin(F, *P);
}

void Server::onSyn(const Packet &P) {
  const Flow F{P.Source, P.Destination};
  const auto [It, IsNew] = Flows_.try_emplace(F);
  State &S = It->second;
  if (S.Open)
    return;
  if (IsNew) {
    S.Next = Rng_();
    S.Expected = P.Sequence + 1;
    Notify_.OnOpening(*this, F);
  }
  Packet Reply = headTo(F, S);
  Reply.Flags |= Packet::Syn;
  if (IsNew)
    ++S.Next;
  else
    --Reply.Sequence;
  send(Reply);
}

void Server::onUnknown(const Packet &P) {
  const Flow F{P.Source, P.Destination};
  if (!Ended_.count(F))
    return bounce(P);
  State S;
  S.Next = P.Acknowledged;
  S.Expected = P.Sequence + P.Payload.size() + P.has(Packet::Fin);
  Packet Reply = headTo(F, S);
  if (!P.Payload.empty())
    Reply.Flags |= Packet::Reset;
  if (!P.Payload.empty() || P.has(Packet::Fin))
    send(Reply);
}

void Server::onData(const Flow &F, const Packet &P) {
  State &S = Flows_[F];
  if (P.Sequence != S.Expected) {
    // A copy of data that has arrived before.
    if (!S.Unacked.empty())
      Socket_->send(Given_.Outbound, S.Unacked);
    else
      send(headTo(F, S));
    return;
  }
  S.Expected += P.Payload.size();
  send(headTo(F, S));
  Notify_.OnRun(*this, F, P.Payload);
  Events_.after(WorkTime, [this, F, Boot = Boot_, Payload = P.Payload] {
    if (Boot == Boot_ && Flows_.count(F))
      answer(F, "answer to " + Payload + " from " + Self_.Id);
  });
}

void Server::answer(const Flow &F, const std::string &Payload) {
  State &S = Flows_[F];
  Packet P = headTo(F, S);
  P.Payload = Payload;
  S.Next += Payload.size();
  if (Draining_) {
    P.Flags |= Packet::Fin;
    ++S.Next;
    S.ClosedByUs = true;
  }
  S.Unacked = encode(P);
  S.UnackedEnd = S.Next;
  S.Retransmissions = 0;
  Socket_->send(Given_.Outbound, S.Unacked);
  retransmit(F, S.UnackedEnd, FirstRetransmission);
}

void Server::retransmit(const Flow &F, uint32_t End, Duration Delay) {
  Events_.after(Delay, [this, F, End, Delay, Boot = Boot_] {
    const auto It = Flows_.find(F);
    if (Boot != Boot_ || It == Flows_.end())
      return;
    State &S = It->second;
    if (S.Unacked.empty() || S.UnackedEnd != End)
      return;
    if (++S.Retransmissions > MaxRetransmissions) {
      Flows_.erase(It);
      return Notify_.OnClosed(*this, F);
    }
    Socket_->send(Given_.Outbound, S.Unacked);
    retransmit(F, End, std::min(2 * Delay, LongestRetransmission));
  });
}

void Server::onFin(const Flow &F, const Packet &P) {
  State S = Flows_[F];
  S.Expected = P.Sequence + P.Payload.size() + 1;
  Packet Reply = headTo(F, S);
  if (!S.ClosedByUs)
    Reply.Flags |= Packet::Fin;
  send(Reply);
  Flows_.erase(F);
  Ended_.insert(F);
  Notify_.OnClosed(*this, F);
}

} // namespace review
