// The agent's decisions, composed of its slices: Flows decides where a packet
// belongs, Requests what becomes of the message in it. No I/O.
#ifndef DRAGONFLYSTALL_SRC_AGENT_AGENTCORE_H
#define DRAGONFLYSTALL_SRC_AGENT_AGENTCORE_H

#include "dragonflystall/agentcore.h"
#include "flows/flows.h"
#include "requests/requests.h"

namespace dragonflystall {

class AgentCore {
public:
  /// Seed feeds every random choice and the secret of the tickets.
  AgentCore(const AgentIdentity &Self, uint64_t Seed);

  /// Appends what the shell has to carry out, in order.
  void handle(const AgentEvent &What, TimePoint Now, AgentActions &Out);

  const Flows &flows() const { return Flows_; }
  const Requests &requests() const { return Requests_; }
  /// It stops, or the settings drain it.
  bool leaving() const;

private:
  void on(const AgentPacket &Packet, TimePoint Now, AgentActions &Out);
  void on(const PeerMessage &Value, TimePoint Now, AgentActions &Out);
  void on(const UpstreamAnswer &Answer, TimePoint Now, AgentActions &Out);
  void on(const UpstreamHint &Hint, TimePoint Now, AgentActions &Out);
  void on(const RosterUpdate &Update, TimePoint Now, AgentActions &Out);
  void on(const RosterWritten &Result, TimePoint Now, AgentActions &Out);
  void on(const SettingsUpdate &Update, TimePoint Now, AgentActions &Out);
  void on(const StopRequested &Stop, TimePoint Now, AgentActions &Out);
  void on(const Tick &Time, TimePoint Now, AgentActions &Out);

  void leave(TimePoint Now, AgentActions &Out);
  void finish(FlowsOutput &From, TimePoint Now, AgentActions &Out);
  void nameHolders(AgentActions &Out, size_t First) const;

  AgentId Self_;
  Requests Requests_; ///< Before Flows_, which refers to it.
  Flows Flows_;
  bool Leaving_ = false;  ///< Never returns to false.
  bool Stopping_ = false; ///< Leaving, and the process is to exit.
  bool Complete_ = false; ///< StopComplete was sent; it is sent once.
};

} // namespace dragonflystall

#endif
