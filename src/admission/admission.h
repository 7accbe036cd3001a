// The admission limit: the number of concurrent requests sent to the upstream.
// It grows on completions at normal latency, and shrinks on shed requests,
// failures, timeouts, or latency far above the upstream's baseline. No I/O.
#ifndef DRAGONFLYSTALL_SRC_ADMISSION_ADMISSION_H
#define DRAGONFLYSTALL_SRC_ADMISSION_ADMISSION_H

#include "admission/baseline.h"
#include "dragonflystall/agentcore.h"

#include <vector>

namespace dragonflystall {

class Admission {
public:
  explicit Admission(uint32_t Slots) : Slots_(std::max(Slots, 1U)) {}

  /// Sets the upper bound of the limit. A lower bound takes effect immediately.
  void setSlots(uint32_t Slots);
  uint32_t limit() const { return Limit_; }
  /// Median latency of requests; zero before the first sample.
  Duration typicalLatency() const { return Baseline_.overallMedian(); }

  struct Sample {
    UpstreamOutcome Outcome = UpstreamOutcome::Failed;
    Code Method = Code::Get;
    size_t Bytes = 0; ///< Size of the answer.
    TimePoint Started;
    /// Requests in progress when this one started, including itself.
    uint32_t Concurrency = 1;
    /// The agent cancelled the request, so its outcome says nothing about the
    /// upstream.
    bool Cancelled = false;
  };
  void onOutcome(const Sample &Completed, TimePoint Now, AgentActions &Out);
  /// Reports that a request that began at Started is still running. An
  /// unusually long one reduces the limit before the request ends.
  void onRunning(TimePoint Started, TimePoint Now, AgentActions &Out);
  void onHint(const UpstreamHint &Hint) { Hint_ = Hint; }

private:
  void onLatency(const Sample &Completed, TimePoint Now, AgentActions &Out);
  void growOnCompletion(const Sample &Completed, AgentActions &Out);
  void backOff(TimePoint Now, AgentActions &Out);
  void reduceLimit(uint32_t NewLimit, TimePoint Now, AgentActions &Out);
  void setLimit(uint32_t NewLimit, AgentActions &Out);
  uint32_t completionsToGrow() const;
  /// Whether the limit is above the highest one known to be sustainable. A
  /// limit becomes sustained after CompletionsPerSlot completions for each
  /// slot.
  bool isProbing() const { return Limit_ > SustainedLimit_; }

  /// Invariant: 1 <= Limit_ <= Slots_.
  uint32_t Slots_;
  uint32_t Limit_ = 1;
  /// The highest limit that the upstream has sustained since the last
  /// reduction. Invariant: SustainedLimit_ <= Limit_ <= SustainedLimit_ + 1.
  uint32_t SustainedLimit_ = 1;
  /// Multiplies the completions required before growth. Doubles when a higher
  /// limit fails, and halves when one is sustained: each failed limit overloads
  /// the upstream, so they must be rare while it cannot sustain more. Between 1
  /// and MaxGrowthDelayFactor.
  uint32_t GrowthDelayFactor_ = 1;
  /// Completions at normal latency and full concurrency since the limit last
  /// changed.
  uint32_t Completions_ = 0;
  /// Score of recent latencies; at ColdScoreThreshold the upstream counts as
  /// cold.
  uint32_t ColdScore_ = 0;
  /// Requests that started before the last reduction must not cause another
  /// one.
  TimePoint LastReduction_;
  Baseline Baseline_;
  UpstreamHint Hint_;
};

} // namespace dragonflystall

#endif
