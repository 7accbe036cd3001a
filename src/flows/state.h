// The internal state of Flows and its parts. The methods are defined in
// flows.cpp (dispatch of events), packets.cpp (the data path), home.cpp (the
// duties of a flow's home), locate.cpp (asking all agents for a flow's holder),
// holder.cpp (flows held by this agent and their registration) and handover.cpp
// (moving flows to successors when this agent leaves).
#ifndef DRAGONFLYSTALL_SRC_FLOWS_STATE_H
#define DRAGONFLYSTALL_SRC_FLOWS_STATE_H

#include "flows/context.h"
#include "flows/directory.h"
#include "flows/membership.h"
#include "flows/peers.h"

#include <deque>
#include <map>

namespace dragonflystall {

/// An agent that processed no event for this long may be suspected by its
/// peers.
constexpr Duration PauseThreshold = 1500ms;
/// The interval between removals of expired entries from the tables.
constexpr Duration SweepPeriod = 1s;
/// A flow that was given up to another holder is not accepted again for this
/// long, because a delayed duplicate of its placement may still arrive.
constexpr Duration TombstoneLifetime = 5s;

/// How long a home waits for the answers to a locate message, and when it asks
/// the agents that have not answered again.
constexpr Duration LocateTimeout = 2s;
constexpr Duration LocateRetry = 200ms;
/// Locate requests for several flows within this interval are sent in one
/// message.
constexpr Duration MinLocateInterval = 5ms;
/// After the answer "not here" to a peer's locate message, only that peer may
/// place the flow for this long.
constexpr Duration PlacementGrantLifetime = 1s;
constexpr size_t MaxLocateBatch = 128;
constexpr size_t MaxPlacementGrants = 8192;

/// Bounds of the packets that are parked while their flow is being located or
/// handed over.
constexpr size_t MaxParkedPerFlow = 8;
constexpr size_t MaxParkedPackets = 2048;
constexpr size_t MaxParkedBytes = 1 << 20;

constexpr size_t MaxRegisterBatch = 256;
constexpr size_t MaxRegisterBatchesPerRound = 8;
constexpr Duration RegisterRetry = 1s;

constexpr size_t MaxHandOverFlows = 32;
constexpr size_t MaxHandOverBytes = 64 << 10;
constexpr size_t MaxHandOverBatches = 16;
constexpr Duration HandOverRetry = 500ms;
/// A leaving agent forwards packets for at least this long after it handed over
/// its last flow.
constexpr Duration ForwardingPeriod = 2s;
/// How long a leaving agent tries to find successors, and then to remove its
/// entry from the roster.
constexpr Duration LeaveTimeout = 10s;
/// Replies to hand-overs are kept for at least this long so that duplicates get
/// the same reply.
constexpr Duration ReplyLifetime = 2min;
/// How long an agent that stays remembers the successors of flows it handed
/// over.
constexpr Duration MovedLifetime = 2min;

/// The retry delay stated in a refusal to a caller.
constexpr Duration RefusalRetryAfter = 1s;

struct HeldFlow {
  TimePoint Accepted;
  TimePoint LastUsed;
  /// The home at which the flow is registered, see homeTag(); 0 if none.
  uint32_t HomeTag = 0;
  /// The agent that handed the flow over to this agent.
  AgentId Previous = AgentId::None;
  /// The id of the hand-over in progress; 0 if none.
  uint64_t Batch = 0;
};

struct MovedFlow {
  AgentRef Successor;
  TimePoint At;
};

struct RegisterBatch {
  AgentRef Home;
  TimePoint SentAt;
  std::vector<Endpoint> Flows;
  bool Refresh = false;
};

/// A flow whose holder this home doesn't know, while it asks the other agents.
struct PendingLocate {
  TimePoint StartedAt;
  TimePoint AskedAt;
  /// Agents that have not answered yet.
  std::vector<AgentId> AwaitedAgents;
  /// From a directory, of this agent or a peer; an answer from the holder
  /// itself takes precedence.
  std::optional<Claim> BestClaim;
  std::vector<AgentPacket> Packets;
};

/// The right of a peer to place a flow, given by the answer "not here" to its
/// locate message.
struct PlacementGrant {
  AgentId To = AgentId::None;
  TimePoint Until;
};

struct HandOverBatch {
  AgentRef Successor;
  TimePoint SentAt;
  std::shared_ptr<wire::ControlMessage> Message;
  std::vector<AgentPacket> Parked;
};

/// The reply that was sent to a hand-over.
struct SentReply {
  ControlPtr Message;
  TimePoint At;
};

struct Flows::State {
  State(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store);

  FlowsContext Context;
  FlowStateStore &Store;
  Peers ServicePeers;
  Membership Members;
  RequestLoad Load;
  TimePoint LastRun = TimePoint::min();
  TimePoint LastSweep = TimePoint::min();

  // Flows held by this agent.
  FlowTable<HeldFlow> Held;
  FlowTable<TimePoint> Tombstones;
  std::deque<Endpoint> Unregistered;
  std::deque<Endpoint> ToRefresh;
  std::map<uint64_t, RegisterBatch> RegisterBatches;
  uint64_t ScannedView = 0;
  TimePoint NextRefresh = TimePoint::min();
  /// For each peer, the last lapse count of this agent for which the flows were
  /// registered again.
  std::map<AgentRef, uint32_t> LapsesSeen;
  bool WasListed = false;

  // State as a home of flows.
  Directory HolderDirectory;
  FlowTable<PendingLocate> PendingLocates;
  FlowTable<PlacementGrant> PlacementGrants;
  std::vector<Endpoint> LocateQueue;
  TimePoint LastLocateSent = TimePoint::min();
  /// Totals over PendingLocates and HandOvers.
  size_t ParkedPackets = 0;
  size_t ParkedBytes = 0;

  // State while leaving.
  bool StopRequested = false;
  /// When there was last an agent that could take over flows.
  TimePoint LastSuccessorSeen;
  /// Since when this agent has held no flow, while it is stopping.
  std::optional<TimePoint> EmptySince;
  TimePoint LastMoved = TimePoint::min();
  FlowTable<MovedFlow> Moved;
  std::map<uint64_t, HandOverBatch> HandOvers;
  std::map<std::pair<AgentRef, uint64_t>, SentReply> SentReplies;

  // flows.cpp
  /// Called after each event: registers flows and announces the view as needed.
  void updateAfterEvent(TimePoint Now, FlowsOutput &Out);
  void detectPause(TimePoint Now);
  wire::Load localLoad() const;
  void setLeaving(bool Leaving, TimePoint Now);

  // packets.cpp
  void onRequest(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  bool admits(const AgentPacket &Packet, FlowsOutput &Out);
  void answerProbe(const AgentPacket &Packet, FlowsOutput &Out);
  void deliver(AgentPacket Packet, HeldFlow &Flow, TimePoint Now,
               FlowsOutput &Out);
  bool forwardMoved(AgentPacket &Packet, FlowsOutput &Out);
  void onPlaced(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void forward(AgentPacket Packet, const Peer &To, bool Placed,
               FlowsOutput &Out);
  void returnToPlacer(AgentPacket Packet, const Peer &Placer, FlowsOutput &Out);
  void sendToHome(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void refuse(const AgentPacket &Packet, FlowsOutput &Out);
  void drop(const AgentPacket &Packet, std::string_view Reason,
            FlowsOutput &Out);
  /// Returns false when the bounds are reached.
  bool park(AgentPacket &Packet, std::vector<AgentPacket> &Into);
  std::vector<AgentPacket> unpark(std::vector<AgentPacket> &From);

  // home.cpp
  void routeAsHome(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void place(AgentPacket Packet, AgentId Excluded, TimePoint Now,
             FlowsOutput &Out);
  void sendToHolder(AgentPacket Packet, AgentRef Holder, TimePoint Now,
                    FlowsOutput &Out);
  void recordHolder(Endpoint Caller, const Claim &HolderClaim, TimePoint Now);
  /// Returns nothing if the claim was recorded, else the claim that wins over
  /// it.
  std::optional<Claim> registerFlow(Endpoint Caller, const Claim &HolderClaim,
                                    TimePoint Now, FlowsOutput &Out);
  Claim claimFor(const HeldFlow &Flow) const;
  void onRegister(const wire::ControlMessage &Value, const Peer &From,
                  TimePoint Now, FlowsOutput &Out);
  void onUnregister(const wire::ControlMessage &Value);
  void sweepHome(TimePoint Now);

  // locate.cpp
  void startLocate(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void sendLocates(TimePoint Now, FlowsOutput &Out);
  void onLocate(const wire::ControlMessage &Value, const Peer &From,
                TimePoint Now, FlowsOutput &Out);
  wire::Located answerLocate(Endpoint Caller,
                             const wire::ControlMessage &Request,
                             const Peer &From, TimePoint Now, FlowsOutput &Out);
  void onLocateReply(const wire::ControlMessage &Value, const Peer &From,
                     TimePoint Now, FlowsOutput &Out);
  void onHolderFound(Endpoint Caller, const Claim &HolderClaim, TimePoint Now,
                     FlowsOutput &Out);
  /// Records a claim in the directory unless the present one wins; returns the
  /// winning holder.
  AgentRef applyClaim(Endpoint Caller, const Claim &HolderClaim, TimePoint Now,
                      FlowsOutput &Out);
  void yieldTo(Endpoint Caller, const Peer &To, FlowsOutput &Out);
  void finishLocate(Endpoint Caller, TimePoint Now, FlowsOutput &Out);
  void tickLocate(TimePoint Now, FlowsOutput &Out);

  // holder.cpp
  bool canAccept(Endpoint Caller) const;
  void accept(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void giveUp(Endpoint Caller, TimePoint Now, FlowsOutput &Out);
  void giveUpAll(TimePoint Now, FlowsOutput &Out);
  void scanHomes(TimePoint Now, FlowsOutput &Out);
  void registerAll();
  void sendRegisters(std::deque<Endpoint> &Queue, bool Refresh, TimePoint Now,
                     FlowsOutput &Out);
  void sendRegister(uint64_t Id, RegisterBatch &Batch, TimePoint Now,
                    FlowsOutput &Out);
  void onRegisterReply(const wire::ControlMessage &Value, TimePoint Now,
                       FlowsOutput &Out);
  void retryRegisters(TimePoint Now, FlowsOutput &Out);
  bool allFlowsRegistered() const;
  void sweepHeld(TimePoint Now, FlowsOutput &Out);
  void noteLapses(const wire::ControlMessage &Value);

  // handover.cpp
  void handOver(TimePoint Now, FlowsOutput &Out);
  void handOverTo(AgentRef Successor, std::vector<Endpoint> Flows,
                  TimePoint Now, FlowsOutput &Out);
  void onHandOver(const wire::ControlMessage &Value, const Peer &From,
                  TimePoint Now, FlowsOutput &Out);
  bool takeOver(const wire::FlowState &Value, const Peer &From, TimePoint Now,
                FlowsOutput &Out);
  void onHandOverReply(const wire::ControlMessage &Value, TimePoint Now,
                       FlowsOutput &Out);
  void retryHandOvers(TimePoint Now, FlowsOutput &Out);
  void abandon(HandOverBatch &Batch, TimePoint Now, FlowsOutput &Out);
  void finishLeaving(TimePoint Now, FlowsOutput &Out);
  void sweepMoved(TimePoint Now);
  bool isDoneLeaving() const;
};

/// The time from Since to Now in milliseconds, clamped to 32 bits.
uint32_t ageMs(TimePoint Since, TimePoint Now);
Claim claimOf(AgentRef Holder, const wire::Flow &Value, TimePoint Now);
void setClaim(wire::Flow &Target, const Claim &HolderClaim, TimePoint Now);
void setClaim(wire::Located &Target, const Claim &HolderClaim, TimePoint Now);

/// A 32-bit hash of a home and its incarnation; never 0.
uint32_t homeTag(AgentRef Home);

Event flowEvent(EventKind Kind, const FlowKey &Flow, AgentId Agent);

} // namespace dragonflystall

#endif
