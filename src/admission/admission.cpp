// Additive growth, multiplicative decrease, one cut for each round of requests.
#include "admission.h"

namespace dragonflystall {

namespace {

/// Slowness that means cold: two answers far over the baseline in a row, or
/// three among a few more. Each normal answer takes some back.
constexpr uint32_t FarWeight = 3;
/// Merely slow answers say less, but on trial they are what tells.
constexpr uint32_t SlowWeight = 1;
constexpr uint32_t SlowOnTrialWeight = 2;
constexpr uint32_t NormalRelief = 1;
constexpr uint32_t ColdSlowness = 5;
/// A request that runs for longer is a sign before it ends.
constexpr int OverdueFactor = 8;
constexpr Duration OverdueFloor = 100ms;
/// On trial there is less reason for patience.
constexpr int OverdueOnTrialFactor = 4;
/// Completions for each slot of the limit before one more is tried.
constexpr uint32_t RoundsToGrow = 4;
constexpr uint32_t MaxPatience = 16;
/// The endpoints lag and mislead, so a bad hint only slows growth.
constexpr uint32_t CautionFactor = 2;
constexpr uint32_t FullLoad = 100;

} // namespace

void Admission::setSlots(uint32_t Slots) {
  Slots_ = std::max(Slots, 1U);
  Limit_ = std::min(Limit_, Slots_);
  Borne_ = std::min(Borne_, Limit_);
}

void Admission::onOutcome(const Sample &What, TimePoint Now,
                          AgentActions &Out) {
  if (What.Cancelled)
    return;
  switch (What.Outcome) {
  case UpstreamOutcome::Answered:
    onLatency(What, Now, Out);
    return;
  case UpstreamOutcome::Shed:
  case UpstreamOutcome::Failed:
  case UpstreamOutcome::TimedOut:
    if (What.Started >= LastCut_)
      cut(Now, Out);
    return;
  case UpstreamOutcome::Refused:
    // It is not there: what comes back will be cold.
    shrink(1, Now, Out);
    return;
  }
}

void Admission::onLatency(const Sample &What, TimePoint Now,
                          AgentActions &Out) {
  const Speed Judged =
      Baseline_.judge(What.Method, What.Bytes, Now - What.Started);
  if (What.Started < LastCut_)
    return;
  if (Judged == Speed::Normal) {
    Slowness_ -= std::min(Slowness_, NormalRelief);
    grow(What, Out);
    return;
  }
  const bool Far = Judged == Speed::FarOver;
  const uint32_t Slow = onTrial() ? SlowOnTrialWeight : SlowWeight;
  Slowness_ += Far ? FarWeight : Slow;
  if ((Far && onTrial()) || Slowness_ >= ColdSlowness)
    cut(Now, Out);
}

void Admission::onRunning(TimePoint Started, TimePoint Now, AgentActions &Out) {
  if (Limit_ == 1 || Started < LastCut_)
    return;
  const Duration Typical = typicalLatency();
  if (Typical == Duration::zero())
    return;
  const int Factor = onTrial() ? OverdueOnTrialFactor : OverdueFactor;
  if (Now - Started > std::max(Typical * Factor, OverdueFloor))
    cut(Now, Out);
}

/// A trial that failed says that the limit before it was right; trouble at a
/// limit that was borne says that the upstream has changed.
void Admission::cut(TimePoint Now, AgentActions &Out) {
  if (!onTrial()) {
    shrink(Limit_ / 2, Now, Out);
    // One more sign of the same, and it is cut again.
    Slowness_ = ColdSlowness - FarWeight;
    return;
  }
  Patience_ = std::min(Patience_ * 2, MaxPatience);
  shrink(Borne_, Now, Out);
}

/// Completions below the limit prove nothing about bearing more.
void Admission::grow(const Sample &What, AgentActions &Out) {
  if (What.Concurrency < Limit_)
    return;
  ++Completions_;
  if (onTrial() && Completions_ >= Limit_ * RoundsToGrow) {
    Borne_ = Limit_;
    Patience_ = std::max(Patience_ / 2, 1U);
  }
  if (Limit_ < Slots_ && Completions_ >= completionsToGrow())
    setLimit(Limit_ + 1, Out);
}

uint32_t Admission::completionsToGrow() const {
  const bool Caution = !Hint_.Healthy || Hint_.Load >= FullLoad;
  return Limit_ * RoundsToGrow * Patience_ * (Caution ? CautionFactor : 1);
}

void Admission::shrink(uint32_t To, TimePoint Now, AgentActions &Out) {
  LastCut_ = Now;
  const uint32_t Target = std::max(To, 1U);
  Slowness_ = 0;
  Completions_ = 0;
  Borne_ = std::min(Borne_, Target);
  if (Target >= Limit_)
    return;
  Event Cold;
  Cold.Kind = EventKind::UpstreamCold;
  Cold.Value = Target;
  Out.emplace_back(Cold);
  setLimit(Target, Out);
}

void Admission::setLimit(uint32_t To, AgentActions &Out) {
  Limit_ = To;
  Completions_ = 0;
  Event Changed;
  Changed.Kind = EventKind::LimitChanged;
  Changed.Value = Limit_;
  Out.emplace_back(Changed);
}

} // namespace dragonflystall
