// What all parts of Flows share: who this agent is, the settings in force, its
// random numbers and the head of its control messages.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_CONTEXT_H
#define DRAGONFLYSTALL_SRC_FLOWS_CONTEXT_H

#include "dragonflystall/agentcore.h"
#include "flows/flows.h"

#include <control.pb.h>

namespace dragonflystall {

using ControlPtr = std::shared_ptr<wire::ControlMessage>;

struct FlowsContext {
  FlowsContext(AgentIdentity Self, uint64_t Seed);

  AgentIdentity Identity;
  ServiceId Service;
  Random Rng;
  /// Null until the first settings come.
  SettingsPtr Settings;
  /// Stated in each control message.
  uint64_t RosterVersion = 0;
  uint64_t AnnouncedView = 0;
  uint64_t LastSequence = 0;
  uint64_t LastId = 0;

  AgentRef self() const { return Identity.Self.Agent; }
  FlowKey flow(Endpoint Caller) const { return {Service, Caller}; }
  const ServiceSettings *service() const;
  /// False before settings are known.
  bool zoneOut(std::string_view Zone) const;
  bool ownZoneOut() const { return zoneOut(Identity.Self.Zone); }
  /// Upstreams of the zone may serve: it is in, and the service names it.
  bool zoneServes(std::string_view Zone) const;
  /// The address is one of our processes' in a zone that is in.
  bool trusts(uint32_t Ip) const;
  /// Flows that an upstream with these connections may hold.
  uint32_t capacity(uint32_t Connections) const;
  /// The operators want the agent to leave.
  bool drained() const;
  /// An id for a message that is to be answered; unique in this incarnation.
  uint64_t nextId() { return ++LastId; }
  /// A message with this agent as the sender.
  ControlPtr newMessage();
  /// Uniform in [Least, Most).
  Duration jitter(Duration Least, Duration Most);
};

/// Sends nothing while the agent's own zone is out.
void sendPeer(const FlowsContext &Context, Endpoint To, ControlPtr Value,
              FlowsOutput &Out);

} // namespace dragonflystall

#endif
