// The agent's core for opaque flows: every packet to and from the upstream
// beside it passes here. It alone decides whether a new flow may open, so that
// balancers with stale views break nothing.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_GATE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_GATE_H

#include "opaque/control.h"
#include "opaque/outcomes.h"
#include "opaque/trail.h"
#include "opaque/upstream.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dragonflystall::opaque {

enum class GateReason : uint8_t {
  Admitted,     ///< A new flow, passed to the upstream.
  Passed,       ///< A packet of a flow, passed to the upstream.
  Answered,     ///< From the upstream, passed to the caller.
  Bounced,      ///< The upstream returned it.
  NoRoute,      ///< Refused: not in the manifest.
  WrongService, ///< Refused: the route belongs to another service.
  NotTaking,    ///< Refused: see the intake state.
  OverBudget,   ///< Refused: the upstream is cold and has had its share.
  Full,         ///< Refused: enough requests wait for the upstream.
  Stray,        ///< Not a packet that a balancer may send.
};
constexpr std::array<std::string_view, 10> GateReasonNames = {
    "admitted",      "passed",     "answered",    "bounced", "no-route",
    "wrong-service", "not-taking", "over-budget", "full",    "stray"};
constexpr std::string_view name(GateReason R) {
  return GateReasonNames[static_cast<size_t>(R)];
}

/// What is to become of one packet.
struct GateAction {
  enum class Kind : uint8_t { ToUpstream, ToCaller, ToBalancer, Drop };

  Kind What = Kind::Drop;
  GateReason Why = GateReason::Stray;
  /// ToBalancer: where the packet came from.
  Endpoint Balancer;
  /// ToBalancer: what to write as the packet's trail.
  Trail Way;
  /// Tell the balancer that this agent holds the flow.
  bool TellHolder = false;
  /// ToCaller, the first packet of an answer: how long after the request.
  std::optional<Duration> ResponseTime = {};
};

class Gate {
public:
  Gate(const Configuration &Config, Upstream &Beside, std::string Service,
       size_t MostFlows, TimePoint Started)
      : Config_(Config), Upstream_(Beside), Service_(std::move(Service)),
        SeesAllSince_(Started) {
    Flows_.reserve(MostFlows / 4);
  }

  /// A packet that a balancer sent.
  GateAction fromBalancer(const PacketHead &Head, Endpoint Balancer,
                          TimePoint Now);
  /// A packet that the upstream sent.
  GateAction fromUpstream(const PacketHead &Head, TimePoint Now);
  /// Whether the upstream holds a flow, as far as the agent can tell;
  /// std::nullopt when nothing was heard of the upstream lately.
  std::optional<Holding> holding(const FlowId &Flow, TimePoint Now) const;
  /// Call regularly: forgets idle flows.
  void tick(TimePoint Now);
  /// The upstream started anew: it holds none of these flows.
  void forgetFlows(TimePoint Now);

  /// The service that the upstream beside serves.
  const std::string &service() const {
    return Upstream_.known() ? Upstream_.service() : Service_;
  }
  size_t openFlows() const { return Flows_.size(); }
  /// Requests in progress: now, or on average over about a second if that is
  /// more.
  double busy(TimePoint Now);
  /// Share of the requests that failed lately; see Outcomes.
  double failing() const { return Outcomes_.failing(); }

private:
  struct Flow {
    Endpoint Balancer;     ///< The last one that sent a packet of the flow.
    bool Busy = false;     ///< Its caller has sent data and no answer came yet.
    bool HasData = false;  ///< Its caller has sent data.
    bool Searched = false; ///< The balancer does not know that it is here.
    bool Confirmed = false;    ///< The upstream has answered on the open flow.
    bool Overdue = false;      ///< Its request was counted as failed.
    uint32_t NextSequence = 0; ///< Behind its caller's data so far.
    TimePoint BusySince{};
    TimePoint LastUsed{};
  };

  GateAction open(const PacketHead &Head, Endpoint Balancer, TimePoint Now);
  GateAction refuse(const PacketHead &Head, Endpoint Balancer, GateReason Why);
  GateAction bounced(const PacketHead &Head, TimePoint Now);
  /// Returns whether the packet has data that was not seen before.
  static bool newData(Flow &F, const PacketHead &Head);
  /// Whether a packet of a flow that may be open can be passed on.
  bool passable(const Trail &Way, TimePoint Now) const;
  /// Whether the upstream has room for one more new flow.
  bool roomFor(const Trail &Way) const;
  void endOpenings(TimePoint Now);
  /// A caller has sent a request.
  void begin(Flow &F, uint64_t Hash, TimePoint Now);
  /// Counts how a request ended, if this packet of the upstream ends one, and
  /// returns how long its answer took.
  std::optional<Duration> end(Flow &F, const PacketHead &Head, TimePoint Now);
  /// Counts requests whose answer does not come as failed.
  void countOverdue(TimePoint Now);
  void setBusy(Flow &F, bool Busy, TimePoint Now);
  void averageBusy(TimePoint Now);

  const Configuration &Config_;
  Upstream &Upstream_;
  std::string Service_; ///< By the settings, until the upstream says its own.
  std::unordered_map<uint64_t, Flow> Flows_;
  uint32_t BusyFlows_ = 0; ///< Flows with Busy set.
  struct Passage {
    uint64_t Hash;
    TimePoint At;
  };
  std::deque<Passage> Openings_; ///< SYNs passed lately, oldest first.
  std::deque<Passage> Requests_; ///< Requests begun lately, oldest first.
  Outcomes Outcomes_;
  double BusyAverage_ = 0;
  TimePoint AveragedAt_{};
  TimePoint SweptAt_{};
  /// Every flow that was used since then is in Flows_, if it is open; unset
  /// when the upstream is younger than this agent.
  std::optional<TimePoint> SeesAllSince_;
};

} // namespace dragonflystall::opaque

#endif
