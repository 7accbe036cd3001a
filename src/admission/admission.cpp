// Additive increase, multiplicative decrease (AIMD), with at most one reduction
// for each round of concurrent requests.
#include "admission.h"

namespace dragonflystall {

namespace {

/// Weights of the score by which the upstream counts as cold: two answers far
/// above the baseline in a row suffice, or three with a few normal ones in
/// between. Each normal answer reduces the score.
constexpr uint32_t FarAboveScore = 3;
/// A merely slow answer is a weaker sign, but is the main sign that a limit
/// above the sustained one is too high.
constexpr uint32_t SlowScore = 1;
constexpr uint32_t SlowScoreWhileProbing = 2;
constexpr uint32_t NormalScoreReduction = 1;
constexpr uint32_t ColdScoreThreshold = 5;
/// A request that runs for more than this multiple of the typical latency is a
/// sign of a cold upstream before the request ends.
constexpr int OverdueFactor = 8;
constexpr Duration OverdueFloor = 100ms;
/// Above the sustained limit, the limit itself is the likely cause, so it is
/// reduced earlier.
constexpr int OverdueFactorWhileProbing = 4;
/// Completions required for each slot of the limit before the limit grows.
constexpr uint32_t CompletionsPerSlot = 4;
constexpr uint32_t MaxGrowthDelayFactor = 16;
/// The upstream's health and load endpoints lag and can be wrong, so a bad hint
/// only slows growth.
constexpr uint32_t BadHintDelayFactor = 2;
constexpr uint32_t FullLoad = 100;

} // namespace

void Admission::setSlots(uint32_t Slots) {
  Slots_ = std::max(Slots, 1U);
  Limit_ = std::min(Limit_, Slots_);
  SustainedLimit_ = std::min(SustainedLimit_, Limit_);
}

void Admission::onOutcome(const Sample &Completed, TimePoint Now,
                          AgentActions &Out) {
  if (Completed.Cancelled)
    return;
  switch (Completed.Outcome) {
  case UpstreamOutcome::Answered:
    onLatency(Completed, Now, Out);
    return;
  case UpstreamOutcome::Shed:
  case UpstreamOutcome::Failed:
  case UpstreamOutcome::TimedOut:
    if (Completed.Started >= LastReduction_)
      backOff(Now, Out);
    return;
  case UpstreamOutcome::Refused:
    // The upstream is not running, and will be cold after its restart.
    reduceLimit(1, Now, Out);
    return;
  }
}

void Admission::onLatency(const Sample &Completed, TimePoint Now,
                          AgentActions &Out) {
  const LatencyClass Result = Baseline_.classify(
      Completed.Method, Completed.Bytes, Now - Completed.Started);
  if (Completed.Started < LastReduction_)
    return;
  if (Result == LatencyClass::Normal) {
    ColdScore_ -= std::min(ColdScore_, NormalScoreReduction);
    growOnCompletion(Completed, Out);
    return;
  }
  const bool IsFarAbove = Result == LatencyClass::FarAbove;
  const uint32_t CurrentSlowScore =
      isProbing() ? SlowScoreWhileProbing : SlowScore;
  ColdScore_ += IsFarAbove ? FarAboveScore : CurrentSlowScore;
  if ((IsFarAbove && isProbing()) || ColdScore_ >= ColdScoreThreshold)
    backOff(Now, Out);
}

void Admission::onRunning(TimePoint Started, TimePoint Now, AgentActions &Out) {
  if (Limit_ == 1 || Started < LastReduction_)
    return;
  const Duration Typical = typicalLatency();
  if (Typical == Duration::zero())
    return;
  const int Factor = isProbing() ? OverdueFactorWhileProbing : OverdueFactor;
  if (Now - Started > std::max(Typical * Factor, OverdueFloor))
    backOff(Now, Out);
}

/// Overload above the sustained limit means that the sustained limit is right,
/// so the limit returns to it. Overload at the sustained limit means that the
/// upstream has changed, so the limit is halved.
void Admission::backOff(TimePoint Now, AgentActions &Out) {
  if (!isProbing()) {
    reduceLimit(Limit_ / 2, Now, Out);
    // One more answer far above the baseline reduces the limit again.
    ColdScore_ = ColdScoreThreshold - FarAboveScore;
    return;
  }
  GrowthDelayFactor_ = std::min(GrowthDelayFactor_ * 2, MaxGrowthDelayFactor);
  reduceLimit(SustainedLimit_, Now, Out);
}

/// Completions at a concurrency below the limit do not show that a higher limit
/// is sustainable, so they are not counted.
void Admission::growOnCompletion(const Sample &Completed, AgentActions &Out) {
  if (Completed.Concurrency < Limit_)
    return;
  ++Completions_;
  if (isProbing() && Completions_ >= Limit_ * CompletionsPerSlot) {
    SustainedLimit_ = Limit_;
    GrowthDelayFactor_ = std::max(GrowthDelayFactor_ / 2, 1U);
  }
  if (Limit_ < Slots_ && Completions_ >= completionsToGrow())
    setLimit(Limit_ + 1, Out);
}

uint32_t Admission::completionsToGrow() const {
  const bool HasBadHint = !Hint_.Healthy || Hint_.Load >= FullLoad;
  return Limit_ * CompletionsPerSlot * GrowthDelayFactor_ *
         (HasBadHint ? BadHintDelayFactor : 1);
}

void Admission::reduceLimit(uint32_t NewLimit, TimePoint Now,
                            AgentActions &Out) {
  LastReduction_ = Now;
  const uint32_t Target = std::max(NewLimit, 1U);
  ColdScore_ = 0;
  Completions_ = 0;
  SustainedLimit_ = std::min(SustainedLimit_, Target);
  if (Target >= Limit_)
    return;
  Event ColdDetected;
  ColdDetected.Kind = EventKind::UpstreamCold;
  ColdDetected.Value = Target;
  Out.emplace_back(ColdDetected);
  setLimit(Target, Out);
}

void Admission::setLimit(uint32_t NewLimit, AgentActions &Out) {
  Limit_ = NewLimit;
  Completions_ = 0;
  Event Changed;
  Changed.Kind = EventKind::LimitChanged;
  Changed.Value = Limit_;
  Out.emplace_back(Changed);
}

} // namespace dragonflystall
