// The balancer process for opaque flows: its sockets round the steering core.
#ifndef DRAGONFLYSTALL_SRC_NODE_BALANCER_H
#define DRAGONFLYSTALL_SRC_NODE_BALANCER_H

#include "node/process.h"
#include "opaque/steering.h"

namespace dragonflystall::node {

class Balancer : public Process {
public:
  Balancer(const Settings &Initial, SettingsReader Read);

protected:
  void onTick(TimePoint Now) override;
  void onControl(const opaque::ControlMessage &Message, Endpoint From,
                 TimePoint Now) override;
  void onPeerAgents(const std::vector<opaque::AgentEntry> &Agents) override;
  void onStop(TimePoint Now) override { StopAt_ = Now; }
  bool ready() const override;
  std::vector<opaque::AgentEntry> agentsForPeers() const override;

private:
  void onCallerBatch(std::span<const Datagram> Batch);
  void onReturnedDatagram(Endpoint From, std::string_view Bytes);
  void carryOut(const opaque::SteerAction &Action,
                const opaque::PacketHead &Head, std::string_view Bytes,
                TimePoint Now);
  void carryOut(const std::vector<opaque::LateAction> &Actions, TimePoint Now);
  void logAction(const opaque::SteerAction &Action,
                 const opaque::PacketHead &Head, TimePoint Now);
  /// Told to stop, and the fabric sends nothing more.
  bool drained(TimePoint Now) const;
  void ping(TimePoint Now);
  void removeDead(TimePoint Now);
  void onAgentObject(const platform::Object &Listed);

  opaque::Directory Agents_;
  opaque::Steering Steering_;
  KindFollower Listed_;
  HttpChannel RemoveChannel_;
  std::vector<std::optional<opaque::PacketHead>> Heads_; ///< Of one batch.
  UdpSocket *FromCallers_ = nullptr;
  UdpSocket *ToAgents_ = nullptr;
  std::vector<std::pair<opaque::AgentEntry, int64_t>> Page_;
  /// Agents are known from the store or from a peer.
  bool AgentsKnown_ = false;
  uint64_t PingNumber_ = 0;
  TimePoint NextPing_{};
  TimePoint StopAt_{};
  TimePoint LastCallerPacket_{};
  std::array<Counter *, opaque::SteerReasonNames.size()> Steered_{};
  Gauge &AgentsAlive_;
  Gauge &AgentsTotal_;
  Gauge &CachedFlows_;
};

} // namespace dragonflystall::node

#endif
