// The seam between flows and requests: what of a flow's requests travels along
// when the flow moves to another agent.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FLOWSTATE_H
#define DRAGONFLYSTALL_SRC_FLOWS_FLOWSTATE_H

#include "dragonflystall/types.h"
#include <control.pb.h>

namespace dragonflystall {

/// Kept by Requests, moved about by Flows.
class FlowStateStore {
public:
  virtual ~FlowStateStore() = default;
  /// A request of the flow is in progress here; the flow can't move yet.
  virtual bool busy(const FlowKey &Flow) const = 0;
  /// Copies the flow's tickets and answers and fences them: from this call on
  /// no ticket of the flow is accepted here unless importFlow brings it back.
  virtual wire::FlowState exportFlow(const FlowKey &Flow, TimePoint Now) = 0;
  virtual void importFlow(const FlowKey &Flow, const wire::FlowState &State,
                          TimePoint Now) = 0;
  /// The flow ended here: forget its answers, keep what makes verdicts true.
  virtual void dropFlow(const FlowKey &Flow, TimePoint Now) = 0;
};

/// What one agent knows of another of its service. Counts are hints.
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
  uint32_t Connections = 0;
};

} // namespace dragonflystall

#endif
