// The decision logic of the agent, which does no I/O. It combines two parts:
// Flows selects the agent that a packet is for, and Requests processes the
// message in a packet for this agent.
#ifndef DRAGONFLYSTALL_SRC_AGENT_AGENTCORE_H
#define DRAGONFLYSTALL_SRC_AGENT_AGENTCORE_H

#include "dragonflystall/agentcore.h"
#include "flows/flows.h"
#include "requests/requests.h"

namespace dragonflystall {

class AgentCore {
public:
  /// All random choices and the secret of the tickets are derived from Seed.
  AgentCore(const AgentIdentity &Self, uint64_t Seed);

  /// Appends to Out the actions that the caller has to carry out, in this
  /// order.
  void handle(const AgentEvent &Input, TimePoint Now, AgentActions &Out);

  /// To be called at requests().nextHedgeAt().
  void sweepHedges(TimePoint Now, AgentActions &Out) {
    Requests_.sweepHedges(Now, Out);
  }

  const Flows &flows() const { return Flows_; }
  const Requests &requests() const { return Requests_; }
  /// True once the agent is stopping or draining, or if the roster lists it as
  /// leaving.
  bool leaving() const;

private:
  void on(const AgentPacket &Packet, TimePoint Now, AgentActions &Out);
  void on(const PeerMessage &Received, TimePoint Now, AgentActions &Out);
  void on(const UpstreamAnswer &Answer, TimePoint Now, AgentActions &Out);
  void on(const UpstreamHint &Hint, TimePoint Now, AgentActions &Out);
  void on(const RosterUpdate &Update, TimePoint Now, AgentActions &Out);
  void on(const RosterWritten &Written, TimePoint Now, AgentActions &Out);
  void on(const SettingsUpdate &Update, TimePoint Now, AgentActions &Out);
  void on(const StopRequested &Stop, TimePoint Now, AgentActions &Out);
  void on(const Tick &Time, TimePoint Now, AgentActions &Out);

  void leave(TimePoint Now, AgentActions &Out);
  void applyFlowsOutput(FlowsOutput &Result, TimePoint Now, AgentActions &Out);
  void setHolders(AgentActions &Out, size_t First) const;

  AgentId Self_;
  /// Declared before Flows_, which holds a reference to it.
  Requests Requests_;
  Flows Flows_;
  bool Leaving_ = false;  ///< Once true, stays true.
  bool Stopping_ = false; ///< Leaving, and the process exits afterwards.
  bool StopCompleteSent_ = false; ///< StopComplete is sent only once.
};

} // namespace dragonflystall

#endif
