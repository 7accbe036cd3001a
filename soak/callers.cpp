// The callers' end of the flows.
#include "soak/callers.h"

#include "platform/otherside.h"
#include "platform/packetformat.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall::soak {

namespace {

constexpr Duration FirstCopy = 200ms;
constexpr Duration SecondCopy = 400ms; // After the first.
constexpr Duration LastWait = 800ms;   // After the second.
constexpr Duration FirstResend = 200ms;
constexpr Duration MostResend = 1600ms;
constexpr Duration RequestTimeout = 3s;
constexpr Duration MostPause = 600ms;
/// A reset in an open flow is taken when its sequence is so close.
constexpr uint32_t ResetWindow = 76'800;
constexpr uint32_t LongFlow = 40;

} // namespace

Callers::Callers(node::Services &Shared, RuleChecker &Checker,
                 const std::vector<Endpoint> &Addresses, size_t Count)
    : Shared_(Shared), Checker_(Checker), Addresses_(Addresses) {
  for (size_t I = 0; I < Addresses.size(); ++I) {
    UdpSocket &Socket =
        *Sockets_.emplace_back(UdpSocket::bindOrThrow(Addresses[I]));
    Watches_.emplace_back(Shared.Base.get(), Socket.descriptor(),
                          [this, I, &Socket] {
                            Socket.receive([this, I](Endpoint, auto Bytes) {
                              onPacket(I, Bytes);
                            });
                          });
  }
  const TimePoint Now = Shared.now();
  for (size_t I = 0; I < Count; ++I) {
    Caller &C = Callers_.emplace_back();
    C.Address = I % Addresses.size();
    C.Next = Now + std::chrono::milliseconds(Shared.Rng() % 1000);
  }
}

Duration Callers::pause() {
  return MostPause * static_cast<int>(Shared_.Rng() % 100) / 100;
}

BalancerTarget &Callers::balancerFor(const Caller &C) {
  // Addresses are dealt to the zones in turn, as the fronts are.
  const std::string &Zone = Balancers[C.Address % Balancers.size()].Zone;
  const auto Rank = [&](const BalancerTarget &F) {
    const int Far = F.InRotation ? F.Zone != Zone : 2;
    return std::pair(Far, opaque::hashOf({C.Flow.Caller, F.Packets}));
  };
  return *std::min_element(
      Balancers.begin(), Balancers.end(),
      [&](const BalancerTarget &A, const BalancerTarget &B) {
        return Rank(A) < Rank(B);
      });
}

void Callers::send(const Caller &C, const std::string &Bytes) {
  const BalancerTarget &To = balancerFor(C);
  Checker_.onSent(C.Flow, To.Stability);
  const TimePoint Now = Shared_.now();
  for (int Copies = chance(Shared_.Rng, Path.Repeated) ? 2 : 1; Copies > 0;
       --Copies) {
    if (chance(Shared_.Rng, Path.Lost))
      continue;
    TimePoint At = Now;
    if (Path.Delay > Duration::zero())
      At += Path.Delay * static_cast<int>(Shared_.Rng() % 100) / 100;
    Underway_.emplace(At, Transit{C.Address, To.Packets, Bytes});
  }
}

opaque::PacketHead Callers::headOf(const Caller &C) const {
  opaque::PacketHead Head;
  Head.Source = C.Flow.Caller;
  Head.Destination = C.Flow.Route;
  Head.Sequence = C.Sequence;
  Head.Acknowledged = C.Acknowledged;
  return Head;
}

void Callers::open(Caller &C, TimePoint Now) {
  LastPort_ = LastPort_ == UINT16_MAX ? 1024 : LastPort_ + 1;
  C.Flow = {{Addresses_[C.Address].Ip, LastPort_},
            Routes[Shared_.Rng() % Routes.size()]};
  C.At = Phase::Opening;
  C.Sequence = static_cast<uint32_t>(Shared_.Rng());
  C.Acknowledged = 0;
  C.Copies = 0;
  C.Closing = false;
  C.RequestsLeft = Shared_.Rng() % 3 ? 1 : LongFlow;
  C.Next = Now + FirstCopy;
  ByFlow_[C.Flow] = &C;
  sendSyn(C);
}

void Callers::sendSyn(Caller &C) {
  opaque::PacketHead Head = headOf(C);
  Head.Syn = true;
  Head.Acknowledged = C.Copies;
  send(C, platform::encodePacket(Head, {}));
}

void Callers::request(Caller &C, TimePoint Now) {
  if (C.RequestsLeft == 0 || C.Closing)
    return close(C, Now);
  --C.RequestsLeft;
  C.Request = ++LastRequest_;
  C.At = Phase::Waiting;
  C.Deadline = Now + RequestTimeout;
  C.Interval = FirstResend;
  C.Next = Now + C.Interval;
  opaque::PacketHead Head = headOf(C);
  Head.Ack = true;
  const std::string Payload = fmt::format("request {}", C.Request);
  C.Sent = platform::encodePacket(Head, Payload);
  C.Sequence += Payload.size();
  send(C, C.Sent);
}

void Callers::finish(Caller &C, TimePoint Now) {
  ByFlow_.erase(C.Flow);
  Checker_.onFinished(C.Flow);
  C.At = Phase::Idle;
  C.Next = Now + pause();
}

void Callers::close(Caller &C, TimePoint Now) {
  opaque::PacketHead Head = headOf(C);
  Head.Ack = true;
  Head.Fin = true;
  send(C, platform::encodePacket(Head, {}));
  finish(C, Now);
}

void Callers::resend(Caller &C, TimePoint Now) {
  if (Now >= C.Deadline) {
    ++Outcome_.Unanswered;
    return close(C, Now);
  }
  C.Interval = std::min(2 * C.Interval, MostResend);
  C.Next = std::min(Now + C.Interval, C.Deadline);
  send(C, C.Sent);
}

void Callers::tick(TimePoint Now) {
  for (Caller &C : Callers_) {
    if (Now < C.Next)
      continue;
    switch (C.At) {
    case Phase::Idle:
      open(C, Now);
      break;
    case Phase::Opening:
      if (++C.Copies == 3) {
        ++Outcome_.Unopened;
        finish(C, Now);
        break;
      }
      C.Next = Now + (C.Copies == 1 ? SecondCopy : LastWait);
      sendSyn(C);
      break;
    case Phase::Open:
      request(C, Now);
      break;
    case Phase::Waiting:
      resend(C, Now);
      break;
    }
  }
  while (!Underway_.empty() && Underway_.begin()->first <= Now) {
    const Transit &T = Underway_.begin()->second;
    Sockets_[T.Address]->send(T.To, T.Bytes);
    Underway_.erase(Underway_.begin());
  }
  for (const auto &Socket : Sockets_)
    Socket->flush();
}

void Callers::onPacket(size_t Address, std::string_view Bytes) {
  const TimePoint Now = Shared_.now();
  if (chance(Shared_.Rng, Path.Lost))
    return;
  const auto Head = platform::decodeHead(Bytes);
  const bool Underway = Head && platform::madeUnderway(Bytes);
  if (!Head || Head->Bounced || (!Underway && !platform::intact(Bytes)) ||
      Head->Destination.Ip != Addresses_[Address].Ip)
    return Checker_.onModifiedPacket("a caller", Now);
  const auto It = ByFlow_.find(Head->toCaller());
  if (It == ByFlow_.end())
    return;
  Caller &C = *It->second;
  if (Head->Reset)
    return onReset(C, *Head, Underway, Now);
  if (C.At == Phase::Opening && Head->Syn &&
      Head->Acknowledged == C.Sequence + 1) {
    ++C.Sequence;
    C.Acknowledged = Head->Sequence + 1;
    return request(C, Now);
  }
  if (Head->PayloadBytes > 0)
    onAnswer(C, *Head, platform::payloadOf(Bytes), Now);
}

void Callers::onReset(Caller &C, const opaque::PacketHead &Head, bool Underway,
                      TimePoint Now) {
  if (C.At == Phase::Opening) {
    ++Outcome_.Refused;
    return finish(C, Now);
  }
  const auto Apart = static_cast<int32_t>(Head.Sequence - C.Acknowledged);
  if (Underway && static_cast<uint32_t>(std::abs(Apart)) > ResetWindow)
    return;
  if (Underway)
    Checker_.onReset(C.Flow, Now);
  if (C.At == Phase::Waiting)
    ++Outcome_.BrokenOff;
  finish(C, Now);
}

void Callers::onAnswer(Caller &C, const opaque::PacketHead &Head,
                       std::string_view Payload, TimePoint Now) {
  if (Head.Sequence != C.Acknowledged)
    return; // A copy of an earlier answer.
  if (C.At != Phase::Waiting ||
      Payload != fmt::format("answer request {}", C.Request))
    return Checker_.fail(
        Now,
        fmt::format("{} gets the answer of another request", toString(C.Flow)));
  ++Outcome_.Answered;
  C.Acknowledged += Head.PayloadBytes;
  C.Closing = Head.Fin;
  C.At = Phase::Open;
  C.Next = Now + (C.RequestsLeft ? pause() : Duration::zero());
}

} // namespace dragonflystall::soak
