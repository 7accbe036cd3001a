// State shared by all parts of Flows: the agent's identity, the settings in
// force, the random number generator and the header fields of control messages.
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
  /// Null until the first settings arrive.
  SettingsPtr Settings;
  /// RosterVersion and AnnouncedView are stated in each control message.
  uint64_t RosterVersion = 0;
  uint64_t AnnouncedView = 0;
  uint64_t LastSequence = 0;
  uint64_t LastId = 0;

  AgentRef self() const { return Identity.Self.Agent; }
  FlowKey flow(Endpoint Caller) const { return {Service, Caller}; }
  const ServiceSettings *serviceSettings() const;
  /// False before settings are known.
  bool isZoneEvacuated(std::string_view Zone) const;
  bool ownZoneOut() const { return isZoneEvacuated(Identity.Self.Zone); }
  /// True when upstreams of the zone may serve: the zone is not out, and the
  /// service lists it or lists no zones.
  bool zoneServes(std::string_view Zone) const;
  /// True when the address belongs to a zone of the deployment that is not out.
  bool isTrustedSender(uint32_t Ip) const;
  /// How many flows an upstream with this connection limit may hold.
  uint32_t capacity(uint32_t Connections) const;
  /// How many requests an upstream with this number of slots may run at once.
  uint32_t slots(uint32_t Slots) const;
  /// True when the settings ask this agent to leave, by name or by zone.
  bool isDrained() const;
  /// An id for a message that expects a reply; unique in this incarnation.
  uint64_t nextId() { return ++LastId; }
  /// A control message with the header fields set and this agent as sender.
  ControlPtr newMessage();
  /// A random duration, uniform in [Min, Max).
  Duration jitter(Duration Min, Duration Max);
};

/// Queues a control message to a peer; does nothing while this agent's zone is
/// out.
void sendPeer(const FlowsContext &Context, Endpoint To, ControlPtr Value,
              FlowsOutput &Out);

} // namespace dragonflystall

#endif
