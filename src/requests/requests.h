// Requests at one agent: tickets, duplicates, admission, execution, spill to
// peers, and a true verdict for each. No I/O.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_REQUESTS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_REQUESTS_H

#include "dragonflystall/agentcore.h"
#include "flows/flows.h"
#include "flows/flowstate.h"

#include <memory>
#include <vector>

namespace dragonflystall {

class Requests : public FlowStateStore {
public:
  Requests(AgentIdentity Self, uint64_t Seed);
  ~Requests() override;
  Requests(const Requests &) = delete;
  Requests &operator=(const Requests &) = delete;

  /// A message of a flow that this agent holds.
  void onMessage(const AgentPacket &Packet, TimePoint Now, AgentActions &Out);
  void onUpstream(const UpstreamAnswer &Answer, TimePoint Now,
                  AgentActions &Out);
  void onHint(const UpstreamHint &Hint, TimePoint Now, AgentActions &Out);
  /// Takes the bodies that concern spills, ignores the others.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              AgentActions &Out);
  void onSettings(const SettingsPtr &Value, TimePoint Now, AgentActions &Out);
  /// Peers that a request may spill to; set before each event.
  void setPeers(std::vector<PeerView> Peers);
  /// Nothing new is started here: requests spill or are refused.
  void leave(TimePoint Now, AgentActions &Out);
  void tick(TimePoint Now, AgentActions &Out);

  OwnLoad load() const;
  /// Requests in progress, own and spilled here, and unacknowledged answers.
  size_t inProgress() const;

  bool busy(const FlowKey &Flow) const override;
  wire::FlowState exportFlow(const FlowKey &Flow, TimePoint Now) override;
  void importFlow(const FlowKey &Flow, const wire::FlowState &State,
                  TimePoint Now) override;
  void dropFlow(const FlowKey &Flow, TimePoint Now) override;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
