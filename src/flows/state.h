// The parts of Flows and how they hang together. The methods stand in
// packets.cpp (the data path), home.cpp (duties of a flow's home), locate.cpp
// (asking all agents), holder.cpp (flows held here and their registration) and
// handover.cpp (moving flows when leaving).
#ifndef DRAGONFLYSTALL_SRC_FLOWS_STATE_H
#define DRAGONFLYSTALL_SRC_FLOWS_STATE_H

#include "flows/context.h"
#include "flows/directory.h"
#include "flows/membership.h"
#include "flows/peers.h"

#include <deque>
#include <map>

namespace dragonflystall {

/// A process that was not ticked for this long may be suspected by others.
constexpr Duration PauseNoticed = 1500ms;
constexpr Duration SweepPeriod = 1s;
/// A flow that was given up to another holder is not accepted again for this
/// long: a late duplicate of its placement may be under way.
constexpr Duration TombstoneLifetime = 5s;

/// The wait for answers about a flow, and when the silent are asked again.
constexpr Duration LocateWait = 2s;
constexpr Duration LocateAskAgain = 200ms;
/// Questions that come closer together than this travel in one message.
constexpr Duration LocateSpacing = 5ms;
/// A flow that a peer asked about is left to it for this long.
constexpr Duration PromiseLifetime = 1s;
constexpr size_t MaxLocateBatch = 128;
constexpr size_t MaxPromises = 8192;

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
/// Forwarding goes on for this long after the last flow was handed over.
constexpr Duration Linger = 2s;
/// How long a leaving agent looks for successors and for its last write.
constexpr Duration LeaveBound = 10s;
/// Answers to hand-overs are kept at least this long against duplicates.
constexpr Duration ReplyMemory = 2min;
constexpr Duration MovedLifetime = 2min;

/// What a refused caller is told to wait.
constexpr Duration RefusalRetryAfter = 1s;

struct HeldFlow {
  TimePoint Accepted;
  TimePoint LastUsed;
  /// The home that has the flow registered, see homeTag(); 0 when none has.
  uint32_t HomeTag = 0;
  /// Who handed the flow over to this agent.
  AgentId Previous = AgentId::None;
  /// The hand-over under way; 0 when none.
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

/// A flow that this home doesn't know, while the others are asked.
struct Located {
  TimePoint Since;
  TimePoint AskedAt;
  /// Agents whose answer is still out.
  std::vector<AgentId> Waiting;
  /// From a peer's directory; a holder's own word goes before it.
  std::optional<Claim> Best;
  std::vector<AgentPacket> Packets;
};

struct Promise {
  AgentId To = AgentId::None;
  TimePoint Until;
};

struct HandOverBatch {
  AgentRef Successor;
  TimePoint SentAt;
  std::shared_ptr<wire::ControlMessage> Message;
  std::vector<AgentPacket> Parked;
};

/// The answer that was given to a hand-over.
struct GivenReply {
  ControlPtr Message;
  TimePoint At;
};

struct Flows::State {
  State(AgentIdentity Self, uint64_t Seed, FlowStateStore &Store);

  FlowsContext Context;
  FlowStateStore &Store;
  Peers Others;
  Membership Members;
  OwnLoad Load;
  TimePoint LastRun = TimePoint::min();
  TimePoint LastSweep = TimePoint::min();

  // Held here.
  FlowTable<HeldFlow> Held;
  FlowTable<TimePoint> Tombstones;
  std::deque<Endpoint> Unregistered;
  std::deque<Endpoint> ToRefresh;
  std::map<uint64_t, RegisterBatch> Registering;
  uint64_t ScannedView = 0;
  TimePoint NextRefresh = TimePoint::min();
  /// Per peer, the last count of lapses of this agent that was acted on.
  std::map<AgentRef, uint32_t> LapsesSeen;
  bool WasListed = false;

  // As a home.
  Directory Known;
  FlowTable<Located> Locating;
  FlowTable<Promise> Promises;
  std::vector<Endpoint> ToAsk;
  TimePoint LastAsked = TimePoint::min();
  /// Over Locating and hand-overs.
  size_t ParkedPackets = 0;
  size_t ParkedBytes = 0;

  // Leaving.
  bool StopWanted = false;
  /// When an agent was last known that might take flows.
  TimePoint LastSuccessor;
  /// Since when no flow is left here, while stopping.
  std::optional<TimePoint> EmptySince;
  TimePoint LastMoved = TimePoint::min();
  FlowTable<MovedFlow> Moved;
  std::map<uint64_t, HandOverBatch> HandOvers;
  std::map<std::pair<AgentRef, uint64_t>, GivenReply> GivenReplies;

  // flows.cpp
  /// What follows from any event: registrations, the announced view.
  void conclude(TimePoint Now, FlowsOutput &Out);
  void noteRun(TimePoint Now);
  wire::Load ownLoad() const;
  void setLeaving(bool Leaving, TimePoint Now);

  // packets.cpp
  void onRequest(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  bool admits(const AgentPacket &Packet, FlowsOutput &Out);
  void answerProbe(const AgentPacket &Packet, FlowsOutput &Out);
  void deliver(AgentPacket Packet, HeldFlow &Flow, TimePoint Now,
               FlowsOutput &Out);
  bool forwardMoved(AgentPacket &Packet, FlowsOutput &Out);
  void onPlaced(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void pass(AgentPacket Packet, const Peer &To, bool Placed, FlowsOutput &Out);
  void giveBack(AgentPacket Packet, const Peer &Placer, FlowsOutput &Out);
  void toHome(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void refuse(const AgentPacket &Packet, FlowsOutput &Out);
  void drop(const AgentPacket &Packet, std::string_view Why, FlowsOutput &Out);
  /// False when the bounds are reached.
  bool park(AgentPacket &Packet, std::vector<AgentPacket> &Into);
  std::vector<AgentPacket> unpark(std::vector<AgentPacket> &From);

  // home.cpp
  void routeAsHome(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void place(AgentPacket Packet, AgentId Except, TimePoint Now,
             FlowsOutput &Out);
  void toHolder(AgentPacket Packet, AgentRef Holder, TimePoint Now,
                FlowsOutput &Out);
  void know(Endpoint Caller, const Claim &By, TimePoint Now);
  /// Empty when the holder is known from now on; else the claim that wins.
  std::optional<Claim> registerFlow(Endpoint Caller, const Claim &By,
                                    TimePoint Now, FlowsOutput &Out);
  Claim ownClaim(const HeldFlow &Flow) const;
  void onRegister(const wire::ControlMessage &Value, const Peer &From,
                  TimePoint Now, FlowsOutput &Out);
  void onUnregister(const wire::ControlMessage &Value);
  void sweepHome(TimePoint Now);

  // locate.cpp
  void locate(AgentPacket Packet, TimePoint Now, FlowsOutput &Out);
  void ask(TimePoint Now, FlowsOutput &Out);
  void onLocate(const wire::ControlMessage &Value, const Peer &From,
                TimePoint Now, FlowsOutput &Out);
  wire::Located answerLocate(Endpoint Caller, const wire::ControlMessage &Asked,
                             const Peer &From, TimePoint Now, FlowsOutput &Out);
  void onLocateReply(const wire::ControlMessage &Value, const Peer &From,
                     TimePoint Now, FlowsOutput &Out);
  void found(Endpoint Caller, const Claim &By, TimePoint Now, FlowsOutput &Out);
  /// Takes a claim into the directory; the holder that wins.
  AgentRef learn(Endpoint Caller, const Claim &By, TimePoint Now,
                 FlowsOutput &Out);
  void yieldTo(Endpoint Caller, const Peer &To, FlowsOutput &Out);
  void resolve(Endpoint Caller, TimePoint Now, FlowsOutput &Out);
  void tickLocate(TimePoint Now, FlowsOutput &Out);

  // holder.cpp
  bool mayAccept(Endpoint Caller) const;
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
  bool registered() const;
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
  bool doneLeaving() const;
};

/// How long ago, in milliseconds, cut to what the wire can carry.
uint32_t ageMs(TimePoint Since, TimePoint Now);
Claim claimOf(AgentRef Holder, const wire::Flow &Value, TimePoint Now);
void setClaim(wire::Flow &Target, const Claim &By, TimePoint Now);
void setClaim(wire::Located &Target, const Claim &By, TimePoint Now);

/// Names a home and its incarnation in a few bytes; never 0.
uint32_t homeTag(AgentRef Home);

Event flowEvent(EventKind Kind, const FlowKey &Flow, AgentId Agent);

} // namespace dragonflystall

#endif
