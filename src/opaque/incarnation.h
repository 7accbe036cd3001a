// The identity of an upstream's start, and the one place that compares two.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_INCARNATION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_INCARNATION_H

#include "dragonflystall/clock.h"

#include <cstdint>
#include <deque>
#include <string>

namespace dragonflystall::opaque {

/// One start of an upstream. An upstream may start again under the same id; its
/// flows end with each start.
struct Incarnation {
  std::string Id;
  /// Wall time at the start in milliseconds; 0 if not given. The clock may step
  /// back, so that a later start can have an earlier time.
  int64_t Born = 0;

  bool isSet() const { return !Id.empty(); }
  /// Whether the starts of one id can be told apart.
  bool namesStart() const { return Born != 0; }
  friend bool operator==(const Incarnation &, const Incarnation &) = default;
};

/// Decides which start of an upstream is the present one, from calls that may
/// be late, repeated or reordered, and whose `born` may go back.
///
/// Load pattern: partitions that hold calls up for seconds while upstreams end,
/// start again and lose their address; see docs/design/incarnations.md.
class IncarnationTracker {
public:
  /// How a call was understood.
  enum class Finding : uint8_t {
    Present,  ///< A newer call of the present start.
    Observed, ///< The first call of a start that began after this tracker.
    Running,  ///< The first call of a start that may have begun before.
    Late,     ///< An older call of the present start.
    Ended,    ///< Of a start that has left or was replaced.
    Unproven, ///< Of another start that may have ended before the present one.
  };

  explicit IncarnationTracker(Duration HeartbeatInterval)
      : Interval_(HeartbeatInterval) {}

  /// Call at each heartbeat. PresentIsGone: the present start is certainly
  /// silent for good or there was none at all.
  Finding onHeartbeat(const Incarnation &Start, int64_t Sequence,
                      bool PresentIsGone, TimePoint Now);
  /// Call when a start has said that it leaves.
  void onLeave(const Incarnation &Start);
  /// Call when it is in doubt that the present start still runs.
  void doubtPresent(TimePoint Now);
  /// Whether two calls of the present start, of which no partition can have
  /// held up both, show that it runs.
  bool isProven() const { return IsProven_; }

  /// In heartbeat intervals, the time between two calls of a start that shows
  /// that it runs. Calls that a partition has held up arrive together when it
  /// ends.
  static constexpr double ProofSpacing = 0.5;
  /// The same while another start has been heard: longer than an interval, so
  /// that a start that runs is heard in between. A quarter is for the variation
  /// of the interval.
  static constexpr double ContestSpacing = 1.25;
  /// Limit on the ended starts that are remembered: more than an upstream can
  /// start within the time for which calls are held up.
  static constexpr size_t MaxEnded = 16;

private:
  struct Rival {
    Incarnation Start;
    int64_t Sequence = 0;
    TimePoint Since{}; ///< Its first call after the last one of the present.
  };

  Finding onRival(const Incarnation &Start, int64_t Sequence, TimePoint Now);
  Finding begin(const Incarnation &Start, int64_t Sequence, TimePoint Now);
  void prove(TimePoint Now);
  void remember(const Incarnation &Start);
  bool hasEnded(const Incarnation &Start) const;

  Duration Interval_;
  Incarnation Present_; ///< Unset before the first call.
  int64_t Sequence_ = 0;
  bool IsProven_ = false;
  /// The proof of the present start needs a call this long after ProofFrom_.
  TimePoint ProofFrom_{};
  /// Replaced by the present start; ended once the latter is proven.
  Incarnation Predecessor_;
  Rival Rival_;
  std::deque<Incarnation> Ended_; ///< Oldest first, at most MaxEnded.
};

} // namespace dragonflystall::opaque

#endif
