// Agents of one service in one process, on a lossless network in virtual time.
// It measures the cost of the messages between the agents; it is not meant for
// tests.
#ifndef DRAGONFLYSTALL_BENCH_IDLECLUSTER_H
#define DRAGONFLYSTALL_BENCH_IDLECLUSTER_H

#include "agent/agentcore.h"
#include "dragonflystall/clock.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystall::bench {

class IdleCluster {
public:
  explicit IdleCluster(uint32_t Agents);

  /// Runs for the settling time, in which all agents join and learn of each
  /// other.
  void settle();
  void run(Duration Length);
  /// Sends one GET on a new flow; the upstream answers immediately.
  void get(Endpoint Caller);
  /// Replaces the agent by a new incarnation.
  void restart(uint32_t Agent);

  size_t flows() const;
  /// Bytes of control messages sent by all agents.
  uint64_t controlBytes() const { return ControlBytes_; }
  uint64_t rosterWrites() const { return Stored_.Version; }

private:
  struct Envelope {
    Endpoint To;
    std::string Bytes;
  };
  void start(uint32_t Agent);
  void feed(size_t Index, const AgentEvent &Event);
  void perform(size_t Index, const AgentAction &Action);
  void write(size_t Index, const UpdateRoster &Update);
  void deliver();

  VirtualClock Clock_;
  Random Random_{1};
  SettingsPtr Settings_;
  std::vector<AgentIdentity> Identities_;
  std::vector<std::unique_ptr<AgentCore>> Cores_;
  std::deque<Envelope> Network_;
  Roster Stored_;
  bool RosterChanged_ = false; ///< The agents have not yet received Stored_.
  uint64_t ControlBytes_ = 0;
  uint16_t NextMessage_ = 0;
};

} // namespace dragonflystall::bench

#endif
