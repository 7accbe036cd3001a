// How many requests the upstream bears at once, judged by what it did: grows
// on completions at normal latency, shrinks on shed, timeout or latency far
// over its own baseline. No I/O.
#ifndef DRAGONFLYSTALL_SRC_ADMISSION_ADMISSION_H
#define DRAGONFLYSTALL_SRC_ADMISSION_ADMISSION_H

#include "admission/baseline.h"
#include "dragonflystall/agentcore.h"

#include <vector>

namespace dragonflystall {

class Admission {
public:
  explicit Admission(uint32_t Slots) : Slots_(std::max(Slots, 1U)) {}

  /// The ceiling. A lower one takes effect at once.
  void setSlots(uint32_t Slots);
  uint32_t limit() const { return Limit_; }
  /// What a request usually takes; zero when none was seen.
  Duration typicalLatency() const { return Baseline_.overall(); }

  struct Sample {
    UpstreamOutcome Outcome = UpstreamOutcome::Failed;
    Code Method = Code::Get;
    size_t Bytes = 0; ///< Of the answer.
    TimePoint Started;
    /// Requests in progress when it started, with itself.
    uint32_t Concurrency = 1;
    /// The agent ended it itself: it says nothing of the upstream.
    bool Cancelled = false;
  };
  void onOutcome(const Sample &What, TimePoint Now, AgentActions &Out);
  /// A request is running that started then: unusually long is a sign too.
  void onRunning(TimePoint Started, TimePoint Now, AgentActions &Out);
  void onHint(const UpstreamHint &Hint) { Hint_ = Hint; }

private:
  void onLatency(const Sample &What, TimePoint Now, AgentActions &Out);
  void grow(const Sample &What, AgentActions &Out);
  void cut(TimePoint Now, AgentActions &Out);
  void shrink(uint32_t To, TimePoint Now, AgentActions &Out);
  void setLimit(uint32_t To, AgentActions &Out);
  uint32_t completionsToGrow() const;
  /// A higher limit counts as borne once a whole growth's completions came.
  bool onTrial() const { return Limit_ > Borne_; }

  /// Invariant: 1 <= Limit_ <= Slots_.
  uint32_t Slots_;
  uint32_t Limit_ = 1;
  /// The highest limit that the upstream has shown to bear since the last cut.
  /// Invariant: Borne_ <= Limit_ <= Borne_ + 1.
  uint32_t Borne_ = 1;
  /// Grows with each trial that failed, so that trials get rarer on an upstream
  /// that can't bear more yet: each of them costs it dear. At most MaxPatience.
  uint32_t Patience_ = 1;
  /// Completions at normal latency and full concurrency since the last change.
  uint32_t Completions_ = 0;
  /// How strongly recent latencies say that the upstream is cold.
  uint32_t Slowness_ = 0;
  /// Requests that started before the last cut do not count a second time.
  TimePoint LastCut_;
  Baseline Baseline_;
  UpstreamHint Hint_;
};

} // namespace dragonflystall

#endif
