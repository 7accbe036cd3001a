// Sends answers, and retransmits separate answers until the caller acknowledges
// them. Retransmissions use another balancer, as the first may have failed.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_OUTBOX_H
#define DRAGONFLYSTALL_SRC_REQUESTS_OUTBOX_H

#include "dragonflystall/agentcore.h"

#include <array>
#include <map>

namespace dragonflystall {

/// RFC 7252, section 4.8: ACK_TIMEOUT, with an ACK_RANDOM_FACTOR of 1.5. One
/// retransmission less than the RFC's default shortens a graceful shutdown.
constexpr Duration AckTimeout = 2s;
constexpr uint32_t MaxRetransmit = 3;
constexpr size_t MaxUnacknowledged = 4096;

class Outbox {
public:
  Outbox(AgentId Self, uint64_t Seed);

  uint16_t nextMessageId() { return NextMessageId_++; }
  /// Records that this balancer was alive at Now.
  void noteBalancer(Endpoint Balancer, TimePoint Now);
  /// Sends once. Request is the header of the request.
  void send(const PacketHeader &Request, Message Value, AgentActions &Out);
  /// Sends a confirmable message and retransmits it until it is acknowledged or
  /// MaxRetransmit is reached.
  void sendReliably(const PacketHeader &Request, Message Value, TimePoint Now,
                    AgentActions &Out);
  /// The caller acknowledged or rejected a message of this agent.
  void acknowledged(const FlowKey &Flow, uint16_t MessageId);
  /// Sends the flow's retransmissions through this balancer from now on.
  void setBalancer(const FlowKey &Flow, Endpoint Balancer);
  void tick(TimePoint Now, AgentActions &Out);
  size_t unacknowledged() const { return Pending_.size(); }

private:
  struct Pending {
    PacketHeader Request;
    Message Value;
    TimePoint NextAt;
    Duration Interval{};
    uint32_t Retransmitted = 0;
  };
  struct RecentBalancer {
    Endpoint Balancer;
    TimePoint At;
  };
  using Key = std::pair<FlowKey, uint16_t>;

  Endpoint otherBalancer(Endpoint Current, TimePoint Now);

  const AgentId Self_;
  Random Random_;
  uint16_t NextMessageId_;
  /// Ordered, so that retransmissions are reproducible from run to run.
  std::map<Key, Pending> Pending_;
  std::array<RecentBalancer, 4> Balancers_{};
};

} // namespace dragonflystall

#endif
