// Checks the users' rules against the events that callers, upstreams and
// operators observe during a soak.
#ifndef DRAGONFLYSTALL_SOAK_RULECHECKER_H
#define DRAGONFLYSTALL_SOAK_RULECHECKER_H

#include "opaque/manifest.h"
#include "opaque/packet.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystall::soak {

/// Bounds of the users' rules.
/// A component counts as stable this long after its last disturbance.
constexpr Duration SettleTime = 4s;
/// While a service is short of capacity, at most this share of its less urgent
/// requests is answered. Otherwise nothing was checked.
constexpr double MaxShareInShortage = 0.9;
/// The served share of urgent requests may be lower than that of the others by
/// chance: by this number of standard errors.
constexpr double ChanceMargin = 3;
/// A service is restored this long after a loss of power, from the last start
/// of a process or upstream: a balancer gives up an agent that does not return
/// after 5 s, and upstreams are cold for 2 s.
constexpr Duration PowerRecoveryTime = 7s;
/// Least share of the requests that a restored service answers.
constexpr double MinAnsweredShare = 0.99;
/// Longest time after the removal of a route in which flows may open on it.
constexpr Duration RouteRemovalTime = 3s;
/// Longest time after the acknowledgement of a drain in which flows may open at
/// the upstream.
constexpr Duration DrainTime = 3s;
/// Longest time after the evacuation of a zone in which flows may open in it.
constexpr Duration EvacuationTime = 5s;
/// Packets of an established flow reach its holder again within this time.
constexpr Duration FlowRepairTime = 2s;
/// New flows per second that a service allows to a cold upstream.
constexpr double ColdFlowsPerSecond = 3;
/// A cold upstream gets at most ColdFlowsPerSecond * ColdFactor + ColdSlack new
/// flows in a second.
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;

/// Number of requests of a kind, and how many of them were answered.
struct ServedShare {
  uint64_t Served = 0;
  uint64_t Asked = 0;

  double value() const {
    return static_cast<double>(Served) /
           static_cast<double>(std::max<uint64_t>(Asked, 1));
  }
};

/// Tracks when a component was last disturbed by a fault.
class StabilityTracker {
public:
  void disturbUntil(TimePoint End) {
    DisturbedUntil_ = std::max(DisturbedUntil_, End);
  }
  /// Whether the last disturbance ended more than SettleTime ago.
  bool isStable(TimePoint Now) const {
    return Now - DisturbedUntil_ > SettleTime;
  }

private:
  TimePoint DisturbedUntil_{};
};

/// The state of a host with an agent and an upstream that the rules refer to.
struct CheckedHost {
  std::string Name;
  std::string Zone;
  /// Covers the agent's process, its connection to the store, the upstream and
  /// the connection between agent and upstream.
  StabilityTracker Stability;
  std::string Service;
  TimePoint ColdUntil{};
  std::deque<TimePoint> RecentSyns; ///< SYNs of new flows in the last second.
  TimePoint DrainAcknowledged{}; ///< The epoch unless a drain is acknowledged.
};

class RuleChecker {
public:
  // Operators' changes, reported when the store has acknowledged them.
  void onManifest(const opaque::Manifest &Manifest, TimePoint Now);
  void onEvacuation(const std::string &Zone, TimePoint Now);
  void onEvacuationEnd(const std::string &Zone) { EvacuatedZones_.erase(Zone); }
  /// Marks the store as disturbed until the given time.
  void disturbStore(TimePoint End) { Store_.disturbUntil(End); }

  /// A caller has sent a packet to the balancer whose stability is given; the
  /// reference is kept.
  void onSent(const opaque::FlowId &Flow, const StabilityTracker &Balancer) {
    BalancerStability_[Flow] = &Balancer;
  }
  /// The caller has finished with a flow.
  void onFinished(const opaque::FlowId &Flow) {
    BalancerStability_.erase(Flow);
  }
  /// An upstream has received the first SYN of a flow.
  void onSyn(CheckedHost &Host, const opaque::FlowId &Flow, TimePoint Now);
  /// An upstream has received the packet that completes a handshake.
  void onEstablished(CheckedHost &Host, const opaque::FlowId &Flow);
  void onClosed(const opaque::FlowId &Flow) { OpenFlows_.erase(Flow); }
  /// An upstream has terminated and lost all its flows.
  void onCrash(const CheckedHost &Host);
  /// A packet of a flow other than a SYN has reached an upstream.
  void onPacket(const CheckedHost &Host, const opaque::FlowId &Flow,
                TimePoint Now);
  /// A caller has accepted a reset that was generated between it and the
  /// upstream.
  void onReset(const opaque::FlowId &Flow, TimePoint Now);
  /// The requests of a service, of two priorities, while it was short of
  /// capacity.
  void onShortage(const ServedShare &Urgent, const ServedShare &Other,
                  TimePoint Now);
  /// The requests after faults and the time for the recovery from them.
  void onRecovery(std::string_view Faults, const ServedShare &All,
                  TimePoint Now);
  /// A packet differs from what its sender wrote.
  void onModifiedPacket(std::string_view Receiver, TimePoint Now) {
    reportViolation(Now, std::string("a packet was modified on its way to ") +
                             std::string(Receiver));
  }
  void reportViolation(TimePoint Now, const std::string &Text);

  const std::vector<std::string> &violations() const { return Violations_; }
  /// What was counted in the last shortage.
  const std::string &shortage() const { return Shortage_; }
  void setStart(TimePoint Start) { Start_ = Start; }

private:
  struct OpenFlow {
    CheckedHost *Holder;
    /// Arrival times of packets at other upstreams since the last packet that
    /// reached the holder.
    std::deque<TimePoint> Misdelivered;
  };

  /// Whether the balancer that receives the flow's packets is stable.
  bool isBalancerStable(const opaque::FlowId &Flow, TimePoint Now) const;
  void checkRoute(const CheckedHost &Host, const opaque::FlowId &Flow,
                  TimePoint Now);

  TimePoint Start_{};
  StabilityTracker Store_;
  opaque::Manifest Manifest_;
  /// Removed routes and the times of their removal.
  std::map<Endpoint, TimePoint> RemovedRoutes_;
  std::map<std::string, TimePoint> EvacuatedZones_;
  /// The services of all routes in all manifests so far.
  std::map<Endpoint, std::set<std::string>> RouteServices_;
  std::map<opaque::FlowId, OpenFlow> OpenFlows_;
  /// Stability of the balancer to which a flow's last packet was sent.
  std::map<opaque::FlowId, const StabilityTracker *> BalancerStability_;
  std::vector<std::string> Violations_;
  std::string Shortage_;
};

} // namespace dragonflystall::soak

#endif
