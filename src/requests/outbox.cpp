// Retransmission with exponential backoff from a randomised first interval.
#include "outbox.h"

#include "reply.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// A balancer without a packet for longer than this is no better choice than
/// the one through which no acknowledgement arrived.
constexpr Duration BalancerFresh = 30s;

} // namespace

Outbox::Outbox(AgentId Self, uint64_t Seed)
    : Self_(Self), Random_(Seed),
      NextMessageId_(static_cast<uint16_t>(Random_())) {}

void Outbox::heard(Endpoint Balancer, TimePoint Now) {
  if (!Balancer)
    return;
  HeardBalancer *Slot = Balancers_.data();
  for (HeardBalancer &Each : Balancers_) {
    if (Each.Balancer == Balancer) {
      Each.At = Now;
      return;
    }
    if (Each.At < Slot->At || !Each.Balancer)
      Slot = &Each;
  }
  *Slot = {Balancer, Now};
}

Endpoint Outbox::another(Endpoint Than, TimePoint Now) {
  std::array<Endpoint, 4> Others;
  size_t Count = 0;
  for (const HeardBalancer &Each : Balancers_)
    if (Each.Balancer && Each.Balancer != Than && Now - Each.At < BalancerFresh)
      Others[Count++] = Each.Balancer;
  return Count == 0 ? Than : Others[Random_() % Count];
}

void Outbox::send(const PacketHeader &Request, Message Value,
                  AgentActions &Out) {
  Out.emplace_back(SendMessage{Request.Balancer, replyHeader(Request, Self_),
                               std::move(Value)});
}

void Outbox::sendReliably(const PacketHeader &Request, Message Value,
                          TimePoint Now, AgentActions &Out) {
  send(Request, Value, Out);
  if (Pending_.size() >= MaxUnacknowledged)
    return;
  const auto Jitter =
      static_cast<int64_t>(Random_() % (AckTimeout / 2).count());
  const Duration Interval = AckTimeout + Duration(Jitter);
  const Key Id{flowOf(Request), Value.MessageId};
  Pending_[Id] = {Request, std::move(Value), Now + Interval, Interval, 0};
}

void Outbox::acknowledged(const FlowKey &Flow, uint16_t MessageId) {
  Pending_.erase({Flow, MessageId});
}

void Outbox::moved(const FlowKey &Flow, Endpoint Balancer) {
  auto At = Pending_.lower_bound({Flow, 0});
  for (; At != Pending_.end() && At->first.first == Flow; ++At)
    At->second.Request.Balancer = Balancer;
}

void Outbox::tick(TimePoint Now, AgentActions &Out) {
  for (auto At = Pending_.begin(); At != Pending_.end();) {
    Pending &Each = At->second;
    if (Each.NextAt > Now) {
      ++At;
      continue;
    }
    if (Each.Retransmitted == MaxRetransmit) {
      At = Pending_.erase(At);
      continue;
    }
    ++Each.Retransmitted;
    Each.Interval *= 2;
    Each.NextAt = Now + Each.Interval;
    Each.Request.Balancer = another(Each.Request.Balancer, Now);
    send(Each.Request, Each.Value, Out);
    ++At;
  }
}

} // namespace dragonflystall
