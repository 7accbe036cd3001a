// Sends answers, and retransmits the separate ones until the caller
// acknowledges them, by another balancer if the first may have died.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_OUTBOX_H
#define DRAGONFLYSTALL_SRC_REQUESTS_OUTBOX_H

#include "dragonflystall/agentcore.h"

#include <array>
#include <map>

namespace dragonflystall {

/// RFC 7252, section 4.8: ACK_TIMEOUT and ACK_RANDOM_FACTOR. One
/// retransmission less than its default bounds the wait of a graceful shutdown.
constexpr Duration AckTimeout = 2s;
constexpr uint32_t MaxRetransmit = 3;
constexpr size_t MaxUnacknowledged = 4096;

class Outbox {
public:
  Outbox(AgentId Self, uint64_t Seed);

  uint16_t nextMessageId() { return NextMessageId_++; }
  /// Remembers that this balancer is alive.
  void heard(Endpoint Balancer, TimePoint Now);
  /// Sends once. Request is the header that the request came with.
  void send(const PacketHeader &Request, Message Value, AgentActions &Out);
  /// Sends a confirmable message until it is acknowledged or given up.
  void sendReliably(const PacketHeader &Request, Message Value, TimePoint Now,
                    AgentActions &Out);
  /// The caller acknowledged or rejected a message of ours.
  void acknowledged(const FlowKey &Flow, uint16_t MessageId);
  /// The flow's packets come by this balancer now.
  void moved(const FlowKey &Flow, Endpoint Balancer);
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
  struct HeardBalancer {
    Endpoint Balancer;
    TimePoint At;
  };
  using Key = std::pair<FlowKey, uint16_t>;

  Endpoint another(Endpoint Than, TimePoint Now);

  const AgentId Self_;
  Random Random_;
  uint16_t NextMessageId_;
  /// Ordered, so that retransmissions come in the same order in each run.
  std::map<Key, Pending> Pending_;
  std::array<HeardBalancer, 4> Balancers_{};
};

} // namespace dragonflystall

#endif
