// Agents of one service in one process with perfect wires in virtual time: for
// measuring what they spend on one another, not for testing them.
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

  /// Runs until all have joined and know one another.
  void settle();
  void run(Duration For);
  /// One GET of a new flow, answered at once.
  void get(Endpoint Caller);
  /// Replaces the agent by a new incarnation of it.
  void restart(uint32_t Agent);

  size_t flows() const;
  /// Bytes of control messages sent by all.
  uint64_t controlBytes() const { return ControlBytes_; }
  uint64_t rosterWrites() const { return Stored_.Version; }

private:
  struct Envelope {
    Endpoint To;
    std::string Bytes;
  };
  void start(uint32_t Agent);
  void feed(size_t Index, const AgentEvent &What);
  void carryOut(size_t Index, const AgentAction &Action);
  void write(size_t Index, const UpdateRoster &Update);
  void deliver();

  VirtualClock Clock_;
  Random Random_{1};
  SettingsPtr Settings_;
  std::vector<AgentIdentity> Identities_;
  std::vector<std::unique_ptr<AgentCore>> Cores_;
  std::deque<Envelope> Wire_;
  Roster Stored_;
  bool Changed_ = false; ///< Stored_ is newer than what the agents were told.
  uint64_t ControlBytes_ = 0;
  uint16_t NextMessage_ = 0;
};

} // namespace dragonflystall::bench

#endif
