// What an agent believes of the upstream beside it: whether it lives, whether
// it takes new flows, and how many.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAM_H
#define DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAM_H

#include "opaque/control.h"
#include "opaque/manifest.h"

#include <algorithm>
#include <deque>

namespace dragonflystall::opaque {

/// What an upstream says of itself.
struct Heartbeat {
  std::string Id;
  std::string Service;
  Endpoint Address;
  uint32_t Slots = 1;
  bool Draining = false;
  /// How much longer it stays cold.
  Duration ColdFor{};
  int64_t Sequence = 0;
  /// Milliseconds of wall time at its start: tells two starts apart and says
  /// which is the later one. 0 when not given.
  int64_t Started = 0;
};

/// What became of a heartbeat.
enum class HeartbeatVerdict : uint8_t {
  Taken,
  TakenRunning,  ///< The first that this agent hears; the upstream is older.
  TakenNewStart, ///< The first of a start of the upstream.
  Late,          ///< A later one came before.
  OldStart,      ///< Of a start that another one has followed.
  Elsewhere,     ///< Not of the upstream beside this agent.
};
constexpr std::array<std::string_view, 6> HeartbeatVerdictNames = {
    "taken", "taken-running", "taken-new-start",
    "late",  "old-start",     "elsewhere"};
constexpr std::string_view name(HeartbeatVerdict V) {
  return HeartbeatVerdictNames[static_cast<size_t>(V)];
}

/// At most Limit events in any span of Window.
class SlidingBudget {
public:
  /// A second, and a margin for packets that arrive closer together than they
  /// were sent.
  static constexpr Duration Window = 1100ms;

  /// Counts the whole budget as spent at this moment, for when it is not known
  /// what was spent before.
  void spendAll(TimePoint Now) { NothingBefore_ = Now + Window; }
  /// Nothing was spent but what spend() has counted.
  void nothingBefore() { NothingBefore_ = {}; }
  bool allows(uint32_t Limit, TimePoint Now);
  void spend(TimePoint Now) { Spent_.push_back(Now); }

private:
  std::deque<TimePoint> Spent_;
  TimePoint NothingBefore_{};
};

/// Settings of the deployment for the upstream beside an agent.
struct UpstreamSettings {
  Endpoint Address;
  std::string Zone;
  /// An address may be given to another upstream so long after its holder
  /// ended.
  Duration AddressReuseAfter = 2s;
  /// About how often an upstream reports.
  Duration HeartbeatInterval = 1s;
  /// A cold upstream bears WarmUp::PerSecond times this and ColdSlack.
  double ColdFactor = 1;
  double ColdSlack = 0;
};

class Upstream {
public:
  Upstream(UpstreamSettings Settings, const Configuration &Config,
           TimePoint Started)
      : Settings_(std::move(Settings)), Config_(Config) {
    Cold_.spendAll(Started);
  }

  HeartbeatVerdict onHeartbeat(const Heartbeat &Beat, TimePoint Now);
  /// It said that it leaves for good. Returns whether it was this start.
  bool onLeave(const std::string &Id);
  /// It sent a packet of one of its flows.
  void onAnswer(TimePoint Now);
  /// It returned a packet: it is responsive, but may have started anew.
  void onBounce() { UnansweredSyns_ = 0; }
  /// Call every TickInterval: notices that it has ended.
  void tick(TimePoint Now);
  /// It was sent a SYN.
  void onSynPassed(TimePoint Now);
  /// Call when the zones that are out have changed.
  void onEvacuationsChanged();

  /// What it takes at the moment.
  Intake intake(TimePoint Now) const;
  /// Whether one more new flow may be passed to it now.
  bool admits(TimePoint Now);
  /// How long it stays cold, as far as it has said.
  Duration coldFor(TimePoint Now) const {
    return std::max(Duration::zero(), ColdUntil_ - Now);
  }
  /// New flows a second while it is cold.
  uint32_t coldLimit() const;

  const std::string &service() const { return Beat_.Service; }
  const std::string &id() const { return Beat_.Id; }
  uint32_t slots() const { return Beat_.Slots; }
  bool known() const { return !Beat_.Id.empty(); }
  bool left() const { return Left_; }
  /// Whether it has ended, with its flows, or never was there: not a sign of
  /// life for so long, during all of which this agent was awake.
  bool ended() const;
  static constexpr Duration TickInterval = 100ms;
  static constexpr Duration EndedAfter = 4s;
  /// For one that this agent has never heard of.
  static constexpr double AbsentHeartbeats = 2.5;
  /// Whether its address is sure to be its own still: it was heard of lately.
  bool reachable(TimePoint Now) const { return !silent(Now); }

private:
  bool silent(TimePoint Now) const;
  bool unresponsive(TimePoint Now) const;
  bool cold(TimePoint Now) const;

  UpstreamSettings Settings_;
  const Configuration &Config_;
  Heartbeat Beat_;
  bool Left_ = false;
  TimePoint LastAlive_{};
  TimePoint LastTick_{};
  uint32_t SilentTicks_ = 0; ///< Ticks in time since LastAlive_.
  TimePoint ColdUntil_{};
  /// The zone came back and no heartbeat has told since whether the upstream
  /// is cold.
  bool ColdUnknown_ = false;
  bool WasEvacuated_ = false;
  uint32_t UnansweredSyns_ = 0;
  TimePoint FirstUnanswered_{};
  TimePoint LastSyn_{};
  SlidingBudget Cold_;
};

} // namespace dragonflystall::opaque

#endif
