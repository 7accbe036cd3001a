// Hedged openings: sends a second copy of a SYN to another agent if the first
// upstream seems not to have answered in time.
//
// Load pattern: one upstream is slow, or a packet of a handshake was lost,
// while others have room. Without a hedge, the caller waits 200 ms before it
// repeats its SYN. No request has run before a flow is open, and the caller's
// next packet decides at which upstream the flow opens.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPENINGS_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPENINGS_H

#include "hedging/delayestimate.h"
#include "hedging/hedgebudget.h"
#include "opaque/directory.h"
#include "opaque/syndeadlines.h"

#include <functional>

namespace dragonflystall::opaque {

struct HedgeLimits {
  /// Of the new flows of each service; 0: hedging is off.
  double Percent = 0;
  /// Also for routes whose requests may not be repeated.
  bool AllKinds = false;
};

enum class OpeningHedgeResult : uint8_t {
  Sent,
  Won,  ///< The flow opened at the second upstream.
  Lost, ///< A hedge was sent, and the flow opened elsewhere or not at all.
  RefusedBudget, ///< The limit is reached.
  RefusedRoom,   ///< The service or its other upstreams are short of room.
  RefusedKind,   ///< The route's requests may not be repeated.
};
constexpr std::array<std::string_view, 6> OpeningHedgeResultNames = {
    "sent", "won", "lost", "refused-budget", "refused-room", "refused-kind"};
constexpr std::string_view name(OpeningHedgeResult R) {
  return OpeningHedgeResultNames[static_cast<size_t>(R)];
}

/// The decision on a flow whose delay has passed, with its inputs.
struct HedgeDecision {
  OpeningHedgeResult Result = OpeningHedgeResult::RefusedRoom;
  std::string Service;
  Duration Waited{}; ///< Since the first copy was placed.
  Duration Delay{};
  size_t Observations = 0; ///< That Delay was computed from.
  const Agent *First = nullptr;
  const Agent *Second = nullptr; ///< nullptr unless Result is Sent.
  HeldPacket Syn;
};

/// Tracks flows from the placing of their SYN until it is known where they
/// opened. While hedging is off, no flow is added; those that are tracked are
/// concluded.
class Openings {
public:
  /// Time after the caller's first packet at which a flow counts as open at the
  /// upstream that its packets are sent to: several round trips.
  static constexpr Duration SettleTime = 400ms;
  /// No hedge is sent for this time after a new flow of the service was
  /// refused: two intervals of the agents' reports, so that new ones tell
  /// whether there is room again.
  static constexpr Duration RefusalTime = 1s;
  /// A caller repeats data that was not answered after 200 ms; a packet that
  /// the network has duplicated comes sooner.
  static constexpr Duration RepetitionTime = 100ms;
  /// Flows beyond this number are not tracked.
  static constexpr size_t MaxTracked = 2048;
  /// The same for services; each takes up to 20 KB.
  static constexpr size_t MaxServices = 256;
  /// Limit on the copies of one flow's SYN that are tracked.
  static constexpr size_t MaxCopies = 8;

  /// What operators see of a service.
  struct ServiceCounts {
    std::array<uint64_t, OpeningHedgeResultNames.size()>
        Flows{};             ///< By OpeningHedgeResult.
    double ExtraPercent = 0; ///< Hedges of the last minute.
  };

  Openings(const Configuration &Config, Directory &Agents)
      : Config_(Config), Agents_(Agents) {}

  /// May be called at any time.
  void setLimits(HedgeLimits Limits);
  bool isOn() const { return Limits_.Percent > 0; }
  /// False for nearly all flows that are not tracked. Cheap enough for each
  /// packet of an open flow.
  bool mayTrack(uint64_t Hash) const {
    return FlowsPerBucket_[Hash % FlowsPerBucket_.size()] > 0;
  }

  /// Call when a copy of a flow's SYN was placed. IsFirst: no other copy was
  /// placed or queued before.
  void onPlaced(const PacketHead &Head, std::string_view Bytes,
                const std::string &Service, const Agent &Target, bool IsFirst,
                TimePoint Now);
  /// Call for each packet without SYN of a flow with mayTrack(). Returns the
  /// agent that it is to be sent to; nullptr: to the one in the cache.
  Agent *onPacket(uint64_t Hash, const PacketHead &Head, TimePoint Now);
  /// Call when the agent at this address has returned a copy of the SYN.
  /// Returns true if the copy is to be dropped, because another upstream may
  /// accept the flow or has accepted it.
  bool onSynReturned(uint64_t Hash, Endpoint Sender);
  /// Call when the agent at this address has returned another packet. Returns
  /// the agent where the flow may have opened instead; nullptr if none is
  /// known.
  Agent *onPacketReturned(uint64_t Hash, Endpoint Sender, TimePoint Now);
  /// Call when a new flow of the service was refused, so that its caller gets a
  /// reset. A return from one agent, after which it is placed again, is none.
  void onRefusal(const std::string &Service, TimePoint Now);
  /// The agents that have a copy of a hedged flow's SYN, see
  /// Directory::triedBit; 0 if the flow was not hedged.
  uint32_t triedBits(uint64_t Hash);
  /// Where the caller's repetition of a hedged flow's SYN goes if no other
  /// agent is left: the first one that has not refused; nullptr if there is
  /// none.
  Agent *repeatTarget(uint64_t Hash);

  /// Whether some flow waits for the decision on a hedge.
  bool hasPending() const { return Pending_ > 0; }
  /// Decides on the flows whose delay has passed. IsWaiting tells whether new
  /// flows of a service wait.
  std::vector<HedgeDecision>
  decide(const std::function<bool(const std::string &)> &IsWaiting,
         TimePoint Now);
  /// Call regularly: concludes flows that are settled or given up.
  void expire(TimePoint Now);

  size_t tracked() const { return Flows_.size(); }
  /// By service.
  std::map<std::string, ServiceCounts> counts(TimePoint Now) const;

private:
  struct Copy {
    AgentId To = AgentId::None;
    TimePoint PlacedAt{};
    bool Denied = false; ///< The agent has returned a packet of the flow.
  };
  struct Opening {
    std::string Service;
    TimePoint StartedAt{};
    HeldPacket Syn; ///< Empty once a hedge was decided on.
    std::vector<Copy> Copies;
    bool Decided = false;
    /// The index of the hedge in Copies, after the copy that it is for; 0 if
    /// none was sent.
    size_t Hedge = 0;
    /// Of the caller's first packet after the SYN.
    std::optional<TimePoint> AnsweredAt;
    /// Where packets are sent once AnsweredAt is set; AgentId::None before.
    AgentId Guess = AgentId::None;
    /// The first data since Guess was set, by which its repetition is known.
    uint32_t DataSequence = 0;
    std::optional<TimePoint> DataAt;

    bool isPending() const { return !Decided && !AnsweredAt; }
    bool isHedged() const { return Hedge > 0; }
    /// Copies that were not denied.
    size_t outstanding() const;
  };
  struct Due {
    uint64_t Hash;
    TimePoint PlacedAt;
  };
  struct ServiceState {
    hedging::DelayEstimate Delay;
    hedging::HedgeBudget Budget;
    std::deque<Due> Placed; ///< Oldest first; may name flows that are gone.
    TimePoint RefusedAt{};
    /// The shortest recent time to a caller's answer.
    Duration Shortest{};
    std::array<uint64_t, OpeningHedgeResultNames.size()> Counts{};

    void count(OpeningHedgeResult R) { ++Counts[static_cast<size_t>(R)]; }
    void record(Duration Time, TimePoint Now);
  };

  Opening *find(uint64_t Hash);
  ServiceState *stateOf(const std::string &Service);
  void start(const PacketHead &Head, std::string_view Bytes,
             const std::string &Service, const Agent &Target, TimePoint Now);
  /// Marks the copy at the address as denied; returns false if there is none.
  bool deny(Opening &Flow, Endpoint Sender);
  /// The copy that the caller's answer belongs to most probably; nullptr if all
  /// are denied.
  static const Copy *likelyCopy(const Opening &Flow, const ServiceState &State,
                                TimePoint AnsweredAt);
  /// If the caller has repeated its data, because the upstream of Guess does
  /// not answer, changes Guess to another one.
  void reconsider(Opening &Flow, const PacketHead &Head, TimePoint Now);
  void markDecided(Opening &Flow);
  /// Winner is where the flow is open; AgentId::None if not known.
  void conclude(uint64_t Hash, AgentId Winner, TimePoint Now);
  /// Whether the flow still waits for a decision, since the item's time.
  bool isCurrent(const Due &Item);
  void dropOutdated(ServiceState &State);
  HedgeDecision
  decideOn(Opening &Flow, ServiceState &State,
           const std::function<bool(const std::string &)> &IsWaiting,
           TimePoint Now);
  /// std::nullopt if a hedge may be sent, provided that an agent has room.
  std::optional<OpeningHedgeResult>
  refusalOf(const Opening &Flow, const ServiceState &State,
            const std::function<bool(const std::string &)> &IsWaiting,
            TimePoint Now) const;
  OpeningHedgeResult send(Opening &Flow, ServiceState &State,
                          HedgeDecision &Decision, TimePoint Now);

  const Configuration &Config_;
  Directory &Agents_;
  HedgeLimits Limits_;
  std::unordered_map<uint64_t, Opening> Flows_;
  std::map<std::string, ServiceState> Services_;
  size_t Pending_ = 0; ///< Number of Flows_ with isPending().
  /// Number of Flows_ by the low bits of their hash. Small enough for the
  /// processor's first cache.
  std::array<uint16_t, 4096> FlowsPerBucket_{};
};

} // namespace dragonflystall::opaque

#endif
