// The client's end of flows, after the pages' section on flows.
#include "clients.h"

namespace review {

namespace {

constexpr Duration ProbeInterval = 500ms;
constexpr int MissesUntilOut = 2;
constexpr Duration FirstCopy = 200ms;
constexpr Duration SecondCopy = 600ms;
constexpr Duration OpenTimeout = 1400ms;
constexpr Duration FirstRetransmission = 200ms;
constexpr Duration LongestRetransmission = 1600ms;
/// A reset's sequence number may differ from the last acknowledgement by this.
constexpr uint32_t ResetWindow = 76800;

} // namespace

void Routers::add(Address Packets, Address Ready) {
  Nodes_.push_back({Packets, Ready});
  Events_.every(ProbeInterval,
                [this, Index = Nodes_.size() - 1] { return probe(Index); });
}

Duration Routers::untilProbe(Address Packets) const {
  for (const Node &N : Nodes_)
    if (N.Packets == Packets)
      return N.ProbedAt + ProbeInterval - now();
  return Duration::zero();
}

bool Routers::probe(size_t Index) {
  Nodes_[Index].ProbedAt = now();
  httpCall(Events_, Nodes_[Index].Ready, "GET", "/ready", "", ProbeInterval,
           [this, Index](const HttpMessage &Answer) {
             Node &N = Nodes_[Index];
             const bool Was = N.Misses < MissesUntilOut;
             N.Misses = Answer.Status == 200 ? 0 : N.Misses + 1;
             const bool Is = N.Misses < MissesUntilOut;
             if (Was != Is && OnChange)
               OnChange(N.Packets, Is);
           });
  return true;
}

bool Routers::allReady() const {
  for (const Node &N : Nodes_)
    if (N.Misses >= MissesUntilOut)
      return false;
  return true;
}

std::optional<Address> Routers::balancerOf(const Flow &F) const {
  std::optional<Address> Best;
  uint64_t BestScore = 0;
  for (const Node &N : Nodes_) {
    const uint64_t Score = hashOf({N.Packets, {F.Client.Ip, F.Client.Port}}) ^
                           (hashOf(F) * 0x9e3779b97f4a7c15u);
    const uint64_t Mixed = (Score ^ Score >> 29) * 0xbf58476d1ce4e5b9u;
    if (N.Misses < MissesUntilOut && (!Best || Mixed > BestScore)) {
      Best = N.Packets;
      BestScore = Mixed;
    }
  }
  return Best;
}

Clients::Clients(Loop &Events, Routers &Fabric, Address Local,
                 Duration TimeLimit)
    : Events_(Events), Fabric_(Fabric), Local_(Local), TimeLimit_(TimeLimit),
      Socket_(Events, Local,
              [this](Address, std::string_view Bytes) { onPacket(Bytes); }) {}

Clients::AttemptPtr Clients::open(Address Route, Listener OnChange) {
  const Flow F{{Local_.Ip, ++LastPort_}, Route};
  Channel &C = Channels_[F];
  C.Shown = std::make_shared<Attempt>();
  C.Shown->Flow = F;
  C.Shown->SentAt = now();
  C.OnChange = std::move(OnChange);
  C.Next = Rng_();
  sendSyn(F, 0);
  Events_.after(FirstCopy, [this, F] { sendSyn(F, 1); });
  Events_.after(SecondCopy, [this, F] { sendSyn(F, 2); });
  Events_.after(OpenTimeout, [this, F] {
    const auto It = Channels_.find(F);
    if (It != Channels_.end() && It->second.Shown->State == Phase::Opening)
      finish(F, End::NoReply);
  });
  return C.Shown;
}

void Clients::sendSyn(const Flow &F, uint32_t Copy) {
  const auto It = Channels_.find(F);
  if (It == Channels_.end() || It->second.Shown->State != Phase::Opening)
    return;
  Packet P = headFor(It->second);
  P.Flags = Packet::Syn;
  P.Acknowledged = Copy;
  send(F, encode(P));
}

Packet Clients::headFor(const Channel &C) {
  Packet P;
  P.Source = C.Shown->Flow.Client;
  P.Destination = C.Shown->Flow.Route;
  P.Flags = Packet::Ack;
  P.Sequence = C.Next;
  P.Acknowledged = C.Expected;
  return P;
}

void Clients::send(const Flow &F, const std::string &Bytes) {
  if (const auto Balancer = Fabric_.balancerOf(F))
    Socket_.send(*Balancer, Bytes);
}

void Clients::request(const AttemptPtr &A, const std::string &Id) {
  const auto It = Channels_.find(A->Flow);
  if (It == Channels_.end() || A->State != Phase::Open)
    return;
  Channel &C = It->second;
  A->State = Phase::Waiting;
  A->Request = Id;
  A->LastUsed = now();
  Packet P = headFor(C);
  P.Payload = Id;
  C.Next += Id.size();
  C.Unacked = encode(P);
  C.UnackedEnd = C.Next;
  send(A->Flow, C.Unacked);
  retransmit(A->Flow, C.UnackedEnd, FirstRetransmission);
  Events_.after(TimeLimit_, [this, F = A->Flow, Number = ++C.Requests] {
    const auto Found = Channels_.find(F);
    if (Found != Channels_.end() && Found->second.Requests == Number &&
        Found->second.Shown->State == Phase::Waiting)
      finish(F, End::Timeout);
  });
}

void Clients::close(const AttemptPtr &A) {
  const auto It = Channels_.find(A->Flow);
  if (It == Channels_.end() || A->State != Phase::Open)
    return;
  Channel &C = It->second;
  Packet P = headFor(C);
  P.Flags |= Packet::Fin;
  ++C.Next;
  C.Closing = true;
  C.Unacked = encode(P);
  C.UnackedEnd = C.Next;
  send(A->Flow, C.Unacked);
  retransmit(A->Flow, C.UnackedEnd, FirstRetransmission);
  Events_.after(TimeLimit_, [this, F = A->Flow] { finish(F, End::Done); });
}

void Clients::retransmit(const Flow &F, uint32_t End, Duration Delay) {
  Events_.after(Delay, [this, F, End, Delay] {
    const auto It = Channels_.find(F);
    if (It == Channels_.end() || It->second.Unacked.empty() ||
        It->second.UnackedEnd != End)
      return;
    send(F, It->second.Unacked);
    retransmit(F, End, std::min(2 * Delay, LongestRetransmission));
  });
}

void Clients::finish(const Flow &F, End Result) {
  const auto It = Channels_.find(F);
  if (It == Channels_.end())
    return;
  const Channel C = std::move(It->second);
  Channels_.erase(It);
  C.Shown->State = Phase::Closed;
  C.Shown->Result = Result;
  if (C.OnChange)
    C.OnChange(C.Shown);
}

void Clients::onReset(Channel &C, const Packet &P) {
  const bool Open = C.Shown->State != Phase::Opening;
  const uint32_t Distance = P.Sequence - C.Expected;
  const bool Accepted = !Open || !isOwnReset(P) || Distance <= ResetWindow ||
                        Distance >= 0u - ResetWindow;
  if (!Accepted)
    return;
  C.Shown->BrokenByServer = !isOwnReset(P);
  finish(C.Shown->Flow, Open ? End::Broken : End::Refused);
}

void Clients::onPacket(std::string_view Bytes) {
  const auto P = decode(Bytes);
  if (!P || (!isIntact(*P) && !isOwnReset(*P))) {
    Notes.emplace_back("MIXED: a client gets a packet that no server wrote");
    return;
  }
  const Flow F{P->Destination, P->Source};
  const auto It = Channels_.find(F);
  if (It == Channels_.end())
    return;
  Channel &C = It->second;
  const AttemptPtr Shown = C.Shown;
  if (P->has(Packet::Reset))
    return onReset(C, *P);
  if (P->has(Packet::Syn)) {
    if (Shown->State != Phase::Opening)
      return;
    C.Expected = P->Sequence + 1;
    ++C.Next;
    Shown->State = Phase::Open;
    Shown->LastUsed = now();
    send(F, encode(headFor(C)));
    if (C.OnChange)
      C.OnChange(Shown);
    return;
  }
  if (Shown->State == Phase::Opening)
    return;
  if (!C.Unacked.empty() && P->Acknowledged == C.UnackedEnd)
    C.Unacked.clear();
  const bool IsNext = P->Sequence == C.Expected;
  if (IsNext)
    C.Expected += P->Payload.size() + P->has(Packet::Fin);
  if (IsNext && P->has(Packet::Fin))
    C.ServerClosed = true;
  if (!P->Payload.empty() || P->has(Packet::Fin))
    send(F, encode(headFor(C)));
  if (IsNext && !P->Payload.empty() && Shown->State == Phase::Waiting) {
    if (!P->Payload.starts_with("answer to " + Shown->Request + " "))
      Notes.push_back("MIXED: the answer to " + Shown->Request + " is '" +
                      P->Payload + "'");
    Shown->Answer = P->Payload;
    ++Shown->Answers;
    Shown->State = Phase::Open;
    Shown->LastUsed = now();
    if (C.OnChange)
      C.OnChange(Shown);
  }
  const auto Again = Channels_.find(F);
  if (Again == Channels_.end())
    return;
  if (Again->second.ServerClosed && !Again->second.Closing &&
      Shown->State == Phase::Open)
    return close(Shown);
  if (Again->second.Closing && Again->second.ServerClosed &&
      Again->second.Unacked.empty())
    finish(F, End::Done);
}

} // namespace review
