// Retransmission with exponential backoff from a randomised first interval.
#include "outbox.h"

#include "reply.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// A balancer without a packet for longer than this is no better choice than
/// the one through which no acknowledgement arrived.
constexpr Duration BalancerLifetime = 30s;

} // namespace

Outbox::Outbox(AgentId Self, uint64_t Seed)
    : Self_(Self), Random_(Seed),
      NextMessageId_(static_cast<uint16_t>(Random_())) {}

void Outbox::noteBalancer(Endpoint Balancer, TimePoint Now) {
  if (!Balancer)
    return;
  RecentBalancer *Slot = Balancers_.data();
  for (RecentBalancer &Candidate : Balancers_) {
    if (Candidate.Balancer == Balancer) {
      Candidate.At = Now;
      return;
    }
    if (Candidate.At < Slot->At || !Candidate.Balancer)
      Slot = &Candidate;
  }
  *Slot = {Balancer, Now};
}

Endpoint Outbox::otherBalancer(Endpoint Current, TimePoint Now) {
  std::array<Endpoint, 4> Candidates;
  size_t Count = 0;
  for (const RecentBalancer &Candidate : Balancers_)
    if (Candidate.Balancer && Candidate.Balancer != Current &&
        Now - Candidate.At < BalancerLifetime)
      Candidates[Count++] = Candidate.Balancer;
  return Count == 0 ? Current : Candidates[Random_() % Count];
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

void Outbox::setBalancer(const FlowKey &Flow, Endpoint Balancer) {
  auto It = Pending_.lower_bound({Flow, 0});
  for (; It != Pending_.end() && It->first.first == Flow; ++It)
    It->second.Request.Balancer = Balancer;
}

void Outbox::tick(TimePoint Now, AgentActions &Out) {
  for (auto It = Pending_.begin(); It != Pending_.end();) {
    Pending &Unacknowledged = It->second;
    if (Unacknowledged.NextAt > Now) {
      ++It;
      continue;
    }
    if (Unacknowledged.Retransmitted == MaxRetransmit) {
      It = Pending_.erase(It);
      continue;
    }
    ++Unacknowledged.Retransmitted;
    Unacknowledged.Interval *= 2;
    Unacknowledged.NextAt = Now + Unacknowledged.Interval;
    Unacknowledged.Request.Balancer =
        otherBalancer(Unacknowledged.Request.Balancer, Now);
    send(Unacknowledged.Request, Unacknowledged.Value, Out);
    ++It;
  }
}

} // namespace dragonflystall
