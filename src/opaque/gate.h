// The agent's packet filter for opaque flows. Every packet to and from the
// local upstream passes through the gate. The gate alone decides whether a new
// flow is admitted, so a balancer with an outdated view can do no harm.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_GATE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_GATE_H

#include "opaque/control.h"
#include "opaque/forwardingstate.h"
#include "opaque/outcomes.h"
#include "opaque/upstream.h"
#include "scheduling/flowscheduler.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace dragonflystall::opaque {

enum class GateReason : uint8_t {
  Admitted,     ///< SYN of a new flow, passed to the upstream.
  Passed,       ///< Other packet of a caller, passed to the upstream.
  Answered,     ///< Packet of the upstream, passed to the caller.
  Bounced,      ///< The upstream returned the packet.
  NoRoute,      ///< Refused: the destination is not in the manifest.
  WrongService, ///< Refused: the route does not name the upstream's service.
  Misaddressed, ///< Refused: the packet is meant for another agent.
  NotTaking,    ///< Refused: the intake state does not allow it.
  OverBudget,   ///< Refused: the cold-start budget is used up.
  Full,         ///< Refused: the upstream has too many requests.
  Stray,        ///< Dropped: a balancer may not send this packet.
  Held,         ///< Held: the upstream has too many requests.
};
constexpr std::array<std::string_view, 12> GateReasonNames = {
    "admitted",    "passed",        "answered",     "bounced",
    "no-route",    "wrong-service", "misaddressed", "not-taking",
    "over-budget", "full",          "stray",        "held"};
constexpr std::string_view name(GateReason R) {
  return GateReasonNames[static_cast<size_t>(R)];
}

/// The gate's decision on one packet.
struct GateAction {
  enum class Kind : uint8_t {
    ToUpstream,
    ToCaller,
    ToBalancer,
    Drop,
    Hold, ///< The gate has copied the packet; see Gate::takeReleased().
  };

  Kind Disposition = Kind::Drop;
  GateReason Reason = GateReason::Stray;
  /// ToBalancer: the balancer that sent the packet.
  Endpoint Balancer;
  /// ToBalancer: the forwarding state to write into the packet.
  ForwardingState Forwarding;
  /// Whether to tell the balancer that this agent's upstream holds the flow.
  bool AnnounceHolder = false;
  /// ToCaller, first packet of an answer: the time since the request.
  std::optional<Duration> ResponseTime = {};
  /// ToCaller: the upstream had seemed younger than this agent, and the flow
  /// shows that it is older.
  bool ShowsOlderStart = false;
};

class Gate {
public:
  Gate(const Configuration &Config, Upstream &LocalUpstream, AgentId Self,
       std::string Service, size_t MaxFlows, TimePoint Started)
      : Config_(Config), Upstream_(LocalUpstream), Self_(Self),
        Service_(std::move(Service)), CompleteSince_(Started) {
    Flows_.reserve(MaxFlows / 4);
  }

  /// Decides on a packet that a balancer sent. Bytes is the whole packet, which
  /// may have to wait; without it, the packet is not held.
  GateAction fromBalancer(const PacketHead &Head, Endpoint Balancer,
                          TimePoint Now, std::string_view Bytes = {});
  /// Decides on a packet that the upstream sent.
  GateAction fromUpstream(const PacketHead &Head, TimePoint Now);
  /// Whether the upstream holds a flow, as far as the agent can tell;
  /// std::nullopt if it may, and the upstream has sent nothing recently.
  std::optional<Holding> holding(const FlowId &Flow, TimePoint Now) const;
  /// Call regularly: removes idle flows and counts overdue requests.
  void tick(TimePoint Now);
  /// Call when the upstream has restarted: it holds none of the flows.
  void forgetFlows(TimePoint Now);
  /// Call when the upstream may have started before this agent: it may hold
  /// flows that are not known here.
  void onUnseenStart(TimePoint Now);

  /// Whether there are held packets to send to the upstream. Check it after
  /// each call that decides on a packet, tick() and forgetFlows(), and send
  /// them in their order.
  bool hasReleased() const { return Scheduler_.hasReleased(); }
  std::vector<HeldPacket> takeReleased() { return Scheduler_.takeReleased(); }
  /// Requests that no longer wait, since the last call.
  std::vector<scheduling::EndedWait> takeEndedWaits() {
    return Scheduler_.takeEndedWaits();
  }
  /// The waiting and running requests, for logs and metrics.
  const scheduling::FlowScheduler &scheduler() const { return Scheduler_; }
  /// ZoneOf returns a hash of the zone of a balancer.
  void setZoneLookup(std::function<uint32_t(Endpoint)> ZoneOf) {
    ZoneOf_ = std::move(ZoneOf);
  }

  /// The service of the local upstream.
  const std::string &service() const {
    return Upstream_.isKnown() ? Upstream_.service() : Service_;
  }
  size_t openFlows() const { return Flows_.size(); }
  /// Requests in progress: the larger of the present number and the average
  /// over about a second.
  double busy(TimePoint Now);
  /// Share of recent requests that failed, 0 to 1; see Outcomes.
  double failureShare() const { return Outcomes_.failureShare(); }
  /// How long the upstream works on a request; see Outcomes::workTime.
  Duration workTime() const { return Outcomes_.workTime(); }
  /// Requests begun per second, averaged over about a second.
  double requestRate(TimePoint Now) {
    averageBusy(Now);
    return RequestRate_;
  }

private:
  struct Flow {
    Endpoint Balancer;      ///< Sender of the flow's last caller packet.
    bool Busy = false;      ///< SYN or request without an answer.
    bool HasData = false;   ///< The caller has sent data.
    bool Searched = false;  ///< The balancer has to be told the holder.
    bool Confirmed = false; ///< The upstream has answered after the SYN-ACK.
    bool Overdue = false;   ///< The request was counted as failed.
    /// Not None only while Busy.
    scheduling::Stage Stage = scheduling::Stage::None;
    uint8_t Rank = 0; ///< Of its route's priority; may change while not Busy.
    uint32_t NextSequence = 0; ///< Sequence number after the caller's data.
    TimePoint OpenedAt{};      ///< Of its SYN; not set if this agent saw none.
    TimePoint BusySince{};
    /// When the first data of the request in progress was passed to the
    /// upstream; not set if there is none.
    TimePoint PassedAt{};
    bool FoundFreeSlot = false; ///< At PassedAt.
    TimePoint LastUsed{};
  };

  GateAction admitFlow(const PacketHead &Head, Endpoint Balancer,
                       TimePoint Now);
  GateAction refuse(const PacketHead &Head, Endpoint Balancer,
                    GateReason Reason);
  GateAction returnBounced(const PacketHead &Head, TimePoint Now);
  /// Records that the upstream does not hold a flow.
  void markReturned(uint64_t Hash, TimePoint Now);
  /// Whether a packet of the upstream shows that it is older than this agent,
  /// though it had seemed younger. Entry is nullptr if the flow is not known.
  bool showsOlderStart(const PacketHead &Head, const Flow *Entry);
  /// Returns whether the packet carries data beyond NextSequence, which then
  /// includes it.
  static bool recordNewData(Flow &Entry, const PacketHead &Head);
  /// Whether a packet without SYN can be passed to the upstream.
  bool canPass(const ForwardingState &Forwarding, TimePoint Now) const;
  /// Whether the upstream may hold the flow. An open flow stays where it is
  /// when its route names other services, so the present route alone does not
  /// tell.
  bool mayHold(const FlowId &Flow, TimePoint Now) const;
  /// Whether the upstream's slots allow one more new flow.
  bool hasRoomFor(const ForwardingState &Forwarding, uint8_t Rank) const;
  /// Requests and opening flows that count against a new flow of the rank:
  /// those that are at least as urgent.
  uint32_t busyFor(uint8_t Rank) const;
  /// Whether Flows_ contains all flows that the upstream holds.
  bool isTableComplete(TimePoint Now) const;
  void expireOpenings(TimePoint Now);
  /// Removes idle flows, and requests that were busy for too long.
  void sweep(TimePoint Now);
  /// Records that the caller has sent a request, which may have to wait. Asked
  /// is when the caller began it, as far as is known.
  void beginRequest(Flow &Entry, uint64_t Hash, const PacketHead &Head,
                    TimePoint Asked, std::string_view Bytes, TimePoint Now);
  /// Records when a request's first data was passed to the upstream.
  void recordBegin(Flow &Entry, TimePoint Now);
  /// Records that a request was passed to the upstream.
  void passRequest(Flow &Entry, uint64_t Hash, TimePoint Now);
  /// Decides on a further packet of a flow whose request waits.
  GateAction joinWait(Flow &Entry, uint64_t Hash, const PacketHead &Head,
                      std::string_view Bytes, TimePoint Now);
  /// Ends the waiting of requests that have expired or may pass.
  void schedule(TimePoint Now);
  void expireRequests(TimePoint Now);
  void releaseRequests(TimePoint Now);
  void passAllWaiting(TimePoint Now);
  /// Records a flow whose packets the upstream will return.
  void restoreFlow(uint64_t Hash, Endpoint Balancer, TimePoint Now);
  /// Ends the scheduling of a request, so that its place is free.
  void freePlace(Flow &Entry);
  /// If this packet of the upstream ends a request, counts its outcome.
  /// Returns the response time if the request was answered.
  std::optional<Duration> endRequest(Flow &Entry, const PacketHead &Head,
                                     TimePoint Now);
  /// Counts requests without an answer in time as failed.
  void countOverdueRequests(TimePoint Now);
  void setBusy(Flow &Entry, bool Busy, TimePoint Now);
  void averageBusy(TimePoint Now);

  const Configuration &Config_;
  Upstream &Upstream_;
  AgentId Self_;
  std::string Service_; ///< From the settings, until the first heartbeat.
  std::unordered_map<uint64_t, Flow> Flows_;
  uint32_t BusyFlows_ = 0; ///< Number of flows with Busy set.
  /// The same by Flow::Rank.
  std::array<uint32_t, scheduling::MaxPriorities> BusyOfRank_{};
  scheduling::FlowScheduler Scheduler_;
  std::function<uint32_t(Endpoint)> ZoneOf_;
  struct TimedFlow {
    uint64_t Hash;
    TimePoint Time;
  };
  std::deque<TimedFlow> Openings_; ///< Recently passed SYNs, oldest first.
  std::deque<TimedFlow> Requests_; ///< Recently begun requests, oldest first.
  Outcomes Outcomes_;
  double BusyAverage_ = 0;
  double RequestRate_ = 0; ///< Per second, as of AveragedAt_.
  TimePoint AveragedAt_{};
  TimePoint SweptAt_{};
  /// Flows_ contains every open flow that was used since this time; unset if
  /// the upstream started after this agent, so that Flows_ is complete once
  /// that is certain.
  std::optional<TimePoint> CompleteSince_;
  /// Hashes of flows whose packets the upstream has returned, so that it does
  /// not hold them. Empty while the table is complete, which then tells the
  /// same.
  std::unordered_set<uint64_t> Returned_;
};

} // namespace dragonflystall::opaque

#endif
