// The order in which requests reach an upstream that has too few slots. Load
// pattern: requests on open flows and on new flows together exceed the slots,
// for seconds or minutes, and differ in urgency.
#ifndef DRAGONFLYSTALL_SRC_SCHEDULING_REQUESTSCHEDULER_H
#define DRAGONFLYSTALL_SRC_SCHEDULING_REQUESTSCHEDULER_H

#include "dragonflystall/clock.h"

#include <array>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflystall::scheduling {

/// Limit on the priorities that are told apart; the least urgent ones of a
/// service with more of them share the last place.
constexpr size_t MaxPriorities = 4;
/// Limit on the caller zones that are told apart, each with queues of its own
/// for each priority.
constexpr size_t MaxZones = 8;

/// A request that waits for a slot.
struct WaitingRequest {
  uint64_t Key = 0;     ///< Hash of its flow; a flow has one request at most.
  uint8_t Priority = 0; ///< Less than MaxPriorities; 0 is the most urgent.
  uint8_t Zone = 0;     ///< Caller zone, less than MaxZones.
  TimePoint Since{};    ///< When it began to wait.
  /// When the upstream's answer has to leave this agent to reach the caller
  /// within the aim and within the timeout.
  TimePoint AimBy{};
  TimePoint TimeoutBy{}; ///< Not before AimBy.
};

class RequestScheduler {
public:
  /// Limit on waiting requests, which bounds the memory.
  static constexpr size_t MaxWaiting = 1024;
  /// While a priority has waiting requests that can be answered in time, at
  /// least one in this many starts is one of them: enough that a caller's retry
  /// has a chance, and little work taken from more urgent requests.
  static constexpr uint32_t ReservedShare = 8;

  void setSlots(uint32_t Slots) { Slots_ = Slots; }
  /// Number of requests that the upstream has at the same time: one for each
  /// slot, and a reserve of one for each two slots, at least one, so that no
  /// slot is idle while an answer and the next request travel on the host.
  uint32_t limit() const;
  bool hasRoom() const { return Running_ < limit(); }
  uint32_t running() const { return Running_; }
  size_t waiting() const { return Waiting_.size(); }
  size_t waitingOf(uint8_t Priority) const { return WaitingOf_[Priority]; }

  /// Counts a request as passed to the upstream.
  void start() { ++Running_; }
  /// Call when a request that was passed has ended.
  void finish() { --Running_; }
  /// Call when the upstream has lost all requests.
  void forgetRunning() { Running_ = 0; }
  /// Adds a request; false if MaxWaiting are waiting.
  bool add(const WaitingRequest &Request);
  /// Removes a request that no longer waits for a slot.
  std::optional<WaitingRequest> remove(uint64_t Key);
  /// If there is room: removes the request that comes next and counts it as
  /// passed.
  std::optional<WaitingRequest> next(TimePoint Now);
  /// Removes the requests whose timeout has passed, in the order of their
  /// timeouts within a priority.
  std::vector<WaitingRequest> expire(TimePoint Now);
  /// Removes all waiting requests, in the order of priority and zone.
  std::vector<WaitingRequest> takeAll();

  /// Call with the response time of each answer of the upstream.
  void onAnswered(Duration ResponseTime);
  /// Mean response time of recent answers; zero before the first one.
  Duration meanResponse() const { return MeanResponse_; }

private:
  /// What a request can still achieve if it is passed now.
  enum class Outlook : uint8_t { InAim, InTimeout, Late };
  static constexpr std::array<std::string_view, 3> OutlookNames = {
      "in-aim", "in-timeout", "late"};
  friend constexpr std::string_view name(Outlook O) {
    return OutlookNames[static_cast<size_t>(O)];
  }
  /// Ordered by AimBy (InAim) or TimeoutBy, then by key.
  using Order = std::set<std::pair<TimePoint, uint64_t>>;
  /// The waiting requests of one priority and one zone.
  struct Queue {
    std::array<Order, OutlookNames.size()> Requests;
    /// Starts of the zone's requests. A zone whose queue was empty continues
    /// at the least count of the zones that wait.
    uint64_t Starts = 0;

    Order &of(Outlook O) { return Requests[static_cast<size_t>(O)]; }
    bool isEmpty() const;
  };
  struct Entry {
    WaitingRequest Request;
    Outlook Chance = Outlook::InAim;
  };

  static TimePoint dueAt(const Entry &E);
  Queue &queueOf(const WaitingRequest &R) {
    return Queues_[R.Priority][R.Zone];
  }
  /// Lowers the outlook of requests for which too little time is left.
  void updateOutlooks(TimePoint Now);
  void demote(Queue &From, Outlook Now, Outlook Next, TimePoint Before);
  void joinZone(Queue &Joining, uint8_t Priority);
  /// The request that comes next among those of a priority and an outlook.
  std::optional<uint64_t> firstOf(uint8_t Priority, Outlook O);
  /// The same among those that can be answered within their timeout.
  std::optional<uint64_t> firstInTime(uint8_t Priority);
  std::optional<uint64_t> reservedStart();
  std::optional<uint64_t> mostUrgent();
  /// Counts the start for the reserved shares of all priorities.
  void countStart(const WaitingRequest &Started);

  uint32_t Slots_ = 1;
  uint32_t Running_ = 0;
  Duration MeanResponse_{};
  std::unordered_map<uint64_t, Entry> Waiting_;
  std::array<size_t, MaxPriorities> WaitingOf_{};
  /// Starts of other priorities while requests of this one waited and could be
  /// answered in time, since the last start of this one.
  std::array<uint32_t, MaxPriorities> PassedOver_{};
  std::array<std::array<Queue, MaxZones>, MaxPriorities> Queues_;
};

} // namespace dragonflystall::scheduling

#endif
