// Whether an upstream has started after its agent, so that no earlier run of
// the agent has admitted a flow to it.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STARTAGE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STARTAGE_H

#include "opaque/heartbeat.h"

#include <optional>

namespace dragonflystall::opaque {

/// The age of the first start that an agent hears, by its warm-up and by the
/// number of its calls. A warm-up alone does not show it: an upstream may also
/// become cold at the end of its zone's evacuation, with all its flows; see
/// docs/design/incarnations.md.
class StartAge {
public:
  /// A start that is younger than its agent has made at most this number of
  /// calls. The first one is refused if the agent does not listen yet.
  static constexpr int64_t MaxCalls = 2;

  explicit StartAge(TimePoint AgentStarted) : AgentStarted_(AgentStarted) {}

  /// Call when the upstream's TCP port was refused: an upstream that runs
  /// later has started after the agent.
  void onPortClosed() { IsCertain_ = true; }
  /// Call at the first heartbeat that the agent hears. WarmUp: how long an
  /// upstream is cold after its start; std::nullopt if no manifest says so.
  void onFirstHeard(const Heartbeat &Beat, std::optional<Duration> WarmUp,
                    TimePoint Now);
  /// Call with the length of the warm-up whenever there is a new manifest. Only
  /// the first one that is known is compared with the first heartbeat, since
  /// later ones say nothing of a start before them. Returns whether the start
  /// now seems younger than the agent.
  bool onWarmUpKnown(Duration WarmUp);
  /// Call at the heartbeat that proves that the start runs. Returns whether it
  /// shows that the first one was not late: the end of the warm-up has not
  /// moved. Once that is shown, always returns true.
  bool confirm(const Heartbeat &Beat, TimePoint Now);
  /// Call when the first heartbeat was late, another start has replaced the
  /// first one, or the upstream has answered on a flow that is older than the
  /// agent, as it may before the first heartbeat.
  void refute();

  /// Whether the start seems to have met no earlier run of the agent, by its
  /// first heartbeat, which may have been late.
  bool seemsYounger() const { return SeemsYounger_; }
  /// Whether confirm() has shown that the first heartbeat was not late.
  bool isConfirmed() const { return IsConfirmed_; }
  /// Whether any upstream that runs has certainly started after the agent.
  bool isCertain() const { return IsCertain_; }
  TimePoint agentStarted() const { return AgentStarted_; }

private:
  /// What the first heartbeat has shown.
  struct FirstCall {
    Duration ColdFor{};
    int64_t Sequence = 0;
    Duration AgentAge{};
  };

  static bool isYounger(const FirstCall &Call, Duration WarmUp);

  TimePoint AgentStarted_;
  bool IsCertain_ = false;
  bool IsConfirmed_ = false;
  bool IsRefuted_ = false;
  bool SeemsYounger_ = false; ///< Implies !IsRefuted_ and no Uncompared_.
  /// The first heartbeat, while no length of the warm-up is known.
  std::optional<FirstCall> Uncompared_;
  TimePoint ColdEnd_{}; ///< By the first heartbeat.
};

} // namespace dragonflystall::opaque

#endif
