// Queue of new flows at a balancer. Load patterns: a surge of one kind of
// request or of all kinds, and all upstreams cold while every caller returns:
// they take a few new flows per second and are warm a second or two later. A
// caller is better served late than refused three times in a row, and what
// can't be served in time must be the least urgent.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_NEWFLOWQUEUE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_NEWFLOWQUEUE_H

#include "opaque/packet.h"
#include "opaque/syndeadlines.h"

#include <compare>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dragonflystall::opaque {

struct WaitingFlow {
  std::string Service;
  uint32_t Priority = 0; ///< 0 is the most urgent.
  /// The flow must be placed before this time; see SynDeadlines.
  TimePoint Deadline{};
  HeldPacket Packet; ///< The newest copy of the SYN.
  /// Until when the flow should be placed, so that its request can be answered
  /// within the aim of its route.
  TimePoint AimBy = TimePoint::max();

  uint64_t hash() const { return hashOf(Packet.Head.fromCaller()); }
};

class NewFlowQueue {
public:
  /// Each priority with waiting flows keeps 1/ReservedFraction of the places,
  /// so that a surge of another priority can't evict all of them.
  static constexpr size_t ReservedFraction = 8;
  /// Limit on the bytes of all waiting SYNs: some thousands of full packets,
  /// while a balancer has 64 MB at the least.
  static constexpr size_t MaxBytes = size_t{4} << 20;

  /// Queues a flow that is not queued yet. If MaxPerService flows of the
  /// service or MaxBytes are queued, returns the flow that has no place, and is
  /// to be refused: the least urgent one of a priority that has more than its
  /// minimum share of the places. It may be the newcomer.
  std::optional<WaitingFlow> add(WaitingFlow Newcomer, size_t MaxPerService);
  /// Replaces the SYN of a queued flow by a newer copy. Returns whether the
  /// flow is queued.
  bool refresh(uint64_t Hash, const PacketHead &Head, std::string_view Bytes);
  /// Removes and returns up to Count flows of a service: first those that are
  /// not past AimBy, most urgent priority first, then by deadline; then the
  /// others in the same order.
  std::vector<WaitingFlow> take(const std::string &Service, size_t Count,
                                TimePoint Now);
  /// Removes and returns the flows whose deadline has come.
  std::vector<WaitingFlow> expire(TimePoint Now);
  /// Removes and returns the flows of a service that will not be placed in
  /// time: those with a deadline before RoomAt, except for the first Early
  /// flows of the service.
  std::vector<WaitingFlow> takeLate(const std::string &Service,
                                    TimePoint RoomAt, size_t Early);

  /// Number of waiting flows of the service that are at least as urgent, up to
  /// the limit.
  size_t countAhead(const std::string &Service, uint32_t Priority,
                    TimePoint Deadline, size_t Limit) const;
  /// Whether add() would queue a small flow of this urgency.
  bool hasPlaceFor(const std::string &Service, uint32_t Priority,
                   TimePoint Deadline, size_t MaxPerService) const;
  /// Whether the flow is queued.
  bool contains(uint64_t Hash) const { return Index_.count(Hash) > 0; }
  size_t size() const { return Index_.size(); }
  size_t sizeOf(const std::string &Service) const;
  std::vector<std::string> services() const;

private:
  struct Urgency {
    uint32_t Priority;
    TimePoint Deadline;
    uint64_t Serial; ///< In the order of arrival; makes keys unique.
    friend auto operator<=>(const Urgency &, const Urgency &) = default;
  };
  /// Never empty between two calls.
  struct ServiceQueue {
    std::map<Urgency, WaitingFlow> Flows;
    std::map<uint32_t, size_t> Counts; ///< By priority; none is 0.
  };
  struct Location {
    ServiceQueue *Queue;
    Urgency Key;
  };

  /// The flow that has no place if one more of the newcomer's urgency is to be
  /// queued; std::nullopt if it is the newcomer.
  static std::optional<Urgency> findEvicted(const ServiceQueue &Queue,
                                            const Urgency &Newcomer,
                                            size_t MaxPerService);
  static Urgency lastOf(const ServiceQueue &Queue, uint32_t Priority);
  WaitingFlow remove(ServiceQueue &Queue, Urgency Key);
  void eraseIfEmpty(const std::string &Service);

  std::map<std::string, ServiceQueue> Services_;
  std::unordered_map<uint64_t, Location> Index_; ///< By the flow's hash.
  uint64_t LastSerial_ = 0;
  size_t Bytes_ = 0; ///< Of all queued SYNs.
};

} // namespace dragonflystall::opaque

#endif
