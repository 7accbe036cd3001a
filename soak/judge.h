// What must hold, judged from what callers, upstreams and operators see.
#ifndef DRAGONFLYSTALL_SOAK_JUDGE_H
#define DRAGONFLYSTALL_SOAK_JUDGE_H

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
constexpr Duration ContactTime = 4s;
constexpr Duration ConfigTime = 3s;
constexpr Duration DrainTime = 3s;
constexpr Duration EvacuationTime = 5s;
constexpr Duration FlowTime = 2s;
constexpr double ColdPerSecond = 3;
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;

/// When something was last disturbed.
class Touch {
public:
  void disturbUntil(TimePoint End) { Until_ = std::max(Until_, End); }
  /// Nothing has disturbed it for ContactTime.
  bool calm(TimePoint Now) const { return Now - Until_ > ContactTime; }

private:
  TimePoint Until_{};
};

/// A host with an agent and an upstream, as far as it is judged.
struct JudgedHost {
  std::string Name;
  std::string Zone;
  /// Process of the agent, its way to the store, its upstream and the way
  /// between the two.
  Touch Contact;
  std::string Service;
  TimePoint ColdUntil{};
  std::deque<TimePoint> Openings; ///< SYNs taken in the last second.
  TimePoint DrainAcknowledged{};  ///< The epoch while it does not drain.
};

class Judge {
public:
  // What operators have done, from the store's acknowledgement on.
  void onManifest(const opaque::Manifest &Manifest, TimePoint Now);
  void onEvacuation(const std::string &Zone, TimePoint Now);
  void onReturn(const std::string &Zone) { Evacuated_.erase(Zone); }
  /// The store is disturbed until then.
  void disturbStore(TimePoint End) { Store_.disturbUntil(End); }

  /// A caller's packet goes to the balancer of this contact, which stays.
  void onSent(const opaque::FlowId &Flow, const Touch &Front) {
    Fronts_[Flow] = &Front;
  }
  /// The caller has finished with a flow.
  void onFinished(const opaque::FlowId &Flow) { Fronts_.erase(Flow); }
  /// An upstream has taken a SYN.
  void onOpening(JudgedHost &At, const opaque::FlowId &Flow, TimePoint Now);
  /// An upstream has got the end of a handshake.
  void onOpen(JudgedHost &At, const opaque::FlowId &Flow);
  void onClosed(const opaque::FlowId &Flow) { Open_.erase(Flow); }
  /// An upstream has ended with all its flows.
  void onCrash(const JudgedHost &At);
  /// Any packet of a flow, but a SYN, has reached an upstream.
  void onPacket(const JudgedHost &At, const opaque::FlowId &Flow,
                TimePoint Now);
  /// A caller has taken a reset that was made on the way.
  void onReset(const opaque::FlowId &Flow, TimePoint Now);
  /// A packet is not as its sender wrote it.
  void onChanged(std::string_view Where, TimePoint Now) {
    fail(Now, std::string("a packet was changed on its way to ") +
                  std::string(Where));
  }
  void fail(TimePoint Now, const std::string &What);

  const std::vector<std::string> &broken() const { return Broken_; }
  void setStart(TimePoint Start) { Start_ = Start; }

private:
  struct OpenFlow {
    JudgedHost *Holder;
    /// Packets that reached other upstreams since the last at its own.
    std::deque<TimePoint> Astray;
  };

  /// Whether the balancer that takes the flow's packets is in touch.
  bool frontCalm(const opaque::FlowId &Flow, TimePoint Now) const;
  void checkRoute(const JudgedHost &At, const opaque::FlowId &Flow,
                  TimePoint Now);

  TimePoint Start_{};
  Touch Store_;
  opaque::Manifest Manifest_;
  /// Routes that were dropped, and when.
  std::map<Endpoint, TimePoint> Dropped_;
  std::map<std::string, TimePoint> Evacuated_;
  std::map<Endpoint, std::string> Services_; ///< Of all routes that ever were.
  std::map<opaque::FlowId, OpenFlow> Open_;
  /// The balancer that a flow's last packet went to.
  std::map<opaque::FlowId, const Touch *> Fronts_;
  std::vector<std::string> Broken_;
};

} // namespace dragonflystall::soak

#endif
