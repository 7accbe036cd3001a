// Implements the callers' side of the flows and the paths to the balancers.
#include "soak/callers.h"

#include "platform/packetformat.h"
#include "platform/standinformats.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall::soak {

namespace {

// Waiting times after the first SYN and each repeated one.
constexpr Duration FirstSynTimeout = 200ms;
constexpr Duration SecondSynTimeout = 400ms;
constexpr Duration LastSynTimeout = 800ms;
constexpr Duration FirstResendInterval = 200ms;
constexpr Duration MaxResendInterval = 1600ms;
constexpr Duration MaxPause = 600ms;
/// One of this number of long flows is used seldom: it may have no packet
/// between an agent's restart and the second heartbeat that the agent hears.
constexpr uint16_t SeldomOneOf = 8;
constexpr Duration SeldomPause = 4s;
/// A reset that was not sent by the upstream is accepted in an established flow
/// only if its sequence differs from the expected one by at most this number of
/// bytes.
constexpr uint32_t ResetWindow = 76'800;
/// The callers of a surge begin within this time.
constexpr Duration SurgeSpread = 1s;

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
  for (size_t I = 0; I < Count; ++I)
    add(Now + std::chrono::milliseconds(Shared.Rng() % 1000));
}

Callers::Caller &Callers::add(TimePoint FirstSend) {
  Caller &Client = Callers_.emplace_back();
  Client.Address = Callers_.size() % Addresses_.size();
  Client.NextSend = FirstSend;
  return Client;
}

void Callers::addSurge(size_t Class, size_t Count) {
  const TimePoint Now = Shared_.now();
  for (size_t I = 0; I < Count; ++I)
    add(Now + SurgeSpread * I / Count).SurgeClass = Class;
}

void Callers::endSurge() {
  const TimePoint Now = Shared_.now();
  std::erase_if(Callers_, [this, Now](Caller &Client) {
    if (!Client.SurgeClass)
      return false;
    if (Client.State == CallerState::Opening)
      finish(Client, Now);
    else if (Client.State != CallerState::Idle)
      close(Client, Now);
    return true;
  });
}

void Callers::measure(TimePoint From, TimePoint Until) {
  Measured_.clear();
  MeasuredFrom_ = From;
  MeasuredUntil_ = Until;
}

ServedShare Callers::measuredShare() const {
  ServedShare Result;
  for (const auto &[Class, Counts] : Measured_) {
    Result.Served += Counts.share().Served;
    Result.Asked += Counts.share().Asked;
  }
  return Result;
}

void Callers::record(const Caller &Client, uint64_t Outcome::*Result) {
  ++(Outcome_.*Result);
  if (Client.Begun >= MeasuredFrom_ && Client.Begun < MeasuredUntil_)
    ++(Measured_[Client.Class].*Result);
}

TimePoint Callers::nextRequest(const Caller &Client, TimePoint Now) {
  if (Client.SurgeClass)
    return std::max(Now, Client.Begun + 750ms +
                             std::chrono::milliseconds(Shared_.Rng() % 500));
  const bool IsSeldom = Classes[Client.Class].RequestsPerFlow > 1 &&
                        Client.Flow.Caller.Port % SeldomOneOf == 0;
  return Now + (IsSeldom ? SeldomPause : MaxPause) *
                   static_cast<int>(Shared_.Rng() % 100) / 100;
}

BalancerTarget &Callers::balancerFor(const Caller &Client) {
  // Callers' addresses are assigned to zones round-robin, like balancers.
  const std::string &Zone = Balancers[Client.Address % Balancers.size()].Zone;
  const auto Rank = [&](const BalancerTarget &F) {
    const int Preference = F.InRotation ? F.Zone != Zone : 2;
    return std::pair(Preference,
                     opaque::hashOf({Client.Flow.Caller, F.Packets}));
  };
  return *std::min_element(
      Balancers.begin(), Balancers.end(),
      [&](const BalancerTarget &A, const BalancerTarget &B) {
        return Rank(A) < Rank(B);
      });
}

void Callers::send(const Caller &Client, const std::string &Bytes) {
  const BalancerTarget &To = balancerFor(Client);
  Checker_.onSent(Client.Flow, To.Stability);
  const TimePoint Now = Shared_.now();
  for (int Copies = chance(Shared_.Rng, Path.DuplicationRate) ? 2 : 1;
       Copies > 0; --Copies) {
    if (chance(Shared_.Rng, Path.LossRate))
      continue;
    TimePoint At = Now;
    if (Path.MaxDelay > Duration::zero())
      At += Path.MaxDelay * static_cast<int>(Shared_.Rng() % 100) / 100;
    InTransit_.emplace(At, DelayedPacket{Client.Address, To.Packets, Bytes});
  }
}

opaque::PacketHead Callers::headFor(const Caller &Client) const {
  opaque::PacketHead Head;
  Head.Source = Client.Flow.Caller;
  Head.Destination = Client.Flow.Route;
  Head.Sequence = Client.Sequence;
  Head.Acknowledged = Client.Acknowledged;
  return Head;
}

void Callers::open(Caller &Client, TimePoint Now) {
  LastPort_ = LastPort_ == UINT16_MAX ? 1024 : LastPort_ + 1;
  Client.Class = Client.SurgeClass.value_or(Shared_.Rng() % Classes.size());
  Client.Begun = Now;
  Client.Flow = {{Addresses_[Client.Address].Ip, LastPort_},
                 Classes[Client.Class].Route};
  Client.State = CallerState::Opening;
  Client.Sequence = static_cast<uint32_t>(Shared_.Rng());
  Client.Acknowledged = 0;
  Client.SynRetries = 0;
  Client.Closing = false;
  Client.RequestsLeft = Classes[Client.Class].RequestsPerFlow;
  Client.NextSend = Now + FirstSynTimeout;
  ByFlow_[Client.Flow] = &Client;
  sendSyn(Client);
}

void Callers::sendSyn(Caller &Client) {
  opaque::PacketHead Head = headFor(Client);
  Head.Syn = true;
  Head.Acknowledged = Client.SynRetries;
  send(Client, platform::encodePacket(Head, {}));
}

void Callers::request(Caller &Client, TimePoint Now) {
  if (Client.RequestsLeft == 0 || Client.Closing)
    return close(Client, Now);
  --Client.RequestsLeft;
  Client.RequestId = ++LastRequestId_;
  Client.State = CallerState::Waiting;
  Client.Deadline = Now + Classes[Client.Class].Timeout;
  Client.ResendInterval = FirstResendInterval;
  Client.NextSend = Now + Client.ResendInterval;
  opaque::PacketHead Head = headFor(Client);
  Head.Ack = true;
  const std::string Payload = fmt::format("request {}", Client.RequestId);
  Client.RequestPacket = platform::encodePacket(Head, Payload);
  Client.Sequence += Payload.size();
  send(Client, Client.RequestPacket);
}

void Callers::finish(Caller &Client, TimePoint Now) {
  ByFlow_.erase(Client.Flow);
  Checker_.onFinished(Client.Flow);
  Client.State = CallerState::Idle;
  Client.NextSend = nextRequest(Client, Now);
}

void Callers::close(Caller &Client, TimePoint Now) {
  opaque::PacketHead Head = headFor(Client);
  Head.Ack = true;
  Head.Fin = true;
  send(Client, platform::encodePacket(Head, {}));
  finish(Client, Now);
}

void Callers::resend(Caller &Client, TimePoint Now) {
  if (Now >= Client.Deadline) {
    record(Client, &Outcome::Unanswered);
    return close(Client, Now);
  }
  Client.ResendInterval =
      std::min(2 * Client.ResendInterval, MaxResendInterval);
  Client.NextSend = std::min(Now + Client.ResendInterval, Client.Deadline);
  send(Client, Client.RequestPacket);
}

void Callers::tick(TimePoint Now) {
  for (Caller &Client : Callers_) {
    if (Now < Client.NextSend)
      continue;
    switch (Client.State) {
    case CallerState::Idle:
      open(Client, Now);
      break;
    case CallerState::Opening:
      if (++Client.SynRetries == 3) {
        record(Client, &Outcome::NotOpened);
        finish(Client, Now);
        break;
      }
      Client.NextSend =
          Now + (Client.SynRetries == 1 ? SecondSynTimeout : LastSynTimeout);
      sendSyn(Client);
      break;
    case CallerState::Open:
      Client.Begun = Now;
      request(Client, Now);
      break;
    case CallerState::Waiting:
      resend(Client, Now);
      break;
    }
  }
  while (!InTransit_.empty() && InTransit_.begin()->first <= Now) {
    const DelayedPacket &Packet = InTransit_.begin()->second;
    Sockets_[Packet.Address]->send(Packet.To, Packet.Bytes);
    InTransit_.erase(InTransit_.begin());
  }
  for (const auto &Socket : Sockets_)
    Socket->flush();
}

void Callers::onPacket(size_t Address, std::string_view Bytes) {
  const TimePoint Now = Shared_.now();
  if (chance(Shared_.Rng, Path.LossRate))
    return;
  const auto Head = platform::decodeHead(Bytes);
  const bool GeneratedInTransit = Head && platform::isGeneratedReset(Bytes);
  if (!Head || Head->Bounced ||
      (!GeneratedInTransit && !platform::hasValidChecksum(Bytes)) ||
      Head->Destination.Ip != Addresses_[Address].Ip)
    return Checker_.onModifiedPacket("a caller", Now);
  const auto It = ByFlow_.find(Head->toCaller());
  if (It == ByFlow_.end())
    return;
  Caller &Client = *It->second;
  if (Head->Reset)
    return onReset(Client, *Head, GeneratedInTransit, Now);
  if (Client.State == CallerState::Opening && Head->Syn &&
      Head->Acknowledged == Client.Sequence + 1) {
    ++Client.Sequence;
    Client.Acknowledged = Head->Sequence + 1;
    return request(Client, Now);
  }
  if (Head->PayloadBytes > 0)
    onAnswer(Client, *Head, platform::payloadOf(Bytes), Now);
}

void Callers::onReset(Caller &Client, const opaque::PacketHead &Head,
                      bool GeneratedInTransit, TimePoint Now) {
  if (Client.State == CallerState::Opening) {
    record(Client, &Outcome::Refused);
    return finish(Client, Now);
  }
  const auto Difference =
      static_cast<int32_t>(Head.Sequence - Client.Acknowledged);
  if (GeneratedInTransit &&
      static_cast<uint32_t>(std::abs(Difference)) > ResetWindow)
    return;
  if (GeneratedInTransit)
    Checker_.onReset(Client.Flow, Now);
  if (Client.State == CallerState::Waiting)
    record(Client, &Outcome::BrokenOff);
  finish(Client, Now);
}

void Callers::onAnswer(Caller &Client, const opaque::PacketHead &Head,
                       std::string_view Payload, TimePoint Now) {
  if (Head.Sequence != Client.Acknowledged)
    return; // A repeated earlier answer.
  const bool IsBusy =
      Payload == fmt::format("busy request {}", Client.RequestId);
  if (Client.State != CallerState::Waiting ||
      (!IsBusy &&
       Payload != fmt::format("answer request {}", Client.RequestId)))
    return Checker_.reportViolation(
        Now,
        fmt::format(
            "flow {} gets an answer that does not match its pending request",
            toString(Client.Flow)));
  record(Client, IsBusy ? &Outcome::Busy : &Outcome::Answered);
  Client.Acknowledged += Head.PayloadBytes;
  Client.Closing = Head.Fin;
  Client.State = CallerState::Open;
  Client.NextSend = Client.RequestsLeft ? nextRequest(Client, Now) : Now;
}

} // namespace dragonflystall::soak
