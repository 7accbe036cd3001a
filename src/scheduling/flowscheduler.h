// Requests of flows at one upstream: which of them pass now, and the packets of
// those that wait. Load pattern: see requestscheduler.h. The gate, which knows
// the flows, tells when requests begin and end.
#ifndef DRAGONFLYSTALL_SRC_SCHEDULING_FLOWSCHEDULER_H
#define DRAGONFLYSTALL_SRC_SCHEDULING_FLOWSCHEDULER_H

#include "scheduling/heldpackets.h"
#include "scheduling/requestscheduler.h"
#include "scheduling/serviceclasses.h"

#include <utility>

namespace dragonflystall::scheduling {

/// Where a flow's request is.
enum class Stage : uint8_t {
  None,    ///< There is none, or it is not scheduled.
  Waiting, ///< Its packets are held.
  Running, ///< It was passed and counts towards the limit.
};
constexpr std::array<std::string_view, 3> StageNames = {"none", "waiting",
                                                        "running"};
constexpr std::string_view name(Stage S) {
  return StageNames[static_cast<size_t>(S)];
}

/// How the waiting of a request ended.
enum class WaitEnd : uint8_t {
  Released,  ///< It was passed to the upstream in its turn.
  Expired,   ///< Its timeout passed; its packets were dropped.
  Abandoned, ///< Its caller reset the flow; its packets were dropped.
  Unheld,    ///< It was passed out of turn, since it could not be held longer.
};
constexpr std::array<std::string_view, 4> WaitEndNames = {
    "released", "expired", "abandoned", "unheld"};
constexpr std::string_view name(WaitEnd E) {
  return WaitEndNames[static_cast<size_t>(E)];
}

/// A request that no longer waits.
struct EndedWait {
  WaitEnd End = WaitEnd::Released;
  WaitingRequest Request;
  opaque::FlowId Flow;
  Duration Waited{};
  /// Of the held data, to recognize a copy of it as a new request.
  uint32_t FirstSequence = 0;
};

class FlowScheduler {
public:
  /// Call regularly. Slots is 0 while the upstream
  /// is not known; nothing is scheduled then.
  void update(const opaque::Manifest &Manifest, const std::string &Service,
              uint32_t Slots);
  bool isActive() const { return IsActive_; }
  uint8_t rankOf(const opaque::Route *Route) const {
    return Classes_.rankOf(Route);
  }

  /// Begins a request on a flow if scheduling is active. Asked is when the
  /// caller began the request, as far as this agent knows; ZoneOf is called
  /// only if the request has to wait.
  template <typename ZoneLookup>
  Stage begin(uint64_t Key, const opaque::Route *Route, TimePoint Asked,
              const PacketHead &Head, std::string_view Bytes, TimePoint Now,
              ZoneLookup ZoneOf) {
    if (!IsActive_)
      return Stage::None;
    if (Order_.hasRoom() || Bytes.empty() || !Route)
      return startNow();
    return beginWait(Key, *Route, Asked, Head, Bytes, Now, ZoneOf());
  }
  /// Holds a further packet of a waiting request. If there is no room, releases
  /// the request with this packet; returns whether it still waits.
  bool holdMore(uint64_t Key, const PacketHead &Head, std::string_view Bytes,
                TimePoint Now);
  /// Call when a running request has ended.
  void finish() { Order_.finish(); }
  void onAnswered(Duration ResponseTime) { Order_.onAnswered(ResponseTime); }

  /// Releases the requests for which there is room. Each of them is Running.
  std::vector<EndedWait> release(TimePoint Now);
  /// Drops the requests whose timeout has passed.
  std::vector<EndedWait> expire(TimePoint Now);
  /// Drops a request whose caller has given it up.
  void abandon(uint64_t Key, TimePoint Now);
  /// Releases a request out of turn. It does not count as running.
  void releaseUnscheduled(uint64_t Key, TimePoint Now);
  /// The same for all; call when the upstream has lost its flows, or when the
  /// requests are no longer scheduled.
  std::vector<EndedWait> releaseAll(TimePoint Now);
  void forgetRunning() { Order_.forgetRunning(); }

  size_t waiting() const { return Order_.waiting(); }
  size_t waitingOf(uint8_t Rank) const { return Order_.waitingOf(Rank); }
  size_t heldBytes() const { return Packets_.bytes(); }
  uint32_t running() const { return Order_.running(); }
  Duration meanResponse() const { return Order_.meanResponse(); }

  bool hasReleased() const { return !Released_.empty(); }
  /// The packets to send to the upstream now, in this order.
  std::vector<HeldPacket> takeReleased() {
    return std::exchange(Released_, {});
  }
  /// What has ended since the last call, for logs and metrics.
  std::vector<EndedWait> takeEndedWaits() { return std::exchange(Ended_, {}); }

private:
  /// Limit on the ended waits that are kept for logs and metrics.
  static constexpr size_t MaxEnded = 4 * RequestScheduler::MaxWaiting;

  Stage startNow() {
    Order_.start();
    return Stage::Running;
  }
  Stage beginWait(uint64_t Key, const opaque::Route &Route, TimePoint Asked,
                  const PacketHead &Head, std::string_view Bytes, TimePoint Now,
                  uint32_t CallerZone);
  /// Index of a zone by the hash of its name.
  uint8_t zoneIndex(uint32_t Zone);
  /// Ends a wait: drops the packets or moves them to Released_.
  EndedWait end(const WaitingRequest &Request, WaitEnd How, TimePoint Now);

  bool IsActive_ = false;
  ServiceClasses Classes_;
  RequestScheduler Order_;
  HeldPackets Packets_; ///< Of the requests that wait in Order_.
  std::vector<uint32_t> Zones_;
  std::vector<HeldPacket> Released_;
  std::vector<EndedWait> Ended_;
};

} // namespace dragonflystall::scheduling

#endif
