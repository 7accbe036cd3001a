// Request processing at one agent: tickets, duplicate detection, admission,
// execution, spilling to peers, and a correct verdict for each request. Does no
// I/O.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_REQUESTS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_REQUESTS_H

#include "dragonflystall/agentcore.h"
#include "flows/flows.h"
#include "flows/flowstate.h"
#include "requests/requesthedges.h"

#include <memory>
#include <vector>

namespace dragonflystall {

class Requests : public FlowStateStore {
public:
  Requests(AgentIdentity Self, uint64_t Seed);
  ~Requests() override;
  Requests(const Requests &) = delete;
  Requests &operator=(const Requests &) = delete;

  /// A message from a caller on a flow that this agent holds.
  void onMessage(const AgentPacket &Packet, TimePoint Now, AgentActions &Out);
  void onUpstream(const UpstreamAnswer &Answer, TimePoint Now,
                  AgentActions &Out);
  void onHint(const UpstreamHint &Hint, TimePoint Now, AgentActions &Out);
  /// Handles the control messages about spills and ignores all others.
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              AgentActions &Out);
  void onSettings(const SettingsPtr &Value, TimePoint Now, AgentActions &Out);
  /// Sets the peers to which requests may be spilled. To be called before each
  /// event.
  void setPeers(std::vector<PeerView> Peers);
  /// From now on this agent starts no request: new ones are spilled or refused.
  void leave(TimePoint Now, AgentActions &Out);
  void tick(TimePoint Now, AgentActions &Out);

  /// The next time at which sweepHedges() should be called; std::nullopt while
  /// hedging is off or no run can be hedged. Each event that is passed to this
  /// class may change it.
  std::optional<TimePoint> nextHedgeAt(TimePoint Now) const;
  /// Hedges slow runs. Each other event does this too.
  void sweepHedges(TimePoint Now, AgentActions &Out);

  RequestLoad load() const;
  HedgeReport hedges(TimePoint Now) const;
  /// The number of requests in progress (from callers and from peers) and of
  /// unacknowledged answers.
  size_t inProgress() const;

  bool isBusy(const FlowKey &Flow) const override;
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
