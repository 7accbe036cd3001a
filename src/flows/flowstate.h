// The interface between Flows and Requests: the request state of a flow that
// moves with the flow to another agent.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FLOWSTATE_H
#define DRAGONFLYSTALL_SRC_FLOWS_FLOWSTATE_H

#include "dragonflystall/types.h"
#include <control.pb.h>

namespace dragonflystall {

/// Implemented by Requests and used by Flows.
class FlowStateStore {
public:
  virtual ~FlowStateStore() = default;
  /// True while a request of the flow is in progress at this agent, during
  /// which the flow can't move.
  virtual bool isBusy(const FlowKey &Flow) const = 0;
  /// Copies the flow's tickets and answers and fences them: after this call no
  /// ticket of the flow is accepted at this agent until importFlow restores it.
  virtual wire::FlowState exportFlow(const FlowKey &Flow, TimePoint Now) = 0;
  /// Restores the flow's tickets and answers from an exported state.
  virtual void importFlow(const FlowKey &Flow, const wire::FlowState &State,
                          TimePoint Now) = 0;
  /// The flow ended at this agent: discards its answers and keeps the state
  /// that correct verdicts require.
  virtual void dropFlow(const FlowKey &Flow, TimePoint Now) = 0;
};

/// What an agent knows of another agent of its service. The counts are those of
/// its last heartbeat and may be out of date.
struct PeerView {
  AgentRef Agent;
  Endpoint Data;
  Endpoint Control;
  std::string Zone;
  bool Suspected = false;
  bool Leaving = false;
  uint32_t Flows = 0;
  uint32_t Running = 0;
  uint32_t Queued = 0;
  uint32_t Limit = 0;
  /// Of its upstream, as far as the service allows them; 0 if not known.
  uint32_t Slots = 0;
  uint32_t Connections = 0;
};

} // namespace dragonflystall

#endif
